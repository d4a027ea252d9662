package gapproxy;

import gapproxy.api.Event.Outcome;
import gapproxy.api.Settings.Role;
import java.time.Duration;

/** One forward of a req. */
final class Try {
  final Rules.Req req;
  final Rules.Server at;
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
    this.number = number;
    this.read = read;
    this.weight = weight;
    this.sentAt = sentAt;
  }

  boolean mayHaveRun() {
    return !(read && at.role() == Role.READ) && (how == null || !how.neverRan());
  }
}
