package gapproxy.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.soak.SilentStreamPlay.Form;
import gapproxy.soak.SilentStreamPlay.HoldUps;
import gapproxy.soak.SilentStreamPlay.Outcome;
import gapproxy.soak.SilentStreamPlay.Script;
import gapproxy.soak.SilentStreamPlay.Step;
import gapproxy.standin.PlatformSite;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Streams whose chunks or heads state a length, on both sides of what an answer may hold, on a real gateway process. */
class OversizedChunkTest {
  /** The protocol's 5 s after a running server's last event, and its 50 ms on sockets. */
  private static final Duration LATEST_END = Duration.ofMillis(5050);
  /** The protocol's maximum length of a body. */
  private static final int MAX_BODY_BYTES = 256 << 10;
  private static final int COPIES = 3, EVENTS_IN_SLOW_CHUNK = 70, EVENTS_IN_SPOILT_CHUNK = 37;
  private static final long SLOW_EVENT_MS = 100, USUAL_EVENT_MS = 300;
  private static final String EVENT_START = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"",
      EVENT_END = "\"},\"finish_reason\":null}]}\n\n";

  @TempDir
  private Path dir;

  private static Step event(long afterMs) {
    return new Step(Duration.ofMillis(afterMs), PlatformSite.eventText(1), Form.EVENT);
  }

  private static Step raw(long afterMs, String bytes) {
    return new Step(Duration.ofMillis(afterMs), bytes, Form.RAW);
  }

  private static Script script(String name, boolean ends, List<Step> steps) {
    return new Script(name, steps, ends);
  }

  /** Two events, and then what is given. */
  private static Script afterEvents(String name, List<Step> steps) {
    List<Step> all = new ArrayList<>(List.of(event(0), event(80)));
    all.addAll(steps);
    return script(name, false, all);
  }

  private static String eventOf(int bytes) {
    return EVENT_START + "x".repeat(bytes - EVENT_START.length() - EVENT_END.length()) + EVENT_END;
  }

  /** Whole events of the given length in all, the last ones included, written over seven seconds. */
  private static List<Step> slowEvents(int bytes) {
    int contentBytes = bytes - PlatformSite.STREAM_END.length();
    int eachBytes = contentBytes / EVENTS_IN_SLOW_CHUNK;
    List<Step> steps = new ArrayList<>();
    for (int i = 1; i < EVENTS_IN_SLOW_CHUNK; i++) {
      steps.add(new Step(Duration.ofMillis(SLOW_EVENT_MS), eventOf(eachBytes), Form.RAW_EVENT));
    }
    steps.add(new Step(Duration.ofMillis(SLOW_EVENT_MS), eventOf(contentBytes - eachBytes * (EVENTS_IN_SLOW_CHUNK - 1)), Form.RAW_EVENT));
    steps.add(new Step(Duration.ofMillis(SLOW_EVENT_MS), PlatformSite.STREAM_END, Form.RAW_EVENT));
    return steps;
  }

  /** Bytes, then events at their usual pace, which count for nothing. */
  private static List<Step> thenEvents(Step first) {
    List<Step> steps = new ArrayList<>(List.of(first));
    steps.addAll(Collections.nCopies(EVENTS_IN_SPOILT_CHUNK, raw(USUAL_EVENT_MS, PlatformSite.eventText(2))));
    return steps;
  }

  private static List<Step> chunksThatDiffer(int bytes) {
    String text = PlatformSite.eventText(2);
    return Collections.nCopies(EVENTS_IN_SPOILT_CHUNK,
        raw(USUAL_EVENT_MS, Integer.toHexString(text.length() + bytes) + "\r\n" + text + "\r\n"));
  }

  private static List<Step> eachTenthOfASecond(String first, String then) {
    List<Step> steps = new ArrayList<>(List.of(raw(0, first)));
    steps.addAll(Collections.nCopies(110, raw(100, then)));
    return steps;
  }

  private static Step head(String framing) {
    return new Step(Duration.ZERO, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" + framing + "\r\n\r\n",
        Form.HEAD);
  }

  private static Step headWithLength(long length) {
    return head("Content-Length: " + length);
  }

  private static List<Script> spoiltAfterEvents() {
    List<Script> scripts = new ArrayList<>();
    for (String size : List.of("c0000000", "ffffffff", "100000", Integer.toHexString(MAX_BODY_BYTES + 1), "0000c0000000;a=b",
        "fffffffffffffff")) {
      scripts.add(afterEvents("size line " + size, thenEvents(raw(0, size + "\r\n"))));
    }
    for (int difference : new int[] {-7, -2, 2, 100_000}) {
      scripts.add(afterEvents("sizes that differ by " + difference, chunksThatDiffer(difference)));
    }
    scripts.add(afterEvents("size line of zeroes without end", eachTenthOfASecond("0", "0")));
    scripts.add(afterEvents("size line with an extension without end", eachTenthOfASecond("4;", "x")));
    scripts.add(afterEvents("size line alone", List.of(raw(0, "c0000000\r\n"))));
    return scripts;
  }

  private static List<Script> spoiltBeforeEvents() {
    List<Script> scripts = new ArrayList<>();
    for (String size : List.of("c0000000", "100000")) {
      List<Step> steps = new ArrayList<>(List.of(head("Transfer-Encoding: chunked")));
      steps.addAll(thenEvents(raw(0, size + "\r\n")));
      scripts.add(script("at first, size line " + size, false, steps));
    }
    for (long length : new long[] {3L << 30, MAX_BODY_BYTES + 1}) {
      scripts.add(script("length " + length, false, thenEvents(headWithLength(length))));
    }
    return scripts;
  }

  private static List<Script> sound() {
    List<Script> scripts = new ArrayList<>();
    for (int bytes : new int[] {10_000, 260_000, MAX_BODY_BYTES}) {
      List<Step> chunk = new ArrayList<>(List.of(raw(0, Integer.toHexString(bytes) + "\r\n")));
      chunk.addAll(slowEvents(bytes));
      chunk.add(raw(0, "\r\n"));
      List<Step> atFirst = new ArrayList<>(List.of(head("Transfer-Encoding: chunked")));
      atFirst.addAll(chunk);
      atFirst.add(raw(0, "0\r\n\r\n"));
      scripts.add(script("sound chunk of " + bytes, false, atFirst));
      List<Step> later = new ArrayList<>(List.of(event(0), event(80)));
      later.addAll(chunk);
      scripts.add(script("sound chunk of " + bytes + " after events", true, later));
      List<Step> withLength = new ArrayList<>(List.of(headWithLength(bytes)));
      withLength.addAll(slowEvents(bytes));
      scripts.add(script("sound length of " + bytes, false, withLength));
    }
    List<Step> manyChunks = new ArrayList<>(Collections.nCopies(40, new Step(Duration.ofMillis(50), eventOf(30_000), Form.EVENT)));
    manyChunks.add(new Step(Duration.ofMillis(50), PlatformSite.STREAM_END, Form.EVENT));
    scripts.add(script("sound chunks of 1.2 MB in all", true, manyChunks));
    return scripts;
  }

  /** Clients were left waiting for 15 s on streams whose servers had stated a chunk of gigabytes and went on with events in it. */
  @ParameterizedTest
  @CsvSource({"0,NONE", "150,NONE", "0,AT_TIMES"})
  @Execution(ExecutionMode.CONCURRENT)
  void oversizedChunkEndsTheStreamAndSoundOnesAreServed(long lateMs, HoldUps holdUps) throws Exception {
    List<Script> all = Stream.of(spoiltAfterEvents(), spoiltBeforeEvents(), sound()).flatMap(List::stream).toList();
    try (SilentStreamPlay play = new SilentStreamPlay(dir, Duration.ofMillis(lateMs))) {
      List<Outcome> outcomes = play.play(all, COPIES, holdUps, lateMs);
      assertEquals("", SilentStreamPlay.wrongOutcomes(outcomes, sound(), o -> !o.whole()), "cut off");
      assertEquals("", SilentStreamPlay.wrongOutcomes(outcomes, spoiltAfterEvents(), o -> o.whole() || o.waited().compareTo(LATEST_END) > 0), "ended too late");
      assertEquals("", SilentStreamPlay.wrongOutcomes(outcomes, spoiltBeforeEvents(), o -> o.status() == 200), "passed on");
      String log = Files.readString(play.gateway().log());
      for (String told : List.of("3221225472", "4294967295", "1048576", Integer.toString(MAX_BODY_BYTES + 1))) {
        assertTrue(Arrays.stream(log.split("\n")).anyMatch(line -> line.contains("cause=\"OVERSIZED\"") && line.contains(told)),
            told + " is not logged");
      }
    }
  }
}
