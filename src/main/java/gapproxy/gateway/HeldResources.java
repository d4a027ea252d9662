package gapproxy.gateway;

import gapproxy.api.Action;
import gapproxy.api.Event.Outcome;
import gapproxy.api.Settings;
import gapproxy.runtime.Loop;
import gapproxy.trace.EventRing;
import gapproxy.trace.Metrics;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Manages what servers hold for the reqs of one gateway: the held states that reads leave at readers, the reservations at writers, and
 * whatever may be held although no response reported it. Makes reservations, records in the {@link HeldResourceLedger}s what may be held,
 * and has {@link Releases} release it when {@link ReleaseWatch} decides so.
 *
 * <p>If the client gave its req an id, that id is used at all servers, and one release call at any server releases everything held under
 * it. Otherwise each held state and each reservation has an id of its own.
 *
 * <p>Confined to the gateway's loop.
 */
final class HeldResources implements ReleaseWatch.Actions, Releases.Listener {
  /** Callback that ends an attempt. */
  interface AttemptEnder {
    /** @param note as in {@link gapproxy.api.Event.Ended} */
    void end(Req.Attempt attempt, Outcome outcome, long note, String reason);
  }

  /** Why nothing counts as held under an id any longer. All but {@code GIVEN_UP}, when release calls have failed too long, are proofs. */
  enum Proof { FIRST_TOKEN, RELEASE, NOT_HELD, GIVEN_UP }

  private final Loop loop;
  private final Servers servers;
  private final Fleet fleet;
  private final SendGuard guard;
  private final Metrics metrics;
  private final AttemptLog log;
  private final AttemptEnder attemptEnder;
  private final UnfinishedWritePolicy unfinishedWrites;
  private final Releases releases;
  private final HeldClock clock;
  private final ReleaseWatch watch;
  /**
   * The longest time from the close of a connection until its server sees the close: the delivery delay, and the release time, since a
   * network partition that no call has detected may have delayed the close for that long.
   */
  private final Duration maxCloseDelay;
  private final Set<HeldResourceLedger> openLedgers = new LinkedHashSet<>();

  HeldResources(Loop loop, GatewaySettings gatewaySettings, Servers servers, Fleet fleet, SendGuard guard, Metrics metrics, EventRing ring,
      AttemptLog log, AttemptEnder attemptEnder, UnfinishedWritePolicy unfinishedWrites) {
    this.loop = loop;
    this.servers = servers;
    this.fleet = fleet;
    this.guard = guard;
    this.metrics = metrics;
    this.log = log;
    this.attemptEnder = attemptEnder;
    this.unfinishedWrites = unfinishedWrites;
    maxCloseDelay = HeldResourceLedger.MAX_DELIVERY_DELAY.plus(gatewaySettings.releaseWithin());
    clock = new HeldClock(loop, gatewaySettings.releaseWithin(), ring, guard::heldTooLong);
    releases = new Releases(servers, loop, gatewaySettings.releaseWithin(), fleet::othersByFailureDomain, metrics, this);
    watch = new ReleaseWatch(loop, servers, gatewaySettings.releaseWithin(),
        req -> gatewaySettings.settings().groups().get(req.attributes.group()).repeat() != Settings.Repeat.NON_REPLAYABLE, this);
  }

  /** The number of ids under which something may be held, not counting those whose release is overdue. */
  int pendingReleases() {
    return (int) openLedgers.stream().filter(ledger -> !ledger.releaseOverdue).count();
  }

  /** Discards release work for an address that is no longer in use. */
  void forgetServer(InetSocketAddress address) {
    releases.forgetServer(address);
  }

  /** Re-evaluates a req after its held resources changed or one of its attempts started, was heard from or ended. */
  void reqChanged(Req req) {
    watch.reqChanged(req);
    clock.attemptsChanged(req);
  }

  /** Records that the last byte of an attempt was handed to the operating system. */
  void attemptSent(Req.Attempt attempt) {
    watch.attemptSent(attempt);
    Req req = attempt.req;
    if (attempt.isRead() && attempt.inFlight() && attempt.inFlightEntry == null && req.clientRequestId != null) {
      HeldResourceLedger ledger = ledger(req, attempt.serverRequestId);
      attempt.inFlightEntry = ledger.recordInFlight(attempt.server, loop.now());
      openLedgers.add(ledger);
      reqChanged(req);
    }
  }

  /** Records that data was received on an attempt's own connection. */
  void heardOnOwnConnection(Req.Attempt attempt) {
    if (attempt.inFlight() && !attempt.answerBegun) {
      attempt.arrivalEvidence = ArrivalEvidence.OWN_CONNECTION;
      attempt.req.confirmed(loop.now());
      reqChanged(attempt.req);
    }
  }

  private HeldResourceLedger ledger(Req req, String id) {
    return req.ledgersById.computeIfAbsent(id, i -> new HeldResourceLedger(req, i, req.clientRequestId != null));
  }

  private HeldResourceLedger.Entry recordMayHold(Req req, Fleet.Server server, String id, Duration mayActUntil, boolean answered) {
    HeldResourceLedger ledger = ledger(req, id);
    HeldResourceLedger.Entry entry = ledger.recordMayHold(server, loop.now(), mayActUntil, answered);
    openLedgers.add(ledger);
    releases.resume(ledger);
    return entry;
  }

  /** Counts and logs a ledger once nothing may be held under its id any longer. */
  private void closeIfProved(HeldResourceLedger ledger, Proof by) {
    if (!ledger.isOpen() && openLedgers.remove(ledger)) {
      metrics.holdEnded(by);
      log.nothingHeld(ledger.req, by);
    }
  }

  /**
   * Records the end of an attempt. It may leave a held state of its own, or resources that a release spared because it needed them. An answer
   * that broke off no longer proves by its first token that its server has taken what was held: the token may have been another one's, or
   * a part of a spoilt stream.
   */
  void ended(Req.Attempt attempt) {
    Req req = attempt.req;
    removeInFlightEntry(attempt);
    boolean neverReachedServer = attempt.outcome == Outcome.NO_CONNECTION
        || attempt.outcome == Outcome.NOT_SENT && !attempt.endedInWriting;
    if (!neverReachedServer && attempt.outcome != Outcome.DONE) {
      recordWhatItMayLeave(attempt);
    }
    HeldResourceLedger heldLedger = req.ledgersById.get(attempt.serverRequestId);
    if (heldLedger != null) {
      closeIfProved(heldLedger, Proof.NOT_HELD);
    }
  }

  /**
   * Until when an attempt that is closed now without an answer may act on its server. A close on a connection that carries no data never
   * arrives, but no server works on an attempt past the deadline that it was told.
   */
  private Duration lastActionOf(Req.Attempt attempt) {
    Duration closeSeen = loop.now().plus(maxCloseDelay);
    return attempt.serverDeadline != null && attempt.serverDeadline.compareTo(closeSeen) > 0 ? attempt.serverDeadline : closeSeen;
  }

  private static void removeInFlightEntry(Req.Attempt attempt) {
    if (attempt.inFlightEntry != null) {
      attempt.inFlightEntry.remove();
      attempt.inFlightEntry = null;
    }
  }

  private void recordWhatItMayLeave(Req.Attempt attempt) {
    Req req = attempt.req;
    boolean answered = attempt.outcome == Outcome.READ || attempt.outcome == Outcome.FULL
        || attempt.outcome == Outcome.ERROR && attempt.arrivalEvidence == ArrivalEvidence.OWN_CONNECTION;
    if (answered) {
      req.confirmed(loop.now());
    }
    clock.attemptEnded(attempt, answered);
    req.lastUnansweredReadCloseAt = attempt.isRead() && !answered ? loop.now() : req.lastUnansweredReadCloseAt;
    boolean mayLeaveState = attempt.isRead() && attempt.outcome != Outcome.FULL;
    HeldResourceLedger heldLedger = req.ledgersById.get(attempt.serverRequestId);
    boolean mayRetain = attempt.mayRetainAfterRelease
        || req.clientRequestId != null && heldLedger != null && (heldLedger.isOpen() || attempt.answerBegun);
    // After a break, or the client's close, a single release is made: each client that leaves would cost several otherwise.
    boolean over = answered || attempt.answerBegun && attempt.outcome != Outcome.TIMED_OUT;
    Duration mayActUntil = over ? loop.now() : lastActionOf(attempt);
    if (mayLeaveState || mayRetain) {
      recordMayHold(req, attempt.server, attempt.serverRequestId, mayActUntil, over);
    } else if (req.clientRequestId != null && !over) {
      ledger(req, attempt.serverRequestId).recordUnansweredClose(attempt.server, loop.now(), mayActUntil);
    }
    if (attempt.outcome == Outcome.READ) {
      releases.cancel(ledger(req, attempt.serverRequestId));       // its state is of use now
      clock.holdReported(req, attempt.serverRequestId, attempt.server.address());
    }
  }

  /**
   * Requests a reservation at a server, in place of the current one.
   *
   * @param callback receives whether the server granted it
   */
  void reserve(Req req, Fleet.Server server, Consumer<Boolean> callback) {
    giveUpReservation(req);
    log.reservationEvent(req, server, "reservation is asked for");
    Req.Reservation reservation = new Req.Reservation(server, req.clientRequestId != null ? req.clientRequestId
        : req.assignedId + "-p" + req.attempts.size());
    req.reservation = reservation;
    req.reservationConfirmed = false;
    requestReservation(req, reservation, callback);
  }

  /** Asks for a reservation, for the first time or again, and takes its answer as evidence of the read in flight. */
  private void requestReservation(Req req, Req.Reservation reservation, Consumer<Boolean> callback) {
    Fleet.Server server = reservation.server();
    Duration requestedAt = loop.now();
    Req.Attempt concurrentRead = readInFlight(req);
    boolean earlierReadMayBeActive = req.lastUnansweredReadCloseAt != null
        && req.lastUnansweredReadCloseAt.plus(maxCloseDelay).compareTo(requestedAt) > 0;
    HeldResourceLedger.Entry entry = recordMayHold(req, server, reservation.id(), watch.reservationMayActUntil(), false);
    reqChanged(req);
    servers.reserve(server.address(), reservation.id(), req.client, watch.reservationTimeout(), new Servers.ReservationListener() {
      @Override
      public boolean shouldSend() {
        return guard.permitsReservation(req, reservation);
      }

      @Override
      public void answered(Servers.ReservationResult answer) {
        log.reservationEvent(req, server, "reservation is answered " + answer);
        reservationAnswered(req, reservation, entry, answer);
        if (answer == Servers.ReservationResult.HELD && !earlierReadMayBeActive) {
          readKnownActive(concurrentRead, requestedAt);
        }
        reqChanged(req);
        if (answer == Servers.ReservationResult.NOT_KNOWN && concurrentRead != null) {
          watch.reservationNotKnown(concurrentRead, requestedAt);
        }
        callback.accept(answer == Servers.ReservationResult.HELD);
      }
    });
  }

  private static Req.Attempt readInFlight(Req req) {
    return req.attempts.stream().filter(attempt -> attempt.inFlight() && attempt.isRead() && attempt.sentAt != null)
        .reduce((a, b) -> b).orElse(null);
  }

  /** Asks again for a reservation that was granted, since the server grants it only while the read is out. */
  @Override
  public void renewEvidence(Req req) {
    Req.Attempt read = readInFlight(req);
    if (req.reservation != null && req.reservationConfirmed && read != null && servers.reservationProvesRead()) {
      log.reservationEvent(req, req.reservation.server(), "reservation is asked for again");
      requestReservation(req, req.reservation, granted -> { });
    }
  }

  private void reservationAnswered(Req req, Req.Reservation reservation, HeldResourceLedger.Entry entry, Servers.ReservationResult answer) {
    boolean held = answer == Servers.ReservationResult.HELD;
    if (answer == Servers.ReservationResult.NOT_HELD) {
      entry.remove();
      closeIfProved(ledger(req, reservation.id()), Proof.NOT_HELD);
    } else if (answer != Servers.ReservationResult.UNANSWERED) {
      entry.markAnswered(loop.now());
    }
    if (req.reservation == reservation) {
      req.reservationConfirmed = held;
      req.reservation = held ? reservation : null;
    }
    if (held) {
      clock.holdReported(req, reservation.id(), reservation.server().address());
    }
  }

  /**
   * Records that a read was out when a reservation was requested, if a granted one proves that, see {@link Servers#reservationProvesRead}.
   */
  private void readKnownActive(Req.Attempt read, Duration requestedAt) {
    if (read != null && read.inFlight() && servers.reservationProvesRead()) {
      read.arrivalEvidence = read.arrivalEvidence == null ? ArrivalEvidence.RESERVATION : read.arrivalEvidence;
      read.req.confirmed(requestedAt);
    }
  }

  /**
   * Records that an answer has started. The answering attempt has consumed the held state and the reservation, and the ledger entries that
   * are settled by that are removed.
   */
  void answerBegun(Req req) {
    req.heldState = null;
    req.reservation = null;
    req.attempts.forEach(attempt -> attempt.mayRetainAfterRelease = false);
    removeInFlightEntry(req.streamingAttempt);
    req.ledgersById.values().forEach(ledger -> {
      ledger.answerBegun(req.streamingAttempt.startedAt);
      closeIfProved(ledger, Proof.FIRST_TOKEN);
    });
    clock.answerBegun(req);
    reqChanged(req);
  }

  /** Gives up the reservation: no attempt will use it. */
  void giveUpReservation(Req req) {
    req.reservation = null;
    reqChanged(req);
  }

  /** Gives up the held state: no attempt will use it. */
  void giveUpHeldState(Req req) {
    req.heldState = null;
    reqChanged(req);
  }

  /** Releases the held state and the reservation, except those that an attempt in flight needs. */
  void release(Req req) {
    if (req.clientRequestId != null && req.anyInFlight()) {
      // Under the id that the client gave, one call would release everything, including what the attempts in flight need.
      return;
    }
    boolean stateFetchInFlight = req.attempts.stream().anyMatch(attempt -> attempt.inFlight() && attempt.path == Action.Path.WRITE);
    boolean writerAttemptInFlight = req.attempts.stream().anyMatch(attempt -> attempt.inFlight() && !attempt.isRead());
    req.heldState = stateFetchInFlight ? req.heldState : null;
    req.reservation = writerAttemptInFlight ? req.reservation : null;
    if (!req.anyInFlight()) {
      req.ledgersById.values().forEach(this::release);
    }
    reqChanged(req);
  }

  /**
   * Releases the held resources of a req because none of its attempts is known to be out. Attempts in flight continue, except a write that
   * was not sent, as {@link UnfinishedWritePolicy} decides: it would have no held state left to fetch. When an attempt ends later, the
   * decision logic is told that the state is gone and may start a new read.
   */
  @Override
  public void releaseEarly(Req req) {
    if (!req.mayHoldBesidesAttempts()) {
      log.releasedBesideAttempt(req);
      req.ledgersById.values().forEach(this::release);
      reqChanged(req);
      return;
    }
    String path = req.attempts.stream().filter(Req.Attempt::inFlight).findFirst()
        .map(attempt -> attempt.path.name().toLowerCase(Locale.ROOT)).orElse("none");
    metrics.earlyRelease(path);
    log.releasedEarly(req);
    req.heldState = null;
    req.reservation = null;
    req.ledgersById.values().forEach(this::release);
    List<Req.Attempt> unsent = req.attempts.stream()
        .filter(attempt -> attempt.inFlight() && attempt.path == Action.Path.WRITE && attempt.sentAt == null).toList();
    unsent.forEach(attempt -> unfinishedWrites.outcomeOfEarlyRelease(attempt)
        .ifPresent(outcome -> attemptEnder.end(attempt, outcome, 1, "its state was released before it was sent")));
    reqChanged(req);
  }

  @Override
  public void release(HeldResourceLedger ledger) {
    if (ledger.isOpen()) {
      releases.begin(ledger);
    }
  }

  @Override
  public void end(Req.Attempt attempt, String reason) {
    attemptEnder.end(attempt, Outcome.TIMED_OUT, 0, reason);
  }

  @Override
  public void releaseAcknowledged(HeldResourceLedger ledger, Duration releaseStartedAt, InetSocketAddress by) {
    ledger.releaseAcknowledged(releaseStartedAt, by, fleet::isSameInstance);
    clock.releaseAcknowledged(ledger.req, ledger.id, releaseStartedAt);
    closeIfProved(ledger, Proof.RELEASE);
  }

  @Override
  public void serverReachable(InetSocketAddress address) {
    openLedgers.forEach(ledger -> ledger.serverReachable(address, loop.now()));
  }

  @Override
  public void ended(HeldResourceLedger ledger) {
    watch.releaseAcknowledged(ledger.req, ledger.lastReleaseStartedAt() == null ? loop.now() : ledger.lastReleaseStartedAt());
  }

  @Override
  public void releaseGivenUp(HeldResourceLedger ledger) {
    ledger.giveUp();
    clock.forget(ledger.req, ledger.id);
    closeIfProved(ledger, Proof.GIVEN_UP);
  }
}
