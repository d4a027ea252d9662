package gapproxy.gateway;

import gapproxy.http.HttpClient;
import gapproxy.runtime.Loop;
import gapproxy.trace.EventRing;
import java.time.Duration;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records what happens to attempts, and to the held resources of their reqs, in the ring of recent events and in the log. */
final class AttemptLog {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptLog.class);

  private final Loop loop;
  private final Servers servers;
  private final EventRing ring;

  AttemptLog(Loop loop, Servers servers, EventRing ring) {
    this.loop = loop;
    this.servers = servers;
    this.ring = ring;
  }

  /** Records an event of an attempt. */
  void event(Req.Attempt attempt, String event) {
    event(attempt.req, attempt.server, event, attempt.outcome == null ? attempt.path : attempt.outcome);
    LOG.atDebug().addKeyValue("request_id", Gateway.requestId(attempt.req)).addKeyValue("attempt", attempt.number)
        .addKeyValue("path", attempt.path).addKeyValue("server", attempt.server == null ? null : attempt.server.address())
        .addKeyValue("state", attempt.req.stage())
        .addKeyValue("outcome", attempt.outcome).addKeyValue("cause", attempt.reason).log(event);
  }

  /** Records an event of a reservation. */
  void reservationEvent(Req req, Fleet.Server server, String event) {
    event(req, server, event, null);
    LOG.atDebug().addKeyValue("request_id", Gateway.requestId(req)).addKeyValue("server", server.address())
        .addKeyValue("state", req.stage())
        .log(event);
  }

  /** Records that the held resources of a req are released although its attempts may still be in flight: none is known to be out. */
  void releasedEarly(Req req) {
    event(req, null, "released, as no attempt is known to have arrived", null);
    if (req.anyInFlight()) {
      req.attempts.stream().filter(Req.Attempt::inFlight)
          .forEach(attempt -> warn(attempt, "released early, as no attempt is known to have arrived"));
    } else {
      LOG.atWarn().addKeyValue("request_id", Gateway.requestId(req)).addKeyValue("held", describeHeld(req))
          .log("released early, with no attempt in flight");
    }
  }

  /** Records that a release is made only in case an attempt in flight has ended at its server, or lost its server, without being heard. */
  void releasedBesideAttempt(Req req) {
    event(req, null, "released beside an attempt in flight", null);
    LOG.atDebug().addKeyValue("request_id", Gateway.requestId(req)).addKeyValue("held", describeHeld(req))
        .log("released beside an attempt in flight");
  }

  /**
   * Records that no server holds anything for a req under one of its ids any longer.
   *
   * @param by what proved it
   */
  void nothingHeld(Req req, HeldResources.Proof by) {
    event(req, null, "nothing is held any longer", by);
    LOG.atDebug().addKeyValue("request_id", Gateway.requestId(req)).addKeyValue("cause", by).log("nothing is held any longer");
  }

  /** Logs a warning with everything known about an attempt, its connection and the held resources of its req. */
  void warn(Req.Attempt attempt, String message) {
    HttpClient.ConnectionState connection = attempt.call == null ? null : attempt.call.connection();
    LOG.atWarn().addKeyValue("request_id", Gateway.requestId(attempt.req)).addKeyValue("attempt", attempt.number)
        .addKeyValue("path", attempt.path).addKeyValue("server", attempt.server == null ? null : attempt.server.address())
        .addKeyValue("sent_ms", millisSince(attempt.sentAt))
        .addKeyValue("connection", connection == null ? null : connection.number())
        .addKeyValue("connection_age_ms", millisSince(connection == null ? null : connection.openedAt()))
        .addKeyValue("connection_heard_ms", millisSince(connection == null ? null : connection.lastHeardAt()))
        .addKeyValue("server_heard_ms", millisSince(attempt.server == null ? null : servers.lastReceivedAt(attempt.server.address())))
        .addKeyValue("evidence", attempt.arrivalEvidence)
        .addKeyValue("confirmed_ms", millisSince(attempt.req.lastConfirmedAt)).addKeyValue("held", describeHeld(attempt.req)).addKeyValue("why", attempt.reason)
        .log(message);
  }

  /**
   * Records that an answer is ended because its server fell silent, with the times that tell whether the end came too early or too late.
   *
   * @param endDelay how late the timer of the end ran
   */
  void streamSilent(Req.Attempt attempt, Duration endDelay) {
    StreamActivity activity = attempt.activity;
    event(attempt.req, attempt.server, "stream is silent", activity.silence());
    LOG.atWarn().addKeyValue("request_id", Gateway.requestId(attempt.req)).addKeyValue("attempt", attempt.number)
        .addKeyValue("path", attempt.path).addKeyValue("server", attempt.server.address()).addKeyValue("cause", activity.silence())
        .addKeyValue("last_event_ms", millisSince(activity.lastEvent().readAt())).addKeyValue("last_byte_ms", millisSince(activity.lastReadAt()))
        .addKeyValue("held_up_ms", activity.lastEvent().readAt().minus(activity.lastEvent().earliest()).toMillis())
        .addKeyValue("unfinished_bytes", activity.unfinishedBytes())
        .addKeyValue("client_paused_ms", activity.pausedTotal().toMillis()).addKeyValue("end_delay_ms", endDelay.toMillis())
        .addKeyValue("server_heard_ms", millisSince(servers.lastReceivedAt(attempt.server.address())))
        .addKeyValue("held", describeHeld(attempt.req)).log("answer ended, as its server is silent");
  }

  /** Records that an answer is ended because it broke off or because its server wrote what is no valid answer. */
  void streamBroken(Req.Attempt attempt, StreamBreak cause, String reason) {
    event(attempt.req, attempt.server, "stream is broken", cause);
    HttpClient.ConnectionState connection = attempt.call == null ? null : attempt.call.connection();
    LOG.atWarn().addKeyValue("request_id", Gateway.requestId(attempt.req)).addKeyValue("attempt", attempt.number)
        .addKeyValue("path", attempt.path).addKeyValue("server", attempt.server.address()).addKeyValue("cause", cause)
        .addKeyValue("connection", connection == null ? null : connection.number())
        .addKeyValue("last_event_ms", millisSince(attempt.activity.lastEvent().readAt()))
        .addKeyValue("last_byte_ms", millisSince(attempt.activity.lastReadAt())).addKeyValue("held", describeHeld(attempt.req))
        .addKeyValue("why", reason).log("answer ended, as it is broken");
  }

  private void event(Req req, Fleet.Server server, String event, Object cause) {
    ring.add(new EventRing.Entry(loop.now(), Gateway.requestId(req), event, server == null ? null : server.address(), cause));
  }

  private Object millisSince(Duration time) {
    return time == null ? null : loop.now().minus(time).toMillis();
  }

  private String describeHeld(Req req) {
    String inUse = req.heldState != null ? "state at " + req.heldState.server().address()
        : req.reservation != null
            ? (req.reservationConfirmed ? "place at " : "place not confirmed at ") + req.reservation.server().address()
            : "nothing to be used";
    List<String> open = req.ledgersById.values().stream().filter(HeldResourceLedger::isOpen).map(l -> l.describe(loop.now())).toList();
    return inUse + (open.isEmpty() ? "" : ", may be held: " + String.join("; ", open));
  }
}
