package gapproxy.gateway;

import gapproxy.runtime.Loop;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides when held resources are released, so that nothing stays held longer than the release time while no attempt is known to need it.
 *
 * <p>A resource may stay held while an attempt is in flight at its server. An attempt whose bytes never reached the server is no
 * reason for that, and no error reveals the loss: a connection may silently stop carrying data while the server still answers on others.
 * Therefore only {@link ArrivalEvidence} of the attempt itself counts, and only for as long as {@link EvidencePolicy} says, since the
 * attempt may have ended and its answer been lost. Without such evidence, the resource is released while there is still time to do so, and
 * the attempt continues: if it is out, the release spares what it is waiting for, and if it arrives later, it is told that its state is
 * gone. While an attempt in flight may leave something, this is repeated.
 *
 * <p>Resources that no attempt will use any more are released at once. In both cases the release is repeated until the {@link
 * HeldResourceLedger} has proof that nothing is held.
 *
 * <p>A server that does not answer on any connection makes no progress on its attempts, even on one that has arrived. Therefore the server
 * of an attempt that has received nothing is probed, and if it does not answer, the attempt is ended so that another one can follow.
 *
 * <p>Confined to the gateway's loop.
 */
final class ReleaseWatch {
  private static final Logger LOG = LoggerFactory.getLogger(ReleaseWatch.class);
  /**
   * Fractions of the release time after which a quiet server is probed, and an attempt at an unresponsive server is ended. The time between
   * the two allows for opening a connection to a busy server and for its answer.
   */
  private static final double PROBE_FRACTION = 0.3, END_FRACTION = 0.8;
  /**
   * The longest time until a server answers a reservation call: it waits 0.3 s for the read that belongs to the reservation, and may start
   * to hold the reservation as late as the end of that wait.
   */
  private static final Duration RESERVATION_ANSWER_TIME = Duration.ofMillis(500);

  /** The actions that the watch takes for a req. */
  interface Actions {
    /** Releases the held resources of a req, since no evidence shows that one of its attempts is out. */
    void releaseEarly(Req req);

    /** Asks again for the reservation beside a read in flight, if there is one, to learn whether the read is still out. */
    void renewEvidence(Req req);

    /** Starts a release of resources that no attempt will use. */
    void release(HeldResourceLedger ledger);

    /** Ends an attempt that probably has not arrived, or whose server does not answer. */
    void end(Req.Attempt attempt, String reason);
  }

  private final Loop loop;
  private final Servers servers;
  private final Actions actions;
  private final Predicate<Req> mayRetry;
  private final EvidencePolicy evidence;
  private final Duration releaseTime, probeAfter, endAfter;

  /**
   * @param releaseTime the longest time a resource may stay held without an attempt that is known to need it
   * @param mayRetry whether a req may be sent again after an attempt that may have run
   */
  ReleaseWatch(Loop loop, Servers servers, Duration releaseTime, Predicate<Req> mayRetry, Actions actions) {
    this.loop = loop;
    this.servers = servers;
    this.actions = actions;
    this.releaseTime = releaseTime;
    this.mayRetry = mayRetry;
    evidence = new EvidencePolicy(releaseTime);
    probeAfter = EvidencePolicy.fraction(releaseTime, PROBE_FRACTION);
    endAfter = EvidencePolicy.fraction(releaseTime, END_FRACTION);
  }

  /** The timeout for the answer to a reservation. */
  Duration reservationTimeout() {
    return releaseTime.compareTo(RESERVATION_ANSWER_TIME) > 0 ? releaseTime : RESERVATION_ANSWER_TIME;
  }

  /** Until when a reservation that is requested now, and not answered, may become held. */
  Duration reservationMayActUntil() {
    return loop.now().plus(HeldResourceLedger.MAX_DELIVERY_DELAY).plus(RESERVATION_ANSWER_TIME);
  }

  /** Re-evaluates a req after its held resources changed or one of its attempts started, was heard from or ended. */
  void reqChanged(Req req) {
    reqChanged(req, loop.now());
  }

  /** Restarts the timers of a req after an acknowledged release: whatever may still be held became held after the release was started. */
  void releaseAcknowledged(Req req, Duration releaseStartedAt) {
    stopWatching(req);
    reqChanged(req, releaseStartedAt);
  }

  /** @param since when the release time begins if it begins with this change */
  private void reqChanged(Req req, Duration since) {
    req.ledgersById.values().forEach(this::releaseUnused);
    if (!req.mayUseHeldResource() || req.isStreaming()) {
      stopWatching(req);
      return;
    }
    Duration from = req.unconfirmedSince == null ? since : req.unconfirmedSince;
    Duration unconfirmedSince = req.lastConfirmedAt != null && req.lastConfirmedAt.compareTo(from) > 0 ? req.lastConfirmedAt : from;
    if (!unconfirmedSince.equals(req.unconfirmedSince)) {
      stopWatching(req);
      req.unconfirmedSince = unconfirmedSince;
      schedule(req, probeAfter, this::probe);
    }
  }

  /** Runs the next step for a req once something may have been held without evidence of an attempt for the given time. */
  private void schedule(Req req, Duration after, Consumer<Req> step) {
    req.releaseCheckTimer = loop.after(req.unconfirmedSince.plus(after).minus(loop.now()), () -> step.accept(req));
  }

  /**
   * Releases at once what no attempt will use, and repeats the release while an event may still act on its server. Under an id that the
   * client gave, this includes what may be held while an answer is streaming, since the end of the stream may be lost.
   */
  private void releaseUnused(HeldResourceLedger ledger) {
    if (ledger.nextReleaseTimer != null) {
      ledger.nextReleaseTimer.cancel();
      ledger.nextReleaseTimer = null;
    }
    Req req = ledger.req;
    boolean streamInProgress = ledger.releasableAnywhere && req.isStreaming();
    if (!ledger.isOpen() || ledger.releaseInProgress || !streamInProgress && req.mayUse(ledger)) {
      return;
    }
    Duration due = ledger.releaseDueAt(loop.now(), evidence.expireAfter());
    if (due.compareTo(loop.now()) <= 0) {
      actions.release(ledger);
    } else {
      ledger.nextReleaseTimer = loop.after(due.minus(loop.now()), () -> releaseUnused(ledger));
    }
  }

  /** Records that the last byte of an attempt was handed to the operating system, and probes the server if the time for that is past. */
  void attemptSent(Req.Attempt attempt) {
    attempt.sentAt = loop.now();
    Req req = attempt.req;
    if (req.mayHoldBesidesAttempts() && req.unconfirmedSince != null && loop.now().minus(req.unconfirmedSince).compareTo(probeAfter) >= 0) {
      probe(attempt);
    }
  }

  /**
   * Handles the answer "not known" to a reservation that was requested during a read: the server knew of no active read, or the read had
   * ended first, and the server may hold the reservation even so. If nothing was received for the read since, its connection is taken to
   * have stopped carrying data.
   *
   * @param requestedAt when the reservation was requested
   */
  void reservationNotKnown(Req.Attempt read, Duration requestedAt) {
    Req req = read.req;
    if (!read.inFlight() || req.lastConfirmedAt != null && req.lastConfirmedAt.compareTo(requestedAt) >= 0) {
      return;
    }
    // If the req must not be sent again, the read continues: it may still arrive, and no other attempt could follow.
    if (mayRetry.test(req)) {
      actions.end(read, "its server knows of no read");
    }
    if (req.unconfirmedSince != null) {
      // Release now, since the reservation may have been held ever since it was requested.
      releaseIfUnconfirmed(req);
    }
  }

  private void stopWatching(Req req) {
    req.unconfirmedSince = null;
    if (req.releaseCheckTimer != null) {
      req.releaseCheckTimer.cancel();
      req.releaseCheckTimer = null;
    }
  }

  /** Probes the servers of attempts in flight, unless nothing but these attempts is a reason to release. */
  private void probe(Req req) {
    schedule(req, evidence.renewAfter(), this::renewEvidence);
    if (req.mayHoldBesidesAttempts()) {
      req.attempts.stream().filter(attempt -> attempt.inFlight() && attempt.sentAt != null && !attempt.probed).toList().forEach(this::probe);
    }
  }

  private void renewEvidence(Req req) {
    schedule(req, evidence.expireAfter(), this::releaseIfUnconfirmed);
    actions.renewEvidence(req);
  }

  private void probe(Req.Attempt attempt) {
    Duration probeStartedAt = loop.now();
    attempt.probed = true;
    loop.after(endAfter.minus(probeAfter), () -> endIfUnresponsive(attempt));
    servers.checkReachable(attempt.server.address(), answers -> {
      LOG.atInfo().addKeyValue("request_id", Gateway.requestId(attempt.req)).addKeyValue("server", attempt.server.address())
          .addKeyValue("role", attempt.server.role()).addKeyValue("answers", answers)
          .addKeyValue("ms", loop.now().minus(probeStartedAt).toMillis()).log("probed a quiet server");
      attempt.serverResponsive |= answers;
    });
  }

  /** Releases what may be held for a req unless newer evidence of one of its attempts has come. */
  private void releaseIfUnconfirmed(Req req) {
    Duration before = req.unconfirmedSince;
    reqChanged(req);
    if (req.unconfirmedSince != null && req.unconfirmedSince.equals(before)) {
      stopWatching(req);
      actions.releaseEarly(req);
    }
  }

  /** Ends an attempt that has received nothing if its server has sent nothing on other connections either since the attempt was sent. */
  private void endIfUnresponsive(Req.Attempt attempt) {
    Duration lastHeardAt = servers.lastReceivedAt(attempt.server.address());
    boolean responsive = attempt.serverResponsive || lastHeardAt != null && lastHeardAt.compareTo(attempt.sentAt) > 0;
    if (attempt.inFlight() && attempt.arrivalEvidence != ArrivalEvidence.OWN_CONNECTION && !responsive) {
      actions.end(attempt, "its server does not answer");
      if (attempt.req.unconfirmedSince != null) {
        releaseIfUnconfirmed(attempt.req);
      }
    }
  }
}
