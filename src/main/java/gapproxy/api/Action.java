package gapproxy.api;

import java.time.Duration;

/** What a gateway does. */
public sealed interface Action {

  /** Sends a req to a server; its forwards are numbered from 0. */
  record Forward(long req, long server, Duration timeOut) implements Action {}

  /** Holds a place at a writer while the prompt is read elsewhere. */
  record Hold(long req, long server) implements Action {}

  /** Lets go of every state and place held for a req. */
  record Drop(long req) implements Action {}

  record Cancel(long req, int forward) implements Action {}

  /** Pushed back: trying again is harmless; a zero span gives no advice. */
  record PushBack(long req, Duration retryIn) implements Action {}

  record Abort(long req) implements Action {}

  record Probe(long server) implements Action {}

  record Alarm(Duration at, long token) implements Action {}

  record Subscribe() implements Action {}
}
