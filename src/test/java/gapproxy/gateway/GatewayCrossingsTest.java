package gapproxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.engine.Verdict;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Two events that meet in the gateway, in a chosen order: clients and servers are this test's own, and so is the clock. */
class GatewayCrossingsTest extends GatewayHarness {
  @Test
  void aClientsCloseXAConnectComingUpLate() {
    Asker a = ask();
    assertTrue(servers.reads.get(0).wanted());
    a.onLost.run();
    assertFalse(servers.reads.get(0).wanted(), "it would be sent after its client's close");
  }

  @Test
  void aClientsCloseXTheReadsEnd() {
    Asker a = ask();
    a.onLost.run();
    servers.reads.get(0).read("", 0, 0);
    turn(Duration.ofSeconds(1));
    assertEquals(List.of(), servers.writes);
    assertEquals(List.of("r"), servers.frees.subList(0, 1), "what was read is freed");
  }

  @Test
  void aDrainXAConnectComingUpLate() {
    ask();
    tell(false, entry(READER, "reading", "DRAINING", null));
    assertFalse(servers.reads.get(0).wanted());
  }

  @Test
  void aReplacementUnderItsNameXAConnectComingUpLate() {
    ask();
    tell(false, entry(READER, "reading", "READY", Instant.EPOCH.plus(loop.now())));
    assertFalse(servers.reads.get(0).wanted(), "it was chosen as a warm one");
  }

  @Test
  void aDrainXAHoldThatWaitsForItsRead() {
    ask();
    assertEquals(List.of(), servers.holds, "not before the read is out");
    drainWriter();
    turn(Duration.ofMillis(500));
    servers.reads.get(0).sent();
    turn(TURN);
    assertEquals(List.of(), servers.holds, "a place was asked for at a draining server");
  }

  @Test
  void aDrainXAHoldThatWaitsForItsConnection() {
    ask();
    servers.reads.get(0).sent();
    assertTrue(servers.holds.get(0).wanted());
    drainWriter();
    assertFalse(servers.holds.get(0).wanted());
  }

  @Test
  void aDrainXTheSecondStep() {
    ask();
    servers.reads.get(0).sent();
    drainWriter();
    servers.reads.get(0).read("", 0, 0);
    turn(TURN);
    assertEquals(List.of(), servers.writes);
  }

  @Test
  void theRepeatWindowsEndXAConnectComingUpLate() throws Exception {
    start("idempotency_key");
    ask();
    servers.reads.get(0).read("", 0, 0);
    turn(TURN);
    assertTrue(servers.writes.get(0).wanted(), "a first attempt has no such end");
    servers.writes.get(0).failed(new Verdict(Verdict.Kind.BROKEN, 0, new byte[0], "broken"));
    turn(TURN);
    assertEquals(2, servers.writes.size() + servers.reads.size() - 1, "sent again within the window");
    Servers.Sending again = servers.writes.size() > 1 ? servers.writes.get(1) : servers.reads.get(1);
    assertTrue(again.wanted());
    turn(Duration.ofMillis(310));
    assertFalse(again.wanted(), "repeats are dropped no longer");
  }

  @Test
  void aReadThatBrokeAsItEndedIsFreedThoughAnotherOneIsTaken() {
    ask();
    servers.reads.get(0).sent();
    servers.reads.get(0).failed(new Verdict(Verdict.Kind.BROKEN, 0, new byte[0], "cut in its answer"));
    turn(Duration.ofMillis(50));
    assertEquals(2, servers.reads.size(), "read anew");
    servers.reads.get(1).read("", 0, 0);
    turn(TURN);
    Servers.Writing w = servers.writes.get(0);
    w.piece("first", true);
    w.done();
    turn(TURN);
    assertTrue(servers.frees.contains("r"), "the first one's state may be held still");
  }

  @Test
  void whatIsHeldIsNotFreedUnderAReadThatFollowsAtOnce() {
    ask();
    servers.reads.get(0).sent();
    servers.holds.get(0).answered(true, true);
    servers.reads.get(0).failed(new Verdict(Verdict.Kind.BROKEN, 0, new byte[0], "cut in its answer"));
    turn(Duration.ofMillis(500));
    assertEquals(2, servers.reads.size(), "read anew");
    assertEquals(List.of(), servers.frees, "one call frees all that the second read leaves, too");
  }

  @Test
  void aWholeListRemovesWhatItLacks() {
    for (int i = 10; i < 40; i++) {
      tell(true, entry(READER, "reading", "READY", null), entry(WRITER, "writing", "READY", null), entry(i, "writing", "READY", null));
      turn(Duration.ofSeconds(10));
    }
    assertTrue(gateway.known() < 12, gateway.known() + " servers are known");
  }

  @Test
  void aHoldAnsweredLateIsFreedWithTheRest() {
    Asker a = ask();
    servers.reads.get(0).sent();
    a.onLost.run();
    turn(TURN);
    servers.reads.get(0).failed(new Verdict(Verdict.Kind.BROKEN, 0, new byte[0], "closed"));
    turn(TURN);
    servers.frees.clear();
    servers.holds.get(0).answered(true, true);
    turn(TURN);
    assertEquals(List.of("r"), servers.frees.subList(0, 1));
  }

  @Test
  void aTimeOutXTheFirstEventGivesOneAnswer() {
    Asker a = ask(Duration.ofMillis(400));
    servers.reads.get(0).read("", 0, 0);
    turn(TURN);
    turn(Duration.ofSeconds(1));
    servers.writes.get(0).piece("late", true);
    servers.writes.get(0).done();
    turn(TURN);
    assertEquals(1, a.answers.size(), a.answers.toString());
  }

  @Test
  void aSecondStopRunsNothingTwice() {
    List<String> ends = new ArrayList<>();
    gateway.stop(() -> ends.add("first"));
    gateway.stop(() -> ends.add("second"));
    turn(Duration.ofSeconds(1));
    assertEquals(List.of("first"), ends);
  }

  /**
   * The decode server fell silent: the write on a connection that has rested never arrives, so it is not out, and what the prefill
   * server holds for it has to be released in time.
   */
  @Test
  void aStateIsReleasedInTimeThoughItsWriteGoesToASilentServer() {
    ask();
    servers.reads.get(0).read("", 0, 0);
    servers.silent = true;
    turn(TURN);
    assertEquals(1, servers.writes.size());
    turn(Duration.ofMillis(900));
    assertTrue(servers.frees.contains("r"), "held by a write that nobody has got");
  }

  /** A slow server that answers when it is asked has the write; its state stays. */
  @Test
  void aStateIsKeptForAWriteAtASlowServerThatAnswers() {
    ask();
    servers.reads.get(0).read("", 0, 0);
    turn(TURN);
    servers.writes.get(0).sent();
    turn(Duration.ofMillis(900));
    assertEquals(List.of(), servers.frees);
    assertTrue(servers.writes.get(0).wanted());
  }

  /** A place that may be held while the read for it never arrives is released as well. */
  @Test
  void aPlaceIsReleasedInTimeThoughItsReadGoesToASilentServer() {
    ask();
    servers.silent = true;
    servers.reads.get(0).sent();
    turn(TURN);
    servers.holds.get(0).answered(true, true);
    turn(Duration.ofMillis(900));
    assertTrue(servers.frees.contains("r"), "held for a read that nobody has got");
  }

  /** A process may be held up for 0.15 s between the check and the write: a repeat has to leave so much of its window. */
  @Test
  void aRepeatLeavesRoomInItsWindowForAProcessThatIsHeldUp() throws Exception {
    start("idempotency_key");
    ask();
    servers.reads.get(0).read("", 0, 0);
    turn(TURN);
    Duration sent = loop.now();
    servers.writes.get(0).failed(new Verdict(Verdict.Kind.BROKEN, 0, new byte[0], "broken"));
    turn(TURN);
    Servers.Sending again = servers.writes.size() > 1 ? servers.writes.get(1) : servers.reads.get(1);
    assertTrue(again.wanted());
    turn(sent.plus(Duration.ofMillis(200)).minus(loop.now()));
    assertFalse(again.wanted(), "held up for 0.15 s it would come after the window of 0.3 s");
  }
}
