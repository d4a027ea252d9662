package gapproxy.benchlink;

import gapproxy.Rules;
import gapproxy.api.Action;
import gapproxy.api.Event;
import gapproxy.api.Settings;
import gapproxy.config.WireSettings;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Serves the bench's frame protocol: each input frame holds events, each reply frame the actions, and every gateway instance has its own
 * {@link Rules}.
 */
public final class BenchLink {
  private static final int HEADER_BYTES = 16;

  /** One gateway instance of the bench: its decisions and the clock reading at its start, in microseconds. */
  private record Gateway(Rules rules, int groupCount, long startMicros) {
    Duration sinceStart(long clock) {
      return micros(clock - startMicros);
    }
  }

  private final Map<Integer, Gateway> gateways = new HashMap<>();
  /** The events of the current frame, by gateway instance. */
  private final Map<Integer, List<Event>> pendingEvents = new LinkedHashMap<>();

  /** Answers frames until the end of the input. */
  public void serve(InputStream from, OutputStream out) throws IOException, MalformedFrameException {
    DataInputStream in = new DataInputStream(new BufferedInputStream(from, 1 << 16));
    for (long frame = 0;; frame++) {
      int first = in.read();
      if (first < 0) {
        return;
      }
      byte[] body;
      try {
        long length = (long) first << 24 | in.readUnsignedByte() << 16 | in.readUnsignedShort();
        if (length < HEADER_BYTES || length > Integer.MAX_VALUE - 64) {
          throw new MalformedFrameException("frame " + frame + ": length " + length + " is out of range");
        }
        body = in.readNBytes((int) length - 4);
        if (body.length < length - 4) {
          throw new EOFException();
        }
      } catch (EOFException e) {
        throw new MalformedFrameException("frame " + frame + ": the input ends inside the frame");
      }
      ByteBuffer reply = process(ByteBuffer.wrap(body), frame);
      out.write(reply.array(), 0, reply.limit());
      out.flush();
    }
  }

  /** Processes a frame (record count, clock in microseconds, and records of a code, a length and fields); returns the reply frame. */
  private ByteBuffer process(ByteBuffer frame, long number) throws MalformedFrameException {
    long count = frame.getInt() & 0xffffffffL;
    long clock = frame.getLong();
    pendingEvents.clear();
    for (long i = 0; i < count; i++) {
      String where = "frame " + number + ", record " + i;
      if (frame.remaining() < 5) {
        throw new MalformedFrameException(where + ": truncated record header at byte " + (frame.position() + 4));
      }
      int code = frame.get() & 0xff;
      long length = frame.getInt() & 0xffffffffL;
      if (length > frame.remaining()) {
        throw new MalformedFrameException(where + ": length " + length + " exceeds the remaining " + frame.remaining() + " bytes");
      }
      FieldReader fields = new FieldReader(frame.slice(frame.position(), (int) length), where + " (code " + code + ")");
      frame.position(frame.position() + (int) length);
      readRecord(code, fields, clock);
    }
    if (frame.hasRemaining()) {
      throw new MalformedFrameException("frame " + number + ": " + frame.remaining() + " bytes after the last record");
    }
    ReplyFrame reply = new ReplyFrame();
    for (Map.Entry<Integer, List<Event>> e : pendingEvents.entrySet()) {
      Gateway gateway = gateways.get(e.getKey());
      for (Action action : gateway.rules.step(gateway.sinceStart(clock), e.getValue())) {
        reply.add(e.getKey(), gateway.startMicros, action);
      }
    }
    return reply.finish();
  }

  /** Starts (code 16) or removes (25) a gateway instance, or adds an event to those pending for one; ignores unknown codes. */
  private void readRecord(int code, FieldReader fields, long clock) throws MalformedFrameException {
    if (code < 16 || code > 26) {
      return;
    }
    int instance = (int) fields.u32();
    if (code == 16) {
      long seed = fields.u64();
      ByteBuffer settingsJson = fields.byteString();
      byte[] text = new byte[settingsJson.remaining()];
      settingsJson.get(text);
      Settings settings;
      try {
        settings = WireSettings.parse(text).settings();
      } catch (WireSettings.InvalidSettingsException e) {
        throw new MalformedFrameException(e.getMessage());
      }
      gateways.put(instance, new Gateway(new Rules(settings, seed), settings.groups().size(), clock));
      pendingEvents.put(instance, new ArrayList<>());
    } else if (code == 25) {
      gateways.remove(instance);
      pendingEvents.remove(instance);
    } else {
      Gateway gateway = gateways.get(instance);
      Event event = gateway == null ? null : decodeEvent(code, fields, gateway);
      if (event != null) {
        pendingEvents.computeIfAbsent(instance, k -> new ArrayList<>()).add(event);
      }
    }
  }

  /** Decodes the event of a record; null if the code stands for no event. */
  private static Event decodeEvent(int code, FieldReader fields, Gateway gateway) throws MalformedFrameException {
    return switch (code) {
      case 17 -> decodeServerList(fields, gateway);
      case 18 -> {
        long req = fields.u64();
        int group = fields.u16();
        if (group >= gateway.groupCount) {
          throw new MalformedFrameException(fields.location() + ": there is no class " + group);
        }
        int customer = fields.u16();
        long session = fields.u64();
        Duration budget = micros(fields.u32());
        fields.u32();
        yield new Event.Accept(req, group, customer, session, budget, fields.u64(), fields.f32(), fields.f32(), fields.f32());
      }
      case 19 -> new Event.FirstToken(fields.u64(), fields.u8(), micros(fields.u32()));
      case 20 -> {
        long req = fields.u64();
        int forward = fields.u8();
        Event.Outcome outcome = decodeOutcome(fields.u16());
        fields.u32();
        yield new Event.Ended(req, forward, outcome, fields.u32(), fields.u8() != 0, micros(fields.u32()), fields.report());
      }
      case 21 -> new Event.HungUp(fields.u64());
      case 22 -> new Event.Wake();
      case 23 -> {
        long server = fields.u32();
        Event.Outcome outcome = decodeOutcome(fields.u16());
        yield new Event.Probed(server, outcome, micros(fields.u32()), fields.report());
      }
      default -> null;
    };
  }

  private static Event decodeServerList(FieldReader fields, Gateway gateway) throws MalformedFrameException {
    Event.ListForm form = switch (fields.u8()) {
      case 0 -> Event.ListForm.CHANGES;
      case 1 -> Event.ListForm.COMPLETE;
      case 2 -> Event.ListForm.REMEMBERED;
      default -> Event.ListForm.FAILED;
    };
    fields.u32();
    FieldReader entries = fields.entries(22);
    List<Event.Line> lines = new ArrayList<>();
    while (entries.hasRemaining()) {
      long server = entries.u32();
      int zone = entries.u16();
      int kind = entries.u8();
      int cell = entries.u16();
      Event.State state = switch (entries.u8()) {
        case 1 -> Event.State.READY;
        case 2 -> Event.State.DRAINING;
        default -> Event.State.GONE;
      };
      double size = entries.f32();
      long upSinceMicros = entries.u64();
      lines.add(new Event.Line(server, zone, kind, cell, state, size, upSinceMicros == 0 ? null : gateway.sinceStart(upSinceMicros)));
    }
    return new Event.ServerList(form, lines);
  }

  private static Event.Outcome decodeOutcome(int code) {
    return switch (code) {
      case 1 -> Event.Outcome.DONE;
      case 2 -> Event.Outcome.FULL;
      case 3 -> Event.Outcome.TIMED_OUT;
      case 4 -> Event.Outcome.NO_CONNECTION;
      case 5 -> Event.Outcome.BROKEN;
      case 6 -> Event.Outcome.CANCELLED;
      case 7 -> Event.Outcome.NOT_SENT;
      case 102 -> Event.Outcome.READ;
      default -> Event.Outcome.ERROR;
    };
  }

  private static Duration micros(long us) {
    return Duration.ofNanos(us * 1000);
  }
}
