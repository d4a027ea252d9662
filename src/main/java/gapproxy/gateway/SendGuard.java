package gapproxy.gateway;

import gapproxy.api.Event;
import gapproxy.api.Settings.EndpointGroup;
import gapproxy.api.Settings.Repeat;
import gapproxy.runtime.Loop;
import gapproxy.trace.EventRing;
import gapproxy.trace.Metrics;
import java.time.Duration;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether an attempt, a reservation or a final answer may leave the gateway now. The guard is asked at the last moment, after the
 * wait for a connection and before the first byte. It checks each attempt again once the last byte was written: anything that then breaks a
 * rule is counted as a violation and logged with the recent events of the req.
 *
 * <p>The guard never chooses a server. The decision logic does, and the guard repeats the checks of that logic independently.
 *
 * <p>Confined to the gateway's loop.
 */
final class SendGuard {
  /**
   * The rules whose violations are counted: a req gets one final answer, in time; its effect happens at most once unless it may be
   * repeated; nothing new is sent to a draining server; nothing stays held too long; nothing is sent after the client closed its
   * connection; and no server is told a later deadline than the client's.
   */
  enum Rule { FINAL_ANSWER_ONCE, FINAL_ANSWER_IN_TIME, EFFECT_TWICE, SENT_TO_DRAINING, HELD_TOO_LONG, SENT_AFTER_CLIENT_CLOSE,
      DEADLINE_TOLD }

  /** Why an attempt is not sent. */
  enum Refusal { ATTEMPT_ENDED, REQUEST_ANSWERED, CLIENT_GONE, SERVER_TAKES_NOTHING_NEW, EFFECT_MAY_HAVE_HAPPENED, REPEAT_WINDOW_OVER }

  /** The result of a check. */
  sealed interface Permission permits Granted, Refused {}

  /** The attempt may be sent now. */
  record Granted() implements Permission {}

  /** The attempt must not be sent any more. */
  record Refused(Refusal cause) implements Permission {}

  private static final Logger LOG = LoggerFactory.getLogger(SendGuard.class);
  private static final Permission GRANTED = new Granted();
  /** How long the process may be paused between a check and the write that follows it. */
  private static final Duration MAX_PROCESS_PAUSE = Duration.ofMillis(150);
  /** How long after the client's close an attempt may still be sent. */
  private static final Duration CLIENT_CLOSE_GRACE = Duration.ofMillis(100);
  /** How far past its time budget a req may still get its final answer without a violation; a later answer is lost. */
  private static final Duration ANSWER_GRACE = Duration.ofMillis(500);
  /** The shortest interval between two dumps of the recent events. */
  private static final Duration MIN_DUMP_INTERVAL = Duration.ofSeconds(1);

  private final Loop loop;
  private final Fleet fleet;
  private final List<EndpointGroup> groups;
  private final Metrics metrics;
  private final EventRing ring;
  private final EffectRecord effects;
  private Duration lastDumpAt;

  SendGuard(Loop loop, Fleet fleet, GatewaySettings gatewaySettings, Metrics metrics, EventRing ring, EffectRecord effects) {
    this.effects = effects;
    this.loop = loop;
    this.fleet = fleet;
    this.groups = gatewaySettings.settings().groups();
    this.metrics = metrics;
    this.ring = ring;
  }

  /** Checks whether an attempt may be sent now, and counts a refusal. */
  Permission permitAttempt(Req.Attempt attempt) {
    if (!attempt.inFlight()) {
      return refuse(attempt, Refusal.ATTEMPT_ENDED);
    } else if (attempt.req.answered || attempt.req.streamingAttempt != null) {
      return refuse(attempt, Refusal.REQUEST_ANSWERED);
    } else if (!attempt.req.client.connected()) {
      return refuse(attempt, Refusal.CLIENT_GONE);
    } else if (!fleet.acceptsNewWork(attempt.server)) {
      return refuse(attempt, Refusal.SERVER_TAKES_NOTHING_NEW);
    } else if (!mayRepeat(attempt)) {
      return refuse(attempt, Refusal.EFFECT_MAY_HAVE_HAPPENED);
    } else if (attempt.sendDeadline != null && loop.now().plus(MAX_PROCESS_PAUSE).compareTo(attempt.sendDeadline) >= 0) {
      return refuse(attempt, Refusal.REPEAT_WINDOW_OVER);
    }
    effects.attemptPermitted(attempt, groups.get(attempt.req.attributes.group()).repeat());
    return GRANTED;
  }

  /**
   * Until when the last byte of an attempt has to be written, or null if there is no limit. A repeat that arrives after its window would have
   * its effect again.
   */
  Duration latestWriteEnd(Req.Attempt attempt) {
    return attempt.sendDeadline == null ? null : attempt.sendDeadline.minus(MAX_PROCESS_PAUSE);
  }

  private Permission refuse(Req.Attempt attempt, Refusal cause) {
    metrics.sendRefusal(cause);
    ring.add(new EventRing.Entry(loop.now(), Gateway.requestId(attempt.req), "attempt is refused", attempt.server.address(), cause));
    return new Refused(cause);
  }

  /** Whether a reservation may be requested now. */
  boolean permitsReservation(Req req, Req.Reservation reservation) {
    return req.reservation == reservation && !req.answered && fleet.acceptsNewWork(reservation.server());
  }

  /** Whether a req may be given a final answer. A second one is refused and counted as a violation. */
  boolean permitsAnswer(Req req, String end) {
    if (req.answered) {
      violation(Rule.FINAL_ANSWER_ONCE, req, null, "a second final answer was held back: " + end);
      return false;
    }
    if (req.streamingAttempt == null && !end.equals("hung_up")
        && loop.now().compareTo(req.receivedAt.plus(req.attributes.budget()).plus(ANSWER_GRACE)) > 0) {
      violation(Rule.FINAL_ANSWER_IN_TIME, req, null, end + ", " + loop.now().minus(req.receivedAt).toMillis() + " ms after it was taken");
    }
    return true;
  }

  /** Checks an attempt again right after its last byte was written. */
  void checkSent(Req.Attempt attempt) {
    Duration now = loop.now();
    Req req = attempt.req;
    if (req.clientClosedAt != null && now.minus(req.clientClosedAt).compareTo(CLIENT_CLOSE_GRACE) > 0) {
      violation(Rule.SENT_AFTER_CLIENT_CLOSE, req, attempt, now.minus(req.clientClosedAt).toMillis() + " ms after the client's close");
    }
    Duration unavailableSince = fleet.unavailableSince(attempt.server);
    if (unavailableSince != null && now.minus(unavailableSince).compareTo(MAX_PROCESS_PAUSE) > 0) {
      violation(Rule.SENT_TO_DRAINING, req, attempt, now.minus(unavailableSince).toMillis() + " ms after it was told");
    }
    if (!mayRepeat(attempt) || attempt.sendDeadline != null && now.compareTo(attempt.sendDeadline) > 0) {
      violation(Rule.EFFECT_TWICE, req, attempt, "an earlier attempt may have run");
    }
    if (attempt.serverDeadline != null
        && attempt.serverDeadline.compareTo(req.receivedAt.plus(req.attributes.budget()).plus(MAX_PROCESS_PAUSE)) > 0) {
      violation(Rule.DEADLINE_TOLD, req, attempt, "the server was told more time than the client has");
    }
  }

  /**
   * Counts a resource that is not known to have been released, or taken, past the release time, as measured by {@link HeldClock}. The server
   * may hold nothing any longer: it says so only by an acknowledgement or a first token.
   */
  void heldTooLong(HeldClock.ReportedHold hold, Duration held) {
    violation(Rule.HELD_TOO_LONG, Gateway.requestId(hold.req), hold.server,
        "reported as held, and for " + held.toMillis() + " ms neither known to be released nor any attempt known to be out");
  }

  /**
   * Whether no earlier attempt forbids this one. An effect may happen only once, unless the req carries an idempotency key and the scope in
   * which repeats are recognized covers both servers. The time window for repeats is checked separately, by the attempt's send deadline.
   */
  private boolean mayRepeat(Req.Attempt attempt) {
    EndpointGroup group = groups.get(attempt.req.attributes.group());
    if (group.repeat() == Repeat.REPLAYABLE) {
      return true;
    }
    for (Req.Attempt earlier : attempt.req.attempts) {
      boolean mayHaveRun = earlier.number < attempt.number && (earlier.outcome == null || !earlier.outcome.neverRan());
      boolean covered = group.repeat() == Repeat.KEYED && earlier.server != null
          && group.scope().covers(line(earlier.server), line(attempt.server));
      if (mayHaveRun && !covered) {
        return false;
      }
    }
    return true;
  }

  private static Event.Line line(Fleet.Server server) {
    return Fleet.line(server, Event.State.READY);
  }

  private void violation(Rule rule, Req req, Req.Attempt attempt, String detail) {
    violation(rule, Gateway.requestId(req), attempt == null || attempt.server == null ? null : attempt.server.address(), detail);
  }

  private void violation(Rule rule, String requestId, Object server, String detail) {
    metrics.ruleViolation(rule);
    LOG.atError().addKeyValue("rule", rule).addKeyValue("request_id", requestId).addKeyValue("server", server)
        .addKeyValue("cause", detail).addKeyValue("history", ring.entriesFor(requestId)).log("rule violated");
    if (lastDumpAt == null || loop.now().minus(lastDumpAt).compareTo(MIN_DUMP_INTERVAL) >= 0) {
      lastDumpAt = loop.now();
      ring.entries().forEach(e -> LOG.atWarn().addKeyValue("event", e).log("recent event before the rule violation"));
    }
  }
}
