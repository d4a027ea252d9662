package gapproxy.api;

import java.time.Duration;

/** What the decision module tells its gateway to do. */
public sealed interface Action {

  /** What an attempt asks of the server: to read the prompt for another server, to write the answer from a held state, or to do both. */
  enum Path { READ, WRITE, LOCAL }

  /**
   * Sends a req to a server as its next attempt; the attempts of a req are numbered from 0.
   *
   * @param timeOut how long the attempt may take to its first token or, for a read, to its end
   * @param latest the time since the gateway's start by which the send must begin, because the server side may no longer drop it as a
   * duplicate afterwards; null if there is no such limit
   */
  record Forward(long req, long server, Path path, Duration timeOut, Duration latest) implements Action {}

  /** Reserves room at a writer while another server reads the prompt. */
  record Hold(long req, long server) implements Action {}

  /** Releases every held state and reservation of a req. */
  record Drop(long req) implements Action {}

  /** Cancels an attempt that still runs. */
  record Cancel(long req, int forward) implements Action {}

  /** Final answer: the req is pushed back and may be retried safely; a zero {@code retryIn} gives no retry advice. */
  record PushBack(long req, Duration retryIn) implements Action {}

  /** Final answer: the req fails, and a retry might execute it twice. */
  record Abort(long req) implements Action {}

  /** Probes a server: asks whether it responds, and for its load report. */
  record Probe(long server) implements Action {}

  /** Requests an {@link Event.Wake} at the given time since the gateway's start. */
  record Alarm(Duration at) implements Action {}

  /** Requests the server list, in deployments where the list is delivered only on request. */
  record Subscribe() implements Action {}
}
