package gapproxy;

import gapproxy.api.Event;
import gapproxy.api.Event.Outcome;
import gapproxy.api.Settings.Role;
import java.time.Duration;

/** One forward of a req. */
final class Try {
  final Rules.Req req;
  final Rules.Server at;
  final Event.Line line;                                      // of that server, as it was at the send
  final int number;
  final boolean read;
  final boolean harmless;                                     // at what was a reader then
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
    this.harmless = read && at.role() == Role.READ;
    this.weight = weight;
    this.sentAt = sentAt;
  }

  /** By what the server was at the send: another engine, elsewhere or of another kind, may bear its name by now. */
  boolean mayHaveRun() {
    return !harmless && (how == null || !how.neverRan());
  }
}
