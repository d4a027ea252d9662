package gapproxy.soak;

import gapproxy.audit.Audit;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

/**
 * Collects what the traffic shows to be wrong: violations of the five rules, which {@link Audit} checks, and of the further
 * requirements on late attempts, time budgets and late events. Belongs to the event loop of the harness.
 */
final class SoakJudge {
  private static final Duration CANCEL_TOLERANCE = Duration.ofMillis(100), DEADLINE_TOLERANCE = Duration.ofMillis(150),
      LATE_EVENT_THRESHOLD = Duration.ofMillis(300);
  // The protocol's limit on a client's wait after a running server's last event, the longest rest that has to stay possible, and what the
  // harness itself may add to a time.
  private static final Duration MAX_WAIT = Duration.ofMillis(5050), LONGEST_REST = Duration.ofMillis(4750),
      HARNESS_TOLERANCE = Duration.ofMillis(100);
  private static final double MAX_LATE_STREAM_SHARE = 0.05;
  private static final int MAX_SHOWN = 40;

  final Audit audit;
  private final Duration slack;
  private final UnaryOperator<String> describeRequest;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Duration> closedAt = new HashMap<>();  // by req: time of its client's close
  private final Map<String, Duration> deadlines = new HashMap<>();  // by req: end of its client's time budget
  private final Map<String, StreamRecord> streamRecords = new HashMap<>();
  private int streams, lateStreams, excusedStreams, brokenStreams, omittedViolations;

  /**
   * Creates a judge without findings.
   *
   * @param figures limits that the rules are checked against
   * @param describeRequest describes how a req was sent
   */
  SoakJudge(Audit.Limits figures, UnaryOperator<String> describeRequest) {
    this.describeRequest = describeRequest;
    audit = new Audit(figures);
    slack = figures.slack();
  }

  void addViolation(Duration at, String what) {
    if (violations.size() < MAX_SHOWN) {
      violations.add(at.toMillis() + " ms: " + what);
    } else {
      omittedViolations++;
    }
  }

  void setDeadline(String id, Duration deadline) {
    deadlines.put(id, deadline);
  }

  void recordClientClose(String id, Duration at) {
    closedAt.put(id, at);
  }

  /**
   * Checks an attempt that has arrived completely at a model server.
   *
   * @param statedBudgetMs time budget that the attempt states to the server
   * @param delayed whether a network fault may have delayed the attempt
   */
  void checkAttempt(Duration at, String id, long statedBudgetMs, boolean delayed) {
    Duration left = deadlines.containsKey(id) ? deadlines.get(id).minus(at) : null;
    if (left == null) {
      addViolation(at, id + ": no client has sent this req");
      return;
    }
    Duration sinceClose = closedAt.containsKey(id) ? at.minus(closedAt.get(id)) : Duration.ZERO;
    if (!delayed && sinceClose.compareTo(CANCEL_TOLERANCE.plus(slack)) > 0) {
      addViolation(at, id + ": an attempt began " + sinceClose.toMillis() + " ms after its client's close; " + describeRequest.apply(id));
    }
    if (!delayed && statedBudgetMs > left.plus(DEADLINE_TOLERANCE).plus(slack).toMillis()) {
      addViolation(at, id + ": a server was told " + statedBudgetMs + " ms, its client has " + left.toMillis() + " ms left; "
          + describeRequest.apply(id));
    }
  }

  /**
   * Records a stream that its client has received completely.
   *
   * @param maxEventDelay longest time that one of its events took from the server to the client
   * @param excused whether a fault or the client itself may have delayed events
   */
  void recordStream(Duration maxEventDelay, boolean excused) {
    streams++;
    if (maxEventDelay.compareTo(LATE_EVENT_THRESHOLD) > 0) {
      lateStreams += excused ? 0 : 1;
      excusedStreams += excused ? 1 : 0;
    }
  }

  /** Records that a server has begun to write an answer. */
  void streamBegun(String id, StreamRecord streamRecord) {
    streamRecords.put(id, streamRecord);
  }

  /**
   * Checks an answer that broke off: whether its client waited for too long after the last event, or not long enough.
   *
   * @param excused whether a fault of the network or of the gateway, or the client itself, may have changed the time
   */
  void checkBrokenStream(Duration at, String id, boolean excused) {
    StreamRecord streamRecord = streamRecords.get(id);
    if (streamRecord == null || !streamRecord.endedByGateway()) {
      return;
    }
    Duration waited = at.minus(streamRecord.lastEventAt);
    brokenStreams++;
    if (waited.compareTo(MAX_WAIT.plus(excused ? slack.plus(HARNESS_TOLERANCE) : HARNESS_TOLERANCE)) > 0) {
      addViolation(at, id + ": its client waited " + waited.toMillis() + " ms after the last event of a running server; "
          + describeRequest.apply(id));
    } else if (!excused && waited.compareTo(LONGEST_REST.minus(HARNESS_TOLERANCE)) < 0 && !streamRecord.spoilt) {
      addViolation(at, id + ": a stream was cut off " + waited.toMillis() + " ms after its last event; " + describeRequest.apply(id));
    }
  }

  /** The result up to now. */
  SoakVerdict verdict(Duration at) {
    Audit.Report report = audit.finish(at);
    List<String> allViolations = new ArrayList<>();
    report.violations().stream().limit(MAX_SHOWN).forEach(b -> allViolations.add("rule " + b.rule() + " at " + b.at().toMillis()
        + " ms: " + b.description()
        + (b.rule() == 1 ? "; " + describeRequest.apply(b.description().substring(0, b.description().indexOf('#'))) : "")));
    allViolations.addAll(violations);
    if (lateStreams > MAX_LATE_STREAM_SHARE * streams) {
      allViolations.add(lateStreams + " of " + streams + " streams had an event over " + LATE_EVENT_THRESHOLD.toMillis() + " ms late");
    }
    if (omittedViolations > 0) {
      allViolations.add(omittedViolations + " more");
    }
    return new SoakVerdict(report, List.copyOf(allViolations), streams, lateStreams, excusedStreams, brokenStreams);
  }
}
