package gapproxy.audit;

import java.time.Duration;
import java.time.Instant;

/** What the ends of the traffic saw, as it happened. All times are of one clock; all calls come on one loop. */
public interface Traffic {
  enum Answer { DONE, PUSHED_BACK, ABORTED, REFUSED }

  /** How a client ended its own req. */
  enum Left { HUNG_UP, LOST }

  /**
   * A client has sent a req whole.
   *
   * @param req the client's own mark of the req, found again in its text
   * @param tryNumber its first try or a repeat of it, from 0
   * @param repeat what may be done with it: replayable, keyed or non_replayable
   */
  default void asked(Duration at, String req, int tryNumber, String gateway, String repeat, Duration budget) {}

  /** A client has got a final answer. */
  default void answered(Duration at, String req, int tryNumber, Answer how) {}

  /** Something came for a req that had its final answer. */
  default void after(Duration at, String req, int tryNumber, String what) {}

  /** A client hung up, or its connection ended without a final answer. */
  default void left(Duration at, String req, int tryNumber, Left how) {}

  /** The first token has come to a client. */
  default void firstToken(Duration at, String req, int tryNumber) {}

  /** A forward has come to an engine. */
  default void forward(Duration at, long engine, String gateway, String req, String id, boolean read) {}

  /** An engine has begun to do what a forward asks in a way that has an effect. */
  default void ran(Duration at, long engine, String req, String id, String key) {}

  /** A forward has ended at an engine, whatever came of it. */
  default void ended(Duration at, long engine, String id) {}

  /** An engine holds a state or a place. */
  default void holds(Duration at, long engine, String req, String id) {}

  /** It holds it no longer. */
  default void freed(Duration at, long engine, String id, boolean taken) {}

  /** A gateway was told what the list says of a server; {@code start} is null for long ago. */
  default void told(Duration at, String gateway, long engine, boolean usable, Instant start) {}

  /** A gateway's process has begun or has ended. */
  default void gateway(Duration at, String gateway, boolean up) {}

  /** An engine has begun to serve; {@code start} is null where it is warm. */
  default void started(Duration at, long engine, Instant start) {}

  /** A server that had just started was given too much within a span and fell over. */
  default void tipped(Duration at, long engine, Duration span, String why) {}
}
