package gapproxy;

import gapproxy.api.Event;
import gapproxy.api.Event.Outcome;
import java.time.Duration;

/** What actors put into each other's inboxes, beside the events themselves. */
interface Note {

  record Sent(Try t) implements Note {}

  record Begun(Try t, Duration took) implements Note {}

  record Over(Try t, Event.Ended how) implements Note {}

  /** What came of a probe that was asked for then. */
  record Shown(Outcome outcome, double[] report, Duration askedAt) implements Note {}

  /** A req wants a server's report, and has it. */
  record Asked(Rules.Req by) implements Note {}

  record Answered(Rules.Server by) implements Note {}

  record Waited() implements Note {}

  record Claimed(Rules.Req by) implements Note {}

  record Removed() implements Note {}

  record Beat(boolean halve) implements Note {}
}
