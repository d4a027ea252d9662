package gapproxy.http;

import gapproxy.memory.MemoryBudget;

/** A request that was read, in the order in which the requests of a connection have to be answered. */
sealed interface ReceivedRequest {
  /**
   * A request that is to be handled.
   *
   * @param serve hands it to the handler
   * @param charge charge of the request, released if it is never handled
   * @param moreUnread whether there may be unread input behind it, such as the client's close
   */
  record Accepted(Runnable serve, MemoryBudget.Charge charge, boolean moreUnread) implements ReceivedRequest {}

  /**
   * Requests that the memory budget refused. Nothing is kept of them but their number.
   *
   * @param count how many there are, one behind the other
   * @param keepAlive whether the connection may serve further requests; false for the last request of a connection
   */
  record Refused(int count, boolean keepAlive) implements ReceivedRequest {
    /** These requests and one more. */
    Refused plus(Refused next) {
      return new Refused(count + next.count, next.keepAlive);
    }
  }

  /** Input that is no valid request. It ends the connection. */
  record Unreadable(int status, String message) implements ReceivedRequest {}
}
