package gapproxy.gateway;

import java.time.Duration;

/**
 * The limit on a server's silence in the midst of an answer.
 *
 * @param time counted from the server's last event
 * @param side what has to happen by then
 * @param maxUnfinishedBytes the length up to which an event that is still being written then may be completed
 */
public record SilenceLimit(Duration time, Side side, long maxUnfinishedBytes) {
  /** The side of the limit that is binding. */
  public enum Side {
    /** The client has to see the end of the answer by then. */
    END_BEFORE,
    /** The answer must not be ended before. */
    END_AFTER
  }
}
