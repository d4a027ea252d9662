package gapproxy.gateway;

import gapproxy.api.Event.Outcome;
import gapproxy.api.Settings.Repeat;
import java.util.Optional;
import java.util.function.Function;

/**
 * Decides how an attempt ends that is given up while its request is not known to have been written.
 *
 * <p>Without a connection nothing was sent, which proves that the attempt never ran. While the request is being written, its last byte may
 * have left already, as this becomes known later; so nothing is proved then, and only a repeatable req may be treated as not sent.
 */
final class UnfinishedWritePolicy {
  private final Function<Req, Repeat> repeatOf;

  /** @param repeatOf whether a req may be sent again after an attempt that may have run */
  UnfinishedWritePolicy(Function<Req, Repeat> repeatOf) {
    this.repeatOf = repeatOf;
  }

  /**
   * The outcome of an attempt whose time is over. While its request is being written, the time shows how fast the bytes are taken and not for
   * how long the server makes requests wait.
   */
  Outcome outcomeOfTimeout(Req.Attempt attempt) {
    attempt.endedInWriting = attempt.isBeingWritten();
    return attempt.endedInWriting && isRepeatable(attempt) ? Outcome.NOT_SENT : Outcome.TIMED_OUT;
  }

  /**
   * The outcome of a write whose held state is released before the request is known to be written; empty if the write goes on. Its server
   * then answers that the state is gone, which proves that it never ran.
   */
  Optional<Outcome> outcomeOfEarlyRelease(Req.Attempt attempt) {
    if (!attempt.isBeingWritten()) {
      return Optional.of(Outcome.NO_CONNECTION);
    }
    attempt.endedInWriting = isRepeatable(attempt);
    return attempt.endedInWriting ? Optional.of(Outcome.NOT_SENT) : Optional.empty();
  }

  private boolean isRepeatable(Req.Attempt attempt) {
    return repeatOf.apply(attempt.req) == Repeat.REPLAYABLE;
  }
}
