package gapproxy.api;

import java.time.Duration;

/** What a gateway does. */
public sealed interface Action {

  /** What a forward asks for: the prompt read for another server, an answer from the state that waits, or both at one server. */
  enum Path { READ, WRITE, LOCAL }

  /**
   * Sends a req to a server; its forwards are numbered from 0.
   *
   * @param latest since the start, when a repeat is dropped no longer: later it must not begin; null where that does not matter
   */
  record Forward(long req, long server, Path path, Duration timeOut, Duration latest) implements Action {}

  /** Holds a place at a writer while the prompt is read elsewhere. */
  record Hold(long req, long server) implements Action {}

  /** Lets go of every state and place held for a req. */
  record Drop(long req) implements Action {}

  record Cancel(long req, int forward) implements Action {}

  /** Pushed back: trying again is harmless; a zero span gives no advice. */
  record PushBack(long req, Duration retryIn) implements Action {}

  record Abort(long req) implements Action {}

  record Probe(long server) implements Action {}

  record Alarm(Duration at) implements Action {}

  record Subscribe() implements Action {}
}
