package gapproxy;

import gapproxy.api.Event;
import gapproxy.api.Settings;
import gapproxy.api.Settings.Role;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * What one gateway knows of a model server from the server list and load reports, together with the attempts and tokens that the gateway
 * itself has open there.
 */
abstract class ServerView extends Mailboxes.Actor {
  /** A number of tokens and the time at which they were cached or sent. */
  record TimedTokens(double tokens, Duration at) {}

  /** The latest failure of an endpoint group at this server, and how long reqs of that group then avoid the server. */
  record GroupFailure(Duration at, Duration avoidFor) {
    boolean happenedWithin(Duration now, Duration within) { return now.minus(at).compareTo(within) < 0; }
  }

  private static final Duration LONG_RUNNING = Duration.ofDays(1);
  final long id;
  private final Settings settings;
  /** Prefixes assumed to be in the server's key-value cache, by the hash of the session or of the shared prompt prefix. */
  final Map<Long, TimedTokens> cachedPrefixes = new HashMap<>();
  /** Tokens of recent sends, which the server's latest load report may not cover yet, oldest first. */
  final Deque<TimedTokens> recentSends = new ArrayDeque<>();
  Event.Line line;
  /** The latest start time listed so far, null if the server started long ago; an outdated list never moves it back. */
  Duration startedAt;
  boolean listed = true;
  /** This gateway's open remote reads and open writes at the server. */
  int openReads, openWrites;
  /** Expected tokens of this gateway's open writes, and those of their prompt tokens that the server has yet to read itself. */
  double ownTokens, unreadTokens;
  /** The latest load report, null before the first; {@link Settings.Reports} names its columns. */
  double[] report;
  /** Failures by endpoint group; cleared when a group that had failed succeeds again. */
  final Map<Integer, GroupFailure> groupFailures = new HashMap<>();
  /** The latest send time among the attempts that succeeded. */
  Duration latestSuccessSentAt;

  ServerView(Settings settings, long id, Event.Line line) {
    super(true);
    this.settings = settings;
    this.id = id;
    this.line = line;
    this.startedAt = line.upSince();
  }

  Settings.ServerKind kind() { return settings.kinds().get(line.kind()); }

  Role role() { return kind().role(); }

  boolean isReader() { return role() != Role.WRITE; }

  boolean isWriter() { return role() != Role.READ; }

  /** Whether the server can both read a prompt and write its answer. */
  boolean canReadLocally() { return role() == Role.BOTH || settings.writersRead(); }

  /** The memory size in tokens; unbounded if the settings give none. */
  double memoryTokens() { return kind().memoryTokens() > 0 ? kind().memoryTokens() : Double.MAX_VALUE; }

  /** Whether the server list allows new attempts at this server. */
  boolean isReady() { return listed && line.state() == Event.State.READY; }

  /** The time since the server's start. */
  Duration uptime(Duration now) { return startedAt == null ? LONG_RUNNING : now.minus(startedAt); }

  /** The cached tokens of a prefix, at most {@code limit}; 0 if the prefix was last used before {@code since}. */
  double cachedTokens(long key, double limit, Duration since) {
    TimedTokens cached = cachedPrefixes.get(key);
    return cached == null || cached.at.compareTo(since) < 0 ? 0 : Math.min(limit, cached.tokens);
  }

  /**
   * Records a successful attempt. If its endpoint group had failed here, the failures of all groups are cleared, since the fault may have
   * affected the whole server.
   */
  void recordSuccess(Attempt attempt) {
    if (groupFailures.containsKey(attempt.req.accepted.group())) {
      groupFailures.clear();
    }
    latestSuccessSentAt = latestSuccessSentAt == null || attempt.sentAt.compareTo(latestSuccessSentAt) > 0
        ? attempt.sentAt : latestSuccessSentAt;
  }

  /**
   * Records a failed attempt: reqs of its endpoint group avoid this server for {@code shortest}. If the group fails here again after that
   * span has passed, its reqs avoid the server for twice the previous span, up to {@code longest}.
   */
  void recordGroupFailure(Attempt attempt, Duration now, Duration shortest, Duration longest) {
    GroupFailure previous = groupFailures.get(attempt.req.accepted.group());
    Duration avoidFor = previous == null ? shortest : previous.happenedWithin(now, previous.avoidFor()) ? previous.avoidFor()
        : Durations.min(longest, previous.avoidFor().multipliedBy(2));
    groupFailures.put(attempt.req.accepted.group(), new GroupFailure(now, avoidFor));
  }

  /** Whether an attempt sent to this server later has already succeeded, so that a queue can't be what delays the given one. */
  boolean isOvertaken(Attempt attempt) { return latestSuccessSentAt != null && attempt.sentAt.compareTo(latestSuccessSentAt) < 0; }

  /**
   * Records the tokens of a send, and forgets the sends that no report can leave uncovered any longer: where reports never come, they would
   * be kept for ever.
   *
   * @param retention how long a report is used, and how far it lags
   */
  void recordSend(double tokens, Duration now, Duration retention) {
    recentSends.add(new TimedTokens(tokens, now));
    while (recentSends.peek().at().compareTo(now.minus(retention)) < 0) {
      recentSends.poll();
    }
  }

  /** A column of the latest report; 0 if the report does not have it. */
  double reportedValue(int column) { return column >= 0 && column < report.length ? report[column] : 0; }
}
