package gapproxy.gateway;

import gapproxy.runtime.Loop;
import gapproxy.trace.EventRing;
import java.time.Duration;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures how long a held resource that a server has reported stays held while no attempt is known to need it, and reports each one that
 * exceeds the release time. It is an independent check of {@link HeldResourceLedger}, {@link ReleaseWatch} and {@link Releases}: it keeps
 * its own record, based on received responses and ended attempts.
 *
 * <p>The measurement of a hold ends with the first token of an answer, or with the acknowledgement of a release that was started after all
 * attempts had ended and their connection closes must have reached the servers.
 *
 * <p>Confined to the gateway's loop.
 */
final class HeldClock {
  private static final Logger LOG = LoggerFactory.getLogger(HeldClock.class);
  /** The fraction of the release time after which a warning is logged. */
  private static final double WARN_FRACTION = 0.8;
  /** How far past the release time a hold may last before it counts as a violation. */
  private static final Duration SLACK = Duration.ofMillis(300);
  /** How long the close of a connection may take to reach its server. */
  private static final Duration MAX_CLOSE_DELAY = Duration.ofSeconds(1);

  private final Loop loop;
  private final Duration releaseTime;
  private final EventRing ring;
  private final BiConsumer<ReportedHold, Duration> heldTooLong;

  /**
   * @param releaseTime the longest time a resource may stay held without an attempt that needs it
   * @param heldTooLong called for each hold that exceeds the release time plus {@link #SLACK}
   */
  HeldClock(Loop loop, Duration releaseTime, EventRing ring, BiConsumer<ReportedHold, Duration> heldTooLong) {
    this.loop = loop;
    this.releaseTime = releaseTime;
    this.ring = ring;
    this.heldTooLong = heldTooLong;
  }

  /** A resource that a server has reported as held under one id. */
  final class ReportedHold {
    final Req req;
    final Object server;
    /** When the server last reported the hold. */
    private Duration reportedAt;
    /** Since when no attempt is known to need the hold, or null while that is not measured. */
    private Duration unconfirmedSince;
    /** When the last acknowledged release was started, or null. */
    private Duration lastReleaseStartedAt;
    private Loop.Timer warningTimer, violationTimer;

    private ReportedHold(Req req, Object server) {
      this.req = req;
      this.server = server;
    }

    /** Whether an attempt is in flight for which an acknowledged release may have spared the hold, as it had started before that release. */
    private boolean mayBeSpared() {
      return lastReleaseStartedAt != null && req.attempts.stream()
          .anyMatch(a -> a.inFlight() && !a.answerBegun && a.startedAt.compareTo(lastReleaseStartedAt) <= 0);
    }

    /** The last time at which the hold was not overdue: when it was reported, or when an attempt was known to be out or may have been. */
    private Duration unconfirmedFrom() {
      Duration from = req.lastConfirmedAt != null && req.lastConfirmedAt.compareTo(reportedAt) > 0 ? req.lastConfirmedAt : reportedAt;
      return mayBeSpared() && lastReleaseStartedAt.compareTo(from) > 0 ? lastReleaseStartedAt : from;
    }

    private void startTimers(Duration from) {
      stopTimers();
      unconfirmedSince = from;
      warningTimer = loop.after(from.plus(Duration.ofNanos((long) (releaseTime.toNanos() * WARN_FRACTION))).minus(loop.now()), this::warn);
      violationTimer = loop.after(from.plus(releaseTime).plus(SLACK).minus(loop.now()), this::reportHeldTooLong);
    }

    private void stopTimers() {
      if (unconfirmedSince != null) {
        unconfirmedSince = null;
        warningTimer.cancel();
        violationTimer.cancel();
      }
    }

    private void warn() {
      LOG.atWarn().addKeyValue("request_id", Gateway.requestId(req)).addKeyValue("held_at", server)
          .addKeyValue("since_ms", loop.now().minus(unconfirmedSince).toMillis()).addKeyValue("release_ms", releaseTime.toMillis())
          .addKeyValue("history", ring.entriesFor(Gateway.requestId(req))).log("a resource is not known to be released after most of the release time");
    }

    private void reportHeldTooLong() {
      heldTooLong.accept(this, loop.now().minus(unconfirmedSince));
    }
  }

  /** Records that a server reported that it holds a resource. */
  void holdReported(Req req, String id, Object server) {
    ReportedHold hold = req.reportedHoldsById.computeIfAbsent(id, i -> new ReportedHold(req, server));
    hold.reportedAt = loop.now();
    hold.stopTimers();
    attemptsChanged(req);
  }

  /** Re-evaluates the holds of a req after one of its attempts started, was heard from or ended. */
  void attemptsChanged(Req req) {
    for (ReportedHold hold : req.reportedHoldsById.values()) {
      Duration from = hold.unconfirmedFrom();
      if (hold.unconfirmedSince == null || from.compareTo(hold.unconfirmedSince) > 0) {
        hold.startTimers(from);
      }
    }
  }

  /**
   * Records the end of an attempt that may have arrived at its server.
   *
   * @param answered whether its server reported the end
   */
  void attemptEnded(Req.Attempt attempt, boolean answered) {
    if (!answered) {
      attempt.req.lastUnansweredCloseAt = loop.now();
    }
  }

  /** Records that an answer has started, which has consumed the held resources. */
  void answerBegun(Req req) {
    req.reportedHoldsById.values().forEach(ReportedHold::stopTimers);
    req.reportedHoldsById.clear();
  }

  /**
   * Records that a server acknowledged a release.
   *
   * @param releaseStartedAt when the release was started
   */
  void releaseAcknowledged(Req req, String id, Duration releaseStartedAt) {
    ReportedHold hold = req.reportedHoldsById.get(id);
    if (hold == null || releaseStartedAt.compareTo(hold.reportedAt) < 0
        || hold.lastReleaseStartedAt != null && releaseStartedAt.compareTo(hold.lastReleaseStartedAt) < 0) {
      return;
    }
    hold.lastReleaseStartedAt = releaseStartedAt;
    boolean closeMayArrive = req.lastUnansweredCloseAt != null
        && req.lastUnansweredCloseAt.plus(MAX_CLOSE_DELAY).compareTo(releaseStartedAt) > 0;
    if (!hold.mayBeSpared() && !closeMayArrive) {
      forget(req, id);
    } else if (releaseStartedAt.compareTo(hold.unconfirmedSince) > 0) {
      hold.startTimers(releaseStartedAt);
    }
    attemptsChanged(req);
  }

  /** Stops measuring a hold, since its release has been given up. */
  void forget(Req req, String id) {
    ReportedHold hold = req.reportedHoldsById.remove(id);
    if (hold != null) {
      hold.stopTimers();
    }
  }
}
