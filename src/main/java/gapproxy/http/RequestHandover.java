package gapproxy.http;

import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.util.ArrayDeque;
import org.glassfish.grizzly.Connection;

/**
 * The requests of one connection on their way from the reading thread to the loop. One task of it waits on the loop at a time and takes a
 * few requests, so that a connection that sends without a pause takes turns with all others. Reading pauses while many requests are on
 * their way; since the loop takes each of them at once, to handle, queue or refuse it, a pause is short and the close of the client is seen
 * behind it.
 *
 * <p>Thread-safe.
 */
final class RequestHandover {
  /** Takes one request on the loop. */
  interface Receiver {
    void received(ReceivedRequest request);
  }

  /** Requests that are taken in one turn of the connection. */
  private static final int MAX_PER_TURN = 8;
  /** Requests on their way at which reading pauses. */
  private static final int MAX_ON_THE_WAY = 32;

  private final Loop loop;
  private final Net net;
  private final Connection<?> connection;
  private final Receiver receiver;
  private final ArrayDeque<ReceivedRequest> onTheWay = new ArrayDeque<>();
  private boolean scheduled, readingPaused, mayPause = true;

  RequestHandover(Loop loop, Net net, Connection<?> connection, Receiver receiver) {
    this.loop = loop;
    this.net = net;
    this.connection = connection;
    this.receiver = receiver;
  }

  /** Hands a request over to the loop. Called on the reading thread. */
  void add(ReceivedRequest request) {
    synchronized (this) {
      onTheWay.add(request);
      if (mayPause && !readingPaused && onTheWay.size() >= MAX_ON_THE_WAY) {
        readingPaused = true;
        net.setReading(connection, false);
      }
      if (scheduled) {
        return;
      }
      scheduled = true;
    }
    loop.execute(this::takeTurn);
  }

  /** Resumes reading for good: further input is discarded, and only the close of the client is waited for. */
  synchronized void keepReading() {
    mayPause = false;
    resumeReading();
  }

  private synchronized void resumeReading() {
    if (readingPaused) {
      readingPaused = false;
      net.setReading(connection, true);
    }
  }

  private void takeTurn() {
    try {
      ReceivedRequest request = next();
      for (int i = 1; request != null; i++) {
        receiver.received(request);
        request = i < MAX_PER_TURN ? next() : null;
      }
    } finally {
      endTurn();
    }
  }

  private synchronized ReceivedRequest next() {
    return onTheWay.poll();
  }

  private void endTurn() {
    synchronized (this) {
      if (onTheWay.size() <= MAX_ON_THE_WAY / 2) {
        resumeReading();
      }
      scheduled = !onTheWay.isEmpty();
      if (!scheduled) {
        return;
      }
    }
    loop.execute(this::takeTurn);
  }
}
