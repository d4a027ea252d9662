package gapproxy.benchlink;

import gapproxy.api.Action;
import java.nio.ByteBuffer;
import java.time.Duration;

/** Builds one reply frame, which holds a record for each action of the gateway instances. */
final class ReplyFrame {
  private ByteBuffer out = ByteBuffer.allocate(1024).putInt(0);

  /** Adds the record of an action; {@code startMicros} is the clock reading at the start of the gateway instance, in microseconds. */
  void add(int instance, long startMicros, Action action) {
    if (action instanceof Action.Forward a) {
      startRecord(80, 20, instance).putLong(a.req()).putInt((int) micros(a.timeOut())).putInt((int) a.server());
    } else if (action instanceof Action.PushBack a) {
      startRecord(81, 16, instance).putLong(a.req()).putInt((int) micros(a.retryIn()));
    } else if (action instanceof Action.Abort a) {
      startRecord(82, 12, instance).putLong(a.req());
    } else if (action instanceof Action.Cancel a) {
      startRecord(83, 13, instance).putLong(a.req()).put((byte) a.forward());
    } else if (action instanceof Action.Alarm a) {
      startRecord(84, 20, instance).putLong(startMicros + micros(a.at())).putLong(0);
    } else if (action instanceof Action.Probe a) {
      startRecord(85, 8, instance).putInt((int) a.server());
    } else if (action instanceof Action.Subscribe) {
      startRecord(90, 5, instance).put((byte) 1);
    } else if (action instanceof Action.Hold a) {
      startRecord(93, 16, instance).putLong(a.req()).putInt((int) a.server());
    } else if (action instanceof Action.Drop a) {
      startRecord(94, 12, instance).putLong(a.req());
    }
  }

  /** Writes a record's code, length and instance; the buffer grows as needed. */
  private ByteBuffer startRecord(int code, int length, int instance) {
    if (out.remaining() < 64) {
      out = ByteBuffer.allocate(out.capacity() * 2).put(out.flip());
    }
    return out.put((byte) code).putInt(length).putInt(instance);
  }

  /** Fills in the frame's length and returns the frame. */
  ByteBuffer finish() {
    return out.putInt(0, out.position()).flip();
  }

  private static long micros(Duration span) {
    return span.toNanos() / 1000;
  }
}
