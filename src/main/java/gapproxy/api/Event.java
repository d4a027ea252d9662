package gapproxy.api;

import java.time.Duration;
import java.util.List;

/** What a gateway tells its decision module. Times are durations since the gateway's start. */
public sealed interface Event {

  /** How a server list came in: changes only, the complete list, the last list from the local store, or a failed request. */
  enum ListForm { CHANGES, COMPLETE, REMEMBERED, FAILED }

  /** The state of a server in the server list; only a {@link #READY} server gets new attempts. */
  enum State { GONE, READY, DRAINING }

  /** One entry of the server list; {@code upSince} is null if the server started long ago. */
  record Line(long server, int zone, int kind, int cell, State state, double size, Duration upSince) {}

  /** An event that concerns a req accepted before. */
  sealed interface OfReq extends Event {
    long req();
  }

  /** A server list, or the failure of a request for it. */
  record ServerList(ListForm form, List<Line> lines) implements Event {}

  /**
   * A req accepted from a client. {@code session} and {@code shared} are hashes of the session and of the shared prompt prefix, 0 if there
   * is none; {@code prompt}, {@code sharedPart} and {@code maxAnswer} are tokens.
   */
  record Accept(long req, int group, int customer, long session, Duration budget, long shared,
      double prompt, double sharedPart, double maxAnswer) implements Event {}

  /** The answer has begun; from here on its tokens go to the client, and the req can't be retried. */
  record FirstToken(long req, int forward, Duration took) implements OfReq {}

  /**
   * How an attempt or a probe ended. {@link #FULL}: the server refused it for lack of room or because the held state is gone; {@link
   * #NOT_SENT}: the gateway did not send it or treats it as not sent; {@link #READ}: a read succeeded.
   */
  enum Outcome {
    DONE, ERROR, FULL, TIMED_OUT, NO_CONNECTION, BROKEN, CANCELLED, NOT_SENT, READ;

    /** Whether the outcome proves that the attempt had no effect. */
    public boolean neverRan() {
      return this == FULL || this == NO_CONNECTION || this == NOT_SENT || this == READ;
    }
  }

  /**
   * The end of an attempt.
   *
   * @param note the cached tokens that the server found, -1 if it does not report them; with FULL, TIMED_OUT, NO_CONNECTION and NOT_SENT, 1 if there
   * is no held state left to fetch
   * @param closed whether the client has its final answer
   * @param report the load report that came with the response, empty if none did
   */
  record Ended(long req, int forward, Outcome outcome, long note, boolean closed,
      Duration took, double[] report) implements OfReq {}

  /** The client has closed its connection. */
  record HungUp(long req) implements OfReq {}

  /** A requested alarm is due; the event does not identify which one. */
  record Wake() implements Event {}

  /** The result of a probe. */
  record Probed(long server, Outcome outcome, Duration took, double[] report) implements Event {}
}
