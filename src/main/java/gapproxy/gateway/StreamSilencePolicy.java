package gapproxy.gateway;

import java.time.Duration;

/**
 * Decides when an answer is ended because its server has fallen silent.
 *
 * <p>The time runs from the last whole event. Comments, whole or in parts, and blank lines are no events and change nothing. Bytes of an event that is not
 * complete don't start the time anew; but an event that is still being written when the time is over may be completed. It counts as
 * being written while no rest between its bytes is much longer than the longest before. If that allows an end past the limit, where the end
 * would be too late for a silent server in any case, the rest may take the whole limit: only the bytes can be counted from there on. What
 * is longer than an answer's body can be never ends, and nothing of it counts as being written.
 *
 * <p>Where the client has to see the end by a time, the answer is ended earlier by a reserve. An event may have been sent before it is read: by
 * the time that bytes are on their way, and by that of a hold-up of the process. The time is counted from the earliest moment, as far as
 * the longest rest that has to stay possible allows.
 */
final class StreamSilencePolicy {
  /** From the earliest time of the event: allows for a hold-up of the process of 150 ms before the end, and for turns of the loop. */
  private static final Duration RESERVE = Duration.ofMillis(170);
  /** From the time of reading, where the event may have been sent much earlier: rests of up to 4.75 s on the platform stay possible. */
  private static final Duration LARGEST_RESERVE = Duration.ofMillis(270);
  /** A server may take this long to begin its response, although its bytes arrive at once. */
  private static final Duration QUICK_RESPONSE = Duration.ofMillis(100);
  /** How long the end of a response may take after the last event of its stream. Its client has the whole answer by then. */
  private static final Duration RESPONSE_END_TIMEOUT = Duration.ofSeconds(1);
  /** How much longer than the longest rest in an event the next one may be. */
  private static final Duration REST_TOLERANCE = Duration.ofMillis(500);

  private final Duration limit;
  private final long maxUnfinishedBytes;
  private final Duration endAfter;
  private final Duration endAfterRead;

  StreamSilencePolicy(SilenceLimit limit) {
    this.limit = limit.time();
    maxUnfinishedBytes = limit.maxUnfinishedBytes();
    boolean early = limit.side() == SilenceLimit.Side.END_BEFORE;
    endAfter = early ? limit.time().minus(RESERVE) : limit.time();
    endAfterRead = early ? limit.time().minus(LARGEST_RESERVE) : limit.time();
  }

  /**
   * How long bytes of a server may be on their way. Its first ones were on their way no longer than it took to respond; nothing tells how
   * much of that time the server has used itself.
   */
  static Duration longestWay(Duration responseTime) {
    return latest(Duration.ZERO, responseTime.minus(QUICK_RESPONSE));
  }

  /** How long after the last event of its stream a response that has not ended keeps its connection. */
  static Duration responseEndTimeout() {
    return RESPONSE_END_TIMEOUT;
  }

  /** When the answer is to be ended if nothing more is received until then. The time of a client's rest does not count. */
  Duration endAt(StreamActivity activity, Duration now) {
    if (activity.isPaused()) {
      return now.plus(endAfter);
    }
    Duration resumedAt = activity.resumedAt();
    Duration earliest = latest(activity.lastEvent().earliest(), resumedAt);
    Duration read = latest(activity.lastEvent().readAt(), resumedAt);
    Duration endAt = latest(earliest.plus(endAfter), read.plus(endAfterRead));
    boolean mayBeCompleted = activity.lastPartAt() != null && activity.unfinishedBytes() <= maxUnfinishedBytes;
    return mayBeCompleted ? latest(endAt, endOfRest(activity, earliest.plus(limit))) : endAt;
  }

  /** Until when a server that writes an event may rest before its next bytes. */
  private Duration endOfRest(StreamActivity activity, Duration latestEnd) {
    Duration usualEnd = activity.lastPartAt().plus(earliest(activity.longestRestInEvent().plus(REST_TOLERANCE), endAfter));
    boolean pastLimit = usualEnd.compareTo(latestEnd) > 0;
    return pastLimit ? activity.lastPartAt().plus(limit) : usualEnd;
  }

  private static Duration earliest(Duration a, Duration b) {
    return a.compareTo(b) < 0 ? a : b;
  }

  private static Duration latest(Duration a, Duration b) {
    return a.compareTo(b) > 0 ? a : b;
  }
}
