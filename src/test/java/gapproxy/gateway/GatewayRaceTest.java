package gapproxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.engine.EngineFailure;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Races between two events in the gateway, run in a chosen order with fake clients, servers and clock. */
class GatewayRaceTest extends GatewayHarness {
  @Test
  void readIsNotSentAfterItsClientDisconnected() {
    FakeReq req = sendReq();
    assertTrue(servers.reads.get(0).shouldSend());
    req.disconnectHandler.run();
    assertFalse(servers.reads.get(0).shouldSend(), "the read would be sent after its client disconnected");
  }

  @Test
  void stateIsReleasedWhenClientDisconnectsBeforeReadEnds() {
    FakeReq req = sendReq();
    req.disconnectHandler.run();
    servers.reads.get(0).readDone("", 0, 0);
    advance(Duration.ofSeconds(1));
    assertEquals(List.of(), servers.writes);
    assertEquals(List.of("r"), servers.releases.subList(0, 1), "the held state is released");
  }

  @Test
  void readIsNotSentToServerThatStartedDraining() {
    sendReq();
    publishList(false, entry(READER, "reading", "DRAINING", null));
    assertFalse(servers.reads.get(0).shouldSend());
  }

  @Test
  void readIsNotSentToServerThatWasRestarted() {
    sendReq();
    publishList(false, entry(READER, "reading", "READY", Instant.EPOCH.plus(loop.now())));
    assertFalse(servers.reads.get(0).shouldSend(), "the server was chosen as a warm one");
  }

  @Test
  void reservationIsNotRequestedAtDrainingServer() {
    sendReq();
    assertEquals(List.of(), servers.reservations, "no reservation before the read is sent");
    drainWriter();
    advance(Duration.ofMillis(500));
    servers.reads.get(0).sent();
    advance(TICK);
    assertEquals(List.of(), servers.reservations, "a reservation was requested at a draining server");
  }

  @Test
  void reservationIsNotSentToServerThatStartedDraining() {
    sendReq();
    servers.reads.get(0).sent();
    assertTrue(servers.reservations.get(0).shouldSend());
    drainWriter();
    assertFalse(servers.reservations.get(0).shouldSend());
  }

  @Test
  void writeIsNotStartedAtDrainingServer() {
    sendReq();
    servers.reads.get(0).sent();
    drainWriter();
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    assertEquals(List.of(), servers.writes);
  }

  @Test
  void retryIsNotSentAfterRepeatWindow() throws Exception {
    start("idempotency_key");
    sendReq();
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    assertTrue(servers.writes.get(0).shouldSend(), "the repeat window does not apply to a first attempt");
    servers.writes.get(0).failed(new EngineFailure(EngineFailure.Kind.BROKEN, 0, new byte[0], "broken"));
    advance(TICK);
    assertEquals(2, servers.writes.size() + servers.reads.size() - 1, "retried within the window");
    Servers.SendListener retry = servers.writes.size() > 1 ? servers.writes.get(1) : servers.reads.get(1);
    assertTrue(retry.shouldSend());
    advance(Duration.ofMillis(310));
    assertFalse(retry.shouldSend(), "servers no longer drop repeats");
  }

  @Test
  void brokenReadIsReleasedThoughItsRetryIsUsed() {
    sendReq();
    servers.reads.get(0).sent();
    servers.reads.get(0).failed(new EngineFailure(EngineFailure.Kind.BROKEN, 0, new byte[0], "cut in its answer"));
    advance(Duration.ofMillis(50));
    assertEquals(2, servers.reads.size(), "the read is retried");
    servers.reads.get(1).readDone("", 0, 0);
    advance(TICK);
    Servers.WriteListener write = servers.writes.get(0);
    write.chunk("first", true);
    write.done();
    advance(TICK);
    assertTrue(servers.releases.contains("r"), "the state of the first read may still be held");
  }

  @Test
  void heldResourceIsNotReleasedWhileRetriedReadIsOut() {
    sendReq();
    servers.reads.get(0).sent();
    servers.reservations.get(0).answered(Servers.ReservationResult.HELD);
    servers.reads.get(0).failed(new EngineFailure(EngineFailure.Kind.BROKEN, 0, new byte[0], "cut in its answer"));
    advance(Duration.ofMillis(500));
    assertEquals(2, servers.reads.size(), "the read is retried");
    assertEquals(List.of(), servers.releases, "a release call would also free what the retried read leaves");
  }

  @Test
  void completeListRemovesUnlistedServers() {
    for (int i = 10; i < 40; i++) {
      publishList(true, entry(READER, "reading", "READY", null), entry(WRITER, "writing", "READY", null),
          entry(i, "writing", "READY", null));
      advance(Duration.ofSeconds(10));
    }
    assertTrue(gateway.knownServers() < 12, gateway.knownServers() + " servers are known");
  }

  @Test
  void lateReservationIsReleased() {
    FakeReq req = sendReq();
    servers.reads.get(0).sent();
    req.disconnectHandler.run();
    advance(TICK);
    servers.reads.get(0).failed(new EngineFailure(EngineFailure.Kind.BROKEN, 0, new byte[0], "closed"));
    advance(TICK);
    servers.releases.clear();
    servers.reservations.get(0).answered(Servers.ReservationResult.HELD);
    advance(TICK);
    assertEquals(List.of("r"), servers.releases.subList(0, 1));
  }

  @Test
  void timeoutAndLateFirstTokenGiveOneAnswer() {
    FakeReq req = sendReq(Duration.ofMillis(400));
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    advance(Duration.ofSeconds(1));
    servers.writes.get(0).chunk("late", true);
    servers.writes.get(0).done();
    advance(TICK);
    assertEquals(1, req.answers.size(), req.answers.toString());
  }

  @Test
  void secondStopIsIgnored() {
    List<String> ends = new ArrayList<>();
    gateway.stop(() -> ends.add("first"));
    gateway.stop(() -> ends.add("second"));
    advance(Duration.ofSeconds(1));
    assertEquals(List.of("first"), ends);
  }

  /** A write that goes out on an idle connection to a server that stopped responding never arrives: the held state is released. */
  @Test
  void stateIsReleasedInTimeWhenWriteGoesToSilentServer() {
    sendReq();
    servers.reads.get(0).readDone("", 0, 0);
    servers.probesUnanswered = true;
    advance(TICK);
    assertEquals(1, servers.writes.size());
    advance(Duration.ofMillis(900));
    assertTrue(servers.releases.contains("r"), "held for a write that never arrived");
  }

  /**
   * Guards against taking responses on other connections as evidence that a write has arrived: a state was held for 0.76 s and longer with
   * a release time of 0.5 s, since the write went out on an idle connection that no longer carried data, while its server answered on
   * other connections (133 of 136 such servers did; with whole servers blocked, nothing was held too long). The write itself continues:
   * if it did arrive, it keeps the state that it fetches.
   */
  @Test
  void stateIsReleasedInTimeWhenWriterAnswersOnlyOtherConnections() {
    sendReq();
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    servers.writes.get(0).sent();
    advance(Duration.ofMillis(900));
    assertTrue(servers.releases.contains("r"), "there is no evidence that the write has arrived");
    assertTrue(servers.writes.get(0).shouldSend(), "it may have arrived at a slow server");
  }

  /** Data on the write's own connection shows that it is out at that moment, so its state stays held for as long as more comes. */
  @Test
  void stateIsKeptForWriteThatReceivesData() {
    sendReq();
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    servers.writes.get(0).sent();
    for (int i = 0; i < 3; i++) {
      servers.writes.get(0).chunk(": queued", false);
      advance(Duration.ofMillis(400));
    }
    assertEquals(List.of(), servers.releases);
    assertTrue(servers.writes.get(0).shouldSend());
  }

  /** Its server may vanish after the data: the state was held until the write timed out. The write itself continues. */
  @Test
  void stateIsReleasedInTimeWhenNothingMoreComesForWriteThatReceivedData() {
    sendReq();
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    servers.writes.get(0).sent();
    advance(Duration.ofMillis(300));
    servers.writes.get(0).chunk(": queued", false);
    advance(Duration.ofMillis(550));
    assertEquals(List.of(), servers.releases);
    advance(Duration.ofMillis(100));
    assertEquals(List.of("r"), servers.releases);
    assertTrue(servers.writes.get(0).shouldSend());
  }

  /**
   * Servers grant a reservation only while the read is in flight, so the grant shows that the read is out; it is asked for again for as long
   * as the read takes.
   */
  @Test
  void reservationIsKeptWhileItShowsThatItsReadIsOut() {
    sendReq();
    servers.reads.get(0).sent();
    advance(TICK);
    for (int i = 0; i < 14; i++) {
      if (servers.reservations.size() > i / 4) {
        servers.reservations.get(servers.reservations.size() - 1).answered(Servers.ReservationResult.HELD);
      }
      advance(Duration.ofMillis(100));
    }
    assertEquals(List.of(), servers.releases);
    assertEquals(1, servers.reads.size());
    assertTrue(servers.reservations.size() <= 5, servers.reservations.size() + " reservation calls in 1.4 s");
  }

  /** The read may end right after the grant with its answer lost: state and place were held until the read timed out. */
  @Test
  void reservationIsReleasedInTimeWhenNothingShowsThatItsReadIsStillOut() {
    sendReq();
    servers.reads.get(0).sent();
    advance(TICK);
    servers.reservations.get(0).answered(Servers.ReservationResult.HELD);
    advance(Duration.ofMillis(550));
    assertEquals(List.of(), servers.releases);
    advance(Duration.ofMillis(100));
    assertEquals(List.of("r"), servers.releases);
    assertEquals(1, servers.reads.size(), "the read goes on");
  }

  /** A read without a place leaves its state when its answer is lost: nothing was released until the read timed out. */
  @Test
  void releaseIsRepeatedWhileReadWithoutPlaceIsSilent() {
    sendReq();
    servers.reads.get(0).sent();
    advance(TICK);
    servers.reservations.get(0).answered(Servers.ReservationResult.NOT_HELD);
    advance(Duration.ofMillis(1400));
    assertEquals(List.of("r", "r"), servers.releases, "one call for each 0.6 of the release time");
    assertEquals(1, servers.reads.size(), "the read goes on");
  }

  /**
   * The close of a read on a connection that carries no data never arrives, so the read may end well as late as the deadline that its server
   * was told: its state was held for 27 s, as the releases had ended before.
   */
  @Test
  void releaseIsRepeatedUntilTheDeadlineThatTheServerOfAnUnansweredReadWasTold() throws Exception {
    start("read_like", Duration.ofMillis(250), false, servers);
    FakeReq req = sendReq();
    Duration deadline = loop.now().plus(servers.lastReadTimeout);
    servers.reads.get(0).sent();
    advance(TICK);
    servers.reservations.get(0).answered(Servers.ReservationResult.NOT_KNOWN);
    req.disconnectHandler.run();
    advance(deadline.minus(loop.now()));
    int untilDeadline = servers.releases.size();
    advance(Duration.ofMillis(250));
    assertTrue(servers.releases.size() > untilDeadline, "none after " + deadline);
    advance(Duration.ofSeconds(1));
    int afterDeadline = servers.releases.size();
    advance(Duration.ofSeconds(5));
    assertEquals(afterDeadline, servers.releases.size());
    assertTrue(servers.lastReadTimeout.compareTo(Duration.ofMillis(1250)) > 0, "the close counts as seen by then");
  }

  /** Lets the first read break with its reservation call unanswered, so that it is retried with a second reservation call. */
  private void retryReadWithEarlierReservationUnanswered() {
    sendReq();
    servers.reads.get(0).sent();
    advance(TICK);
    servers.reads.get(0).failed(new EngineFailure(EngineFailure.Kind.BROKEN, 0, new byte[0], "broken"));
    advance(Duration.ofMillis(50));
    servers.reads.get(1).sent();
    advance(TICK);
  }

  /** A reservation proves the arrival of the read that it was requested for, and of no later one. */
  @Test
  void reservationOfEarlierReadDoesNotProveRetryArrived() {
    retryReadWithEarlierReservationUnanswered();
    servers.reservations.get(0).answered(Servers.ReservationResult.HELD);
    advance(Duration.ofMillis(900));
    assertTrue(servers.releases.contains("r"));
  }

  /**
   * Guards against taking a reservation as proof that a retry has arrived while the server may still regard the first read, closed a moment
   * before, as in flight: the retry never arrived, and the reservation was held for 1.5 s with a release time of 0.5 s.
   */
  @Test
  void reservationProvesNothingWhileEarlierReadMayBeOut() {
    retryReadWithEarlierReservationUnanswered();
    servers.reservations.get(1).answered(Servers.ReservationResult.HELD);
    advance(Duration.ofMillis(900));
    assertTrue(servers.releases.contains("r"));
  }

  @Test
  void reservationOfEarlierReadDoesNotEndRetry() {
    retryReadWithEarlierReservationUnanswered();
    servers.reservations.get(0).answered(Servers.ReservationResult.NOT_KNOWN);
    advance(Duration.ofMillis(50));
    servers.reads.get(1).readDone("", 0, 0);
    advance(TICK);
    assertEquals(2, servers.reads.size());
    assertEquals(1, servers.writes.size());
  }

  /**
   * Guards against reqs without a final answer at their deadline, as seen for the first req of a process that had just started: the process
   * stalls past the req's deadline between the decision and the attempt, so the attempt's timeout has already passed when it is set,
   * and its timer runs after the req's own.
   */
  @Test
  void reqsAreAnsweredAfterProcessStallPastTheirDeadline() {
    servers.onRead = () -> {
      servers.onRead = () -> { };
      loop.advanceWithoutRunning(Duration.ofMillis(500));
    };
    List<FakeReq> reqs = List.of(new FakeReq("r", Duration.ofMillis(400)), new FakeReq("s", Duration.ofMillis(400)));
    reqs.forEach(frontend.reqHandler::accept);
    advance(Duration.ofMillis(700));
    assertEquals(0, gateway.internalFaults());
    reqs.forEach(req -> assertEquals(1, req.answers.size(), req.id + " " + req.answers));
  }

  /**
   * A reservation call is answered NOT_KNOWN while the read is unanswered: the read did not arrive, though a reservation may exist. The
   * read is retried.
   */
  @Test
  void possibleReservationIsReleasedAtOnceWhenReadIsUnknown() {
    sendReq();
    servers.reads.get(0).sent();
    advance(Duration.ofMillis(300));
    servers.reservations.get(0).answered(Servers.ReservationResult.NOT_KNOWN);
    advance(Duration.ofMillis(50));
    assertTrue(servers.releases.contains("r"));
    assertEquals(2, servers.reads.size(), "the read is retried");
  }

  /** A read that must not be retried continues, as its connection may merely be slow; the reservation is released. */
  @Test
  void nonRetryableReadContinuesWhenUnknownToServer() throws Exception {
    start("non_idempotent");
    FakeReq req = sendReq();
    servers.reads.get(0).sent();
    advance(Duration.ofMillis(300));
    servers.reservations.get(0).answered(Servers.ReservationResult.NOT_KNOWN);
    advance(Duration.ofMillis(50));
    assertTrue(servers.releases.contains("r"));
    assertEquals(1, servers.reads.size());
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    assertEquals(1, servers.writes.size());
    assertEquals(List.of(), req.answers);
  }

  /** A failed reservation call is no evidence about its read; what may be held is released in time. */
  @Test
  void unansweredReservationIsReleasedInTime() {
    sendReq();
    servers.reads.get(0).sent();
    advance(Duration.ofMillis(1));
    servers.reservations.get(0).answered(Servers.ReservationResult.UNANSWERED);
    advance(Duration.ofMillis(900));
    assertTrue(servers.releases.contains("r"));
  }

  /** The server may grant a reservation after the call has failed, so the release is repeated once the server can no longer do so. */
  @Test
  void unansweredReservationIsReleasedAgainAfterReqFinished() {
    FakeReq req = sendReq();
    servers.reads.get(0).sent();
    advance(TICK);
    servers.reads.get(0).loadReport(new double[0]);
    req.disconnectHandler.run();
    servers.reads.get(0).failed(new EngineFailure(EngineFailure.Kind.FULL, 503, new byte[0], "turned away"));
    advance(TICK);
    servers.reservations.get(0).answered(Servers.ReservationResult.UNANSWERED);
    advance(Duration.ofMillis(500));
    servers.releases.clear();
    advance(Duration.ofSeconds(1));
    assertTrue(servers.releases.contains("r"));
  }

  /** A read whose client disconnected may arrive after the release and leave its state held. */
  @Test
  void abandonedReadIsReleasedAgainAfterReqFinished() {
    FakeReq req = sendReq();
    servers.reads.get(0).sent();
    req.disconnectHandler.run();
    advance(Duration.ofMillis(500));
    servers.releases.clear();
    advance(Duration.ofSeconds(1));
    assertTrue(servers.releases.contains("r"));
  }

  /** A reservation that is reported after the answer has begun is released at once, since the end of the stream may be lost. */
  @Test
  void possibleReservationIsReleasedAtOnceDuringStream() {
    sendReq();
    servers.reads.get(0).sent();
    advance(TICK);
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    servers.writes.get(0).chunk("first", true);
    advance(TICK);
    servers.releases.clear();
    servers.reservations.get(0).answered(Servers.ReservationResult.NOT_KNOWN);
    advance(TICK);
    assertTrue(servers.releases.contains("r"));
  }

  /** A write that gets no response and must not be retried: its state is released in time, and the req fails within its time budget. */
  @Test
  void nonRetryableWriteGetsFailedAnswer() throws Exception {
    start("non_idempotent");
    FakeReq req = sendReq(Duration.ofSeconds(2));
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    servers.writes.get(0).sent();
    advance(Duration.ofMillis(900));
    assertTrue(servers.releases.contains("r"));
    advance(Duration.ofMillis(1200));
    assertEquals(1, servers.writes.size());
    assertEquals(1, servers.reads.size());
    assertEquals(List.of("failed"), req.answers);
  }

  /** A write still waiting for its connection ends when its state is released. It was never sent, so the prompt is read again. */
  @Test
  void unsentWriteEndsWhenItsStateIsReleased() {
    sendReq();
    servers.reads.get(0).readDone("", 0, 0);
    advance(Duration.ofMillis(700));
    assertTrue(servers.releases.contains("r"));
    assertFalse(servers.writes.get(0).shouldSend());
    assertEquals(2, servers.reads.size(), "the read is retried");
  }

  /** The release time runs from the end of an answered read, not from the reservation made during the read. */
  @Test
  void releaseDeadlineRestartsWhenReadIsAnswered() {
    sendReq();
    servers.reads.get(0).sent();
    advance(Duration.ofMillis(400));
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    servers.writes.get(0).sent();
    advance(Duration.ofMillis(400));
    assertEquals(List.of(), servers.releases);
    advance(Duration.ofMillis(400));
    assertTrue(servers.releases.contains("r"));
  }

  /** A reservation whose read never arrives is released in time. */
  @Test
  void reservationIsReleasedInTimeWhenReadGoesToSilentServer() {
    sendReq();
    servers.probesUnanswered = true;
    servers.reads.get(0).sent();
    advance(TICK);
    servers.reservations.get(0).answered(Servers.ReservationResult.HELD);
    advance(Duration.ofMillis(900));
    assertTrue(servers.releases.contains("r"), "held for a read that never arrived");
  }

  /** A process may stall for 0.15 s between the check and the write, so a retry is not sent in the last 0.15 s of its repeat window. */
  @Test
  void retryLeavesMarginForProcessStallInRepeatWindow() throws Exception {
    start("idempotency_key");
    sendReq();
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    Duration sent = loop.now();
    servers.writes.get(0).failed(new EngineFailure(EngineFailure.Kind.BROKEN, 0, new byte[0], "broken"));
    advance(TICK);
    Servers.SendListener retry = servers.writes.size() > 1 ? servers.writes.get(1) : servers.reads.get(1);
    assertTrue(retry.shouldSend());
    advance(sent.plus(Duration.ofMillis(200)).minus(loop.now()));
    assertFalse(retry.shouldSend(), "after a stall of 0.15 s it would arrive after the window of 0.3 s");
  }

  /** Guards against a write that truly never left and is not sent again: only one that is being written may be leaving. */
  @ParameterizedTest
  @ValueSource(strings = {"read_like", "idempotency_key", "non_idempotent"})
  void writeThatGotNoConnectionIsRepeatedAfterAnEarlyRelease(String repeat) throws Exception {
    start(repeat);
    FakeReq req = sendReq();
    servers.reads.get(0).sent();
    servers.reads.get(0).readDone("", 0, 0);
    advance(Duration.ofMillis(50));
    assertEquals(1, servers.writes.size());
    advance(Duration.ofMillis(700));
    assertEquals(2, servers.reads.size(), "read again");
    assertFalse(servers.writes.get(0).shouldSend(), "the first write is over");
    assertEquals(List.of(), req.answers);
  }
}
