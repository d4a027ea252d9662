package gapproxy.api;

import java.time.Duration;
import java.util.List;

/** What a gateway learns. Times are spans since the gateway's start. */
public sealed interface Event {

  enum ListForm { CHANGES, COMPLETE, REMEMBERED, FAILED }

  enum State { GONE, READY, DRAINING }

  /** One line of the list; {@code upSince} is null where the server started long ago. */
  record Line(long server, int zone, int kind, int cell, State state, double size, Duration upSince) {}

  /** An event that concerns one req taken before. */
  sealed interface OfReq extends Event {
    long req();
  }

  record ServerList(ListForm form, List<Line> lines) implements Event {}

  /** A req taken from a client; {@code session} and {@code shared} are 0 where there is none. */
  record Accept(long req, int group, int customer, long session, Duration budget, long shared,
      double prompt, double sharedPart, double maxAnswer) implements Event {}

  /** The answer has begun; from here on the forward belongs to the client. */
  record FirstToken(long req, int forward, Duration took) implements OfReq {}

  enum Outcome {
    DONE, ERROR, FULL, TIMED_OUT, NO_CONNECTION, BROKEN, CANCELLED, NOT_SENT, READ;

    /** Whether it proves that the forward had no effect. */
    public boolean neverRan() {
      return this == FULL || this == NO_CONNECTION || this == NOT_SENT || this == READ;
    }
  }

  /**
   * How a forward ended; {@code note} is kept tokens, -1 where that is not told, or 1 with FULL, TIMED_OUT and NO_CONNECTION where there
   * is no state to fetch any longer.
   */
  record Ended(long req, int forward, Outcome outcome, long note, boolean closed,
      Duration took, double[] report) implements OfReq {}

  record HungUp(long req) implements OfReq {}

  /** An alarm is due; which one says nothing. */
  record Wake() implements Event {}

  record Probed(long server, Outcome outcome, Duration took, double[] report) implements Event {}
}
