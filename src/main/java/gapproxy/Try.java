package gapproxy;

import gapproxy.api.Event;
import gapproxy.api.Event.Outcome;
import java.time.Duration;

/** One forward of a req. */
final class Try {
  final Rules.Req req;
  final Rules.Server at;
  final Event.Line line;                                      // of that server, as it was at the send
  final int number;
  final boolean read;
  final double weight;                                        // tokens that it holds at a writer
  final Duration sentAt;
  double believed, toRead, unread;
  boolean local, moved, resent;
  Outcome how;

  Try(Rules.Req req, Rules.Server at, int number, boolean read, double weight, Duration sentAt) {
    this.req = req;
    this.at = at;
    this.line = at.line;
    this.number = number;
    this.read = read;
    this.weight = weight;
    this.sentAt = sentAt;
  }

  /** Reads as well: a server that was asked for one and never answered is not known to have done nothing. */
  boolean mayHaveRun() {
    return how == null || !how.neverRan();
  }
}
