package gapproxy.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gapproxy.soak.SilentStreamPlay.Form;
import gapproxy.soak.SilentStreamPlay.HoldUps;
import gapproxy.soak.SilentStreamPlay.Outcome;
import gapproxy.soak.SilentStreamPlay.Script;
import gapproxy.soak.SilentStreamPlay.Step;
import gapproxy.standin.PlatformSite;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Streams with an event or a comment that does not end, and events as long as a body may be, on a real gateway process. */
class EndlessEventTest {
  /** The protocol's 5 s after a running server's last event, and its 50 ms on sockets. */
  private static final Duration LATEST_END = Duration.ofMillis(5050);
  /** The protocol's maximum length of a body, which an event is a part of. */
  private static final int MAX_BODY_BYTES = 256 << 10;
  private static final int COPIES = 2;
  private static final long PIECE_INTERVAL_MS = 100, ENDLESS_MS = 9000, SLOW_MS = 7000;
  private static final String EVENT_START = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"";

  @TempDir
  private Path dir;

  private static Step event(long afterMs) {
    return new Step(Duration.ofMillis(afterMs), PlatformSite.eventText(1), Form.EVENT);
  }

  /** What is given, without end, behind some events. */
  private static Script endless(String name, int eventsBefore, String begin, String piece) {
    List<Step> steps = new ArrayList<>(Collections.nCopies(eventsBefore, event(40)));
    steps.add(new Step(Duration.ZERO, begin, Form.OTHER));
    steps.addAll(Collections.nCopies((int) (ENDLESS_MS / PIECE_INTERVAL_MS), new Step(Duration.ofMillis(PIECE_INTERVAL_MS), piece, Form.OTHER)));
    return new Script(name, steps, false);
  }

  private static List<Script> endless() {
    String fast = "~noise~~".repeat(4096);
    String slow = "~".repeat(6000);
    return List.of(
        endless("event, 320 KB a second", 1, EVENT_START, fast),
        endless("event, 60 KB a second", 2, EVENT_START, slow),
        endless("event of many lines", 2, "data: x\n", "data: x\n".repeat(800)),
        endless("comment, 320 KB a second", 1, ": ", fast),
        endless("comment, 60 KB a second", 2, ": ", slow),
        endless("comment, a byte at a time", 2, ": ", "c"),
        endless("comments of two pieces each", 2, ": c", "c\n: c"),
        endless("event with a comment in it", 2, EVENT_START + "x\"}\n", "data: x\n: " + slow + "\n"));
  }

  /** An event in even pieces, and the end of the stream. */
  private static Script wholeEvent(int bytes, long overMs) {
    String text = PlatformSite.eventText(2).replace("w2", "w".repeat(bytes - PlatformSite.eventText(2).length() + 2));
    int pieces = (int) (overMs / PIECE_INTERVAL_MS);
    List<Step> steps = new ArrayList<>(List.of(event(0), event(80)));
    for (int i = 0; i < pieces; i++) {
      String piece = text.substring((int) ((long) bytes * i / pieces), (int) ((long) bytes * (i + 1) / pieces));
      steps.add(new Step(Duration.ofMillis(PIECE_INTERVAL_MS), piece, i == pieces - 1 ? Form.EVENT : Form.OTHER));
    }
    steps.add(new Step(Duration.ofMillis(20), PlatformSite.STREAM_END, Form.EVENT));
    return new Script("event of " + bytes + " over " + overMs + " ms", steps, true);
  }

  private static List<Script> sound() {
    return List.of(wholeEvent(MAX_BODY_BYTES, SLOW_MS), wholeEvent(MAX_BODY_BYTES - 1, 2 * SLOW_MS), wholeEvent(3000, 2 * SLOW_MS));
  }

  /** Clients were left waiting for as long as noise came in place of the rest of an event. */
  @ParameterizedTest
  @CsvSource({"0,NONE", "150,NONE", "0,AT_TIMES"})
  @Execution(ExecutionMode.CONCURRENT)
  void endlessEventEndsTheStreamInTimeAndLongOnesAreServed(long lateMs, HoldUps holdUps) throws Exception {
    List<Script> all = Stream.of(endless(), sound()).flatMap(List::stream).toList();
    try (SilentStreamPlay play = new SilentStreamPlay(dir, Duration.ofMillis(lateMs))) {
      List<Outcome> outcomes = play.play(all, COPIES, holdUps, lateMs);
      assertEquals("", SilentStreamPlay.wrongOutcomes(outcomes, sound(), o -> !o.whole()), "cut off");
      assertEquals("", SilentStreamPlay.wrongOutcomes(outcomes, endless(), o -> o.whole() || o.waited().compareTo(LATEST_END) > 0), "ended too late");
    }
  }
}
