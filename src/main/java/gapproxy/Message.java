package gapproxy;

import gapproxy.api.Event;
import gapproxy.api.Event.Outcome;
import java.time.Duration;

/** Messages between actors, in addition to the {@link Event}s that are passed on to them. */
interface Message {

  /** A req sent an attempt to the server. */
  record AttemptSent(Attempt attempt) implements Message {}

  /** An attempt produced its first token. */
  record AttemptBegun(Attempt attempt, Duration took) implements Message {}

  /** An attempt ended. */
  record AttemptEnded(Attempt attempt, Event.Ended event) implements Message {}

  /** The result of a probe that was sent at {@code askedAt}. */
  record ProbeResult(Outcome outcome, double[] report, Duration askedAt) implements Message {}

  /** A req needs a current load report of the server. */
  record ReportRequested(Rules.Req by) implements Message {}

  /** The report that a req requested has arrived, or its probe has failed. */
  record ReportReceived(Rules.Server by) implements Message {}

  /** A req has waited for load reports as long as it may. */
  record ReportWaitExpired() implements Message {}

  /** A req claims the ejected server's next trial send, which may follow a read at another server. */
  record TrialClaimed(Rules.Req by) implements Message {}

  /** The server is no longer listed, or is of a kind that the settings do not define. */
  record RemovedFromList() implements Message {}

  /** Periodic maintenance; {@code decay} asks to halve the histograms as well. */
  record MaintenanceRound(boolean decay) implements Message {}
}
