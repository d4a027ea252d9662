package gapproxy.audit;

import java.time.Duration;
import java.time.Instant;

/**
 * Receives what clients, engines and the list service observe, as it happens. All times are of one clock, and all calls come on one loop.
 */
public interface Traffic {
  /** The kinds of final answers. */
  enum Answer { DONE, PUSHED_BACK, ABORTED, REFUSED }

  /** How a req ended without a final answer: the client disconnected, or its connection was lost. */
  enum Left { HUNG_UP, LOST }

  /**
   * A client has sent a complete req.
   *
   * @param req the client's own id of the req, which its text contains
   * @param tryNumber 0 for the first try, then counted up for each repeat by the client
   * @param repeat whether the req may be executed again: replayable, keyed or non_replayable
   */
  default void asked(Duration at, String req, int tryNumber, String gateway, String repeat, Duration budget) {}

  /** A client has received a final answer. */
  default void answered(Duration at, String req, int tryNumber, Answer how) {}

  /** A client has received something more after the final answer of a req. */
  default void after(Duration at, String req, int tryNumber, String what) {}

  /** A client disconnected, or its connection ended without a final answer. */
  default void left(Duration at, String req, int tryNumber, Left how) {}

  /** A client has received the first token. */
  default void firstToken(Duration at, String req, int tryNumber) {}

  /** An engine has received a forward: a read if {@code read}, else a write. The id is that of the forward. */
  default void forward(Duration at, long engine, String gateway, String req, String id, boolean read) {}

  /** An engine has begun to execute a forward, so that it has side effects; {@code key} is its idempotency key, or null. */
  default void ran(Duration at, long engine, String req, String id, String key) {}

  /** A forward has ended at an engine, with any outcome. */
  default void ended(Duration at, long engine, String id) {}

  /** An engine has begun to hold a state or a reservation. */
  default void holds(Duration at, long engine, String req, String id) {}

  /** An engine no longer holds a state or a reservation; {@code taken} if a writer fetched or used it. */
  default void freed(Duration at, long engine, String id, boolean taken) {}

  /** A gateway was told a server's state in the list; {@code start} is null if the server started long ago. */
  default void told(Duration at, String gateway, long engine, boolean usable, Instant start) {}

  /** A gateway's process has started or ended. */
  default void gateway(Duration at, String gateway, boolean up) {}

  /** An engine has started; {@code start} is null if it is warm. */
  default void started(Duration at, long engine, Instant start) {}

  /** A recently started server received more within a span than it could handle, and failed. */
  default void tipped(Duration at, long engine, Duration span, String why) {}
}
