package gapproxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.gateway.StreamActivity.Arrival;
import gapproxy.http.StreamContent;
import gapproxy.runtime.ManualLoop;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Both sides of the limit on a server's silence, by times. */
class StreamSilencePolicyTest {
  /** Within the protocol's 5.05 s, with a hold-up of 150 ms. */
  private static final Duration LATEST_DECISION = Duration.ofMillis(5050 - 150);
  private static final Duration LONGEST_REST = Duration.ofMillis(4750);
  /** The longest body, of which an event is a part. */
  private static final long MAX_BODY_BYTES = 256 << 10;
  private static final SilenceLimit LIMIT = new SilenceLimit(Duration.ofMillis(5050), SilenceLimit.Side.END_BEFORE, MAX_BODY_BYTES);

  private final StreamSilencePolicy policy = new StreamSilencePolicy(LIMIT);
  private final StreamActivity activity = new StreamActivity(at(0));

  private static Arrival at(long ms) {
    return new Arrival(Duration.ofMillis(ms), Duration.ofMillis(ms));
  }

  private void receive(StreamContent content, long ms) {
    receive(content, 100, ms);
  }

  private void receive(StreamContent content, long unfinishedBytes, long ms) {
    activity.received(content, unfinishedBytes, at(ms));
  }

  private Duration endAt(long nowMs) {
    return policy.endAt(activity, Duration.ofMillis(nowMs));
  }

  private void assertEndsInTime() {
    assertTrue(endAt(4700).compareTo(LATEST_DECISION) <= 0, endAt(4700).toString());
    assertTrue(endAt(4700).compareTo(LONGEST_REST) > 0, endAt(4700).toString());
  }

  @Test
  void silenceAfterAnEventEndsBetweenBothSides() {
    assertEndsInTime();
  }

  /** Each comment and blank line moved the end. */
  @Test
  void commentsDoNotMoveTheEnd() {
    for (int ms = 100; ms < 4800; ms += 100) {
      receive(StreamContent.COMMENTS, ms);
    }
    assertEndsInTime();
  }

  /** A part of an event moved the end by as much as it came later. */
  @ParameterizedTest
  @ValueSource(longs = {0, 100, 400, 1000, 1600, 2000, 2200})
  void partOfAnEventDoesNotMoveTheEnd(long partMs) {
    receive(StreamContent.EVENT_PART, partMs);
    assertTrue(endAt(4700).compareTo(Duration.ofMillis(4900)) <= 0, endAt(4700).toString());
    assertTrue(endAt(4700).compareTo(LONGEST_REST) > 0);
  }

  @ParameterizedTest
  @ValueSource(longs = {50, 400, 1200, 1500, 2500, 3000, 4000, 4700})
  void eventThatIsBeingWrittenIsNotEnded(long restMs) {
    for (long ms = restMs; ms < 30_000; ms += restMs) {
      assertTrue(endAt(ms).compareTo(Duration.ofMillis(ms)) > 0, "ended before " + ms + " ms");
      receive(StreamContent.EVENT_PART, ms);
    }
  }

  /**
   * An event whose bytes go on past the limit was cut off in the first rest that was half a second longer than those before. From there on only
   * the rest itself can be measured, by the whole limit, on both sides.
   */
  @ParameterizedTest
  @ValueSource(longs = {50, 240, 400, 1200, 2400})
  void eventThatIsWrittenPastTheLimitMayRestForTheWholeLimit(long restMs) {
    long ms = 0;
    while (ms < 8000) {
      ms += restMs;
      receive(StreamContent.EVENT_PART, ms);
    }
    assertTrue(endAt(ms).compareTo(Duration.ofMillis(ms).plus(LONGEST_REST)) > 0, endAt(ms).toString());
    assertTrue(endAt(ms).compareTo(Duration.ofMillis(ms).plus(LIMIT.time())) <= 0, endAt(ms).toString());
    assertEquals(endAt(ms), endAt(ms + 4000));
  }

  /** An event that is no longer written as the time ends is ended in time, however evenly its bytes came before. */
  @ParameterizedTest
  @CsvSource({"240,4080", "400,4000", "100,4200", "1200,2400", "50,3000"})
  void eventThatIsNoLongerWrittenAsTheTimeEndsIsEndedInTime(long restMs, long lastMs) {
    for (long ms = restMs; ms <= lastMs; ms += restMs) {
      receive(StreamContent.EVENT_PART, ms);
    }
    assertTrue(endAt(lastMs).compareTo(LATEST_DECISION) <= 0, endAt(lastMs).toString());
    assertTrue(endAt(lastMs).compareTo(LONGEST_REST) > 0, endAt(lastMs).toString());
  }

  /** A rest that begins shortly before the time ends and goes on past it: the end of a silent server would be late as well. */
  @ParameterizedTest
  @CsvSource({"240,4560", "400,4800", "1200,3600", "2400,2400"})
  void restThatBeginsAsTheTimeEndsMayLastForTheWholeLimit(long restMs, long lastMs) {
    for (long ms = restMs; ms <= lastMs; ms += restMs) {
      receive(StreamContent.EVENT_PART, ms);
    }
    assertTrue(endAt(lastMs).compareTo(Duration.ofMillis(lastMs).plus(LONGEST_REST)) > 0, endAt(lastMs).toString());
    assertTrue(endAt(lastMs).compareTo(Duration.ofMillis(lastMs).plus(LIMIT.time())) <= 0, endAt(lastMs).toString());
  }

  /** An event that never ended held its client for as long as its bytes came. */
  @ParameterizedTest
  @ValueSource(longs = {2621, 32_768})
  void eventThatIsLongerThanABodyIsEndedInTime(long bytesEach) {
    long bytes = 0;
    for (long ms = 50; ms < 4800; ms += 50) {
      bytes += bytesEach;
      receive(StreamContent.EVENT_PART, bytes, ms);
    }
    assertTrue(bytes <= MAX_BODY_BYTES == endAt(4700).compareTo(LATEST_DECISION) > 0, endAt(4700).toString());
    receive(StreamContent.EVENT_PART, MAX_BODY_BYTES + 1, 4800);
    assertEndsInTime();
  }

  /** The other side: an event as long as a body may be completed past the limit, and one byte more ends it at once. */
  @Test
  void eventAsLongAsABodyMayBeCompleted() {
    for (long ms = 100; ms <= 9000; ms += 100) {
      receive(StreamContent.EVENT_PART, MAX_BODY_BYTES * ms / 9000, ms);
      assertTrue(endAt(ms).compareTo(Duration.ofMillis(ms)) > 0, "ended at " + ms + " ms");
    }
    receive(StreamContent.EVENT_PART, MAX_BODY_BYTES + 1, 9100);
    assertTrue(endAt(9100).compareTo(Duration.ofMillis(9100)) <= 0, endAt(9100).toString());
  }

  /** Bytes that took up to 0.2 s to arrive moved the end past the limit. */
  @ParameterizedTest
  @ValueSource(longs = {0, 30, 60, 100, 150, 200, 250})
  void bytesThatComeLateDoNotMoveTheEndPastTheLimit(long lateMs) {
    Duration way = StreamSilencePolicy.longestWay(Duration.ofMillis(lateMs));
    activity.received(StreamContent.EVENT, 0, new Arrival(Duration.ofMillis(10_000).minus(way), Duration.ofMillis(10_000)));
    Duration sentAt = Duration.ofMillis(10_000 - lateMs);
    assertTrue(endAt(10_000).minus(sentAt).compareTo(LIMIT.time()) < 0, endAt(10_000).toString());
    assertTrue(endAt(10_000).compareTo(Duration.ofMillis(10_000).plus(LONGEST_REST)) > 0, "an event that comes as late after 4.75 s");
  }

  /** What is read after a hold-up may have come at its beginning or at its end. */
  @ParameterizedTest
  @CsvSource({"0", "50", "100", "150"})
  void eventReadAfterHoldUpKeepsBothSides(long heldUpMs) {
    activity.received(StreamContent.EVENT, 0, new Arrival(Duration.ofMillis(10_000 - heldUpMs), Duration.ofMillis(10_000)));
    Duration end = endAt(10_000);
    assertTrue(end.compareTo(Duration.ofMillis(10_000).plus(LONGEST_REST)) > 0, "an event that came at the end of the hold-up: " + end);
    assertTrue(end.compareTo(Duration.ofMillis(10_000 - heldUpMs + 5050 - 120)) <= 0, "one that came at its beginning: " + end);
  }

  @Test
  void timeOfClientsRestDoesNotCount() {
    activity.paused(Duration.ofMillis(1000));
    assertTrue(endAt(60_000).compareTo(Duration.ofMillis(60_000)) > 0);
    activity.resumed(Duration.ofMillis(60_000));
    assertTrue(endAt(60_000).compareTo(Duration.ofMillis(64_750)) > 0);
    assertTrue(endAt(60_000).compareTo(Duration.ofMillis(60_000).plus(LATEST_DECISION)) <= 0);
  }

  /** When the time was over between two readings of the clock, a whole further gap began. */
  @Test
  void endInThePastStaysInThePast() {
    assertEquals(endAt(100), endAt(100_000));
  }

  @Test
  void earliestEndIsKeptWhereThatSideBinds() {
    SilenceLimit gap = new SilenceLimit(Duration.ofSeconds(30), SilenceLimit.Side.END_AFTER, Long.MAX_VALUE);
    assertEquals(Duration.ofSeconds(30), new StreamSilencePolicy(gap).endAt(activity, Duration.ZERO));
  }

  @Test
  void holdUpIsNoticedByTimersAndByReads() {
    ManualLoop loop = new ManualLoop();
    StallDetector stalls = new StallDetector(loop, () -> true);
    stalls.start();
    loop.runUntil(Duration.ofMillis(1000));
    assertEquals(Duration.ofMillis(990), stalls.earliestArrival(Duration.ofMillis(990)), "no hold-up");
    loop.advanceWithoutRunning(Duration.ofMillis(150));
    assertEquals(Duration.ofMillis(1000), stalls.earliestArrival(loop.now()), "before the timer ran");
    loop.runUntil(loop.now().plusMillis(5));
    assertEquals(Duration.ofMillis(1000), stalls.earliestArrival(Duration.ofMillis(1150)), "after it ran");
    loop.runUntil(loop.now().plusMillis(100));
    assertEquals(Duration.ofMillis(1250), stalls.earliestArrival(Duration.ofMillis(1250)), "the hold-up is over");
  }

  @Test
  void noTimerRunsWhileNothingIsWatched() {
    ManualLoop loop = new ManualLoop();
    boolean[] needed = {true};
    StallDetector stalls = new StallDetector(loop, () -> needed[0]);
    stalls.start();
    needed[0] = false;
    loop.runUntil(Duration.ofMillis(100));
    loop.advanceWithoutRunning(Duration.ofSeconds(10));
    assertEquals(Duration.ofMillis(9000), stalls.earliestArrival(Duration.ofMillis(9000)), "an idle process is not held up");
  }
}
