package gapproxy.http;

import gapproxy.memory.MemoryBudget;
import gapproxy.memory.MemoryUse;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicBoolean;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * The server side of a client connection. Requests are assembled on the reading thread and handled on the loop, one at a time and in
 * order.
 *
 * <p>The server ends a connection only on the reading thread, and only if every request read so far is known to the loop. Each request is
 * therefore either handled, or was not read before the end and can safely be repeated by the client. To end a connection, the server shuts
 * down its output, discards further input, and closes the connection when the client does or after {@link #LINGER_TIMEOUT}: closing with
 * unread input would reset the connection and could destroy the last response.
 */
final class ServerConnection {
  private static final Attribute<ServerConnection> ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gapproxy.http.server");
  /** How long a client may take to close its side, or to send a request on a connection that was accepted while the port was closing. */
  static final Duration LINGER_TIMEOUT = Duration.ofMillis(500);
  /** Memory of an open connection without traffic: transport and codec objects, and an incomplete head. */
  private static final int CONNECTION_BYTES = 12 << 10;
  private static final String RETRY_AFTER_SECONDS = "1";

  private final HttpServer server;
  private final Loop loop;
  private final Net net;
  private final ServerLimits limits;
  private final Connection<?> connection;

  private final MemoryBudget.Charge connectionCharge;
  private final MemoryBudget.Share requestShare;
  private final WriteQueue writeQueue;

  // Used on the reading thread.
  private HttpRequestPacket packet;
  private final RequestHeadBuffer head;
  private final MemoryBudget.Charge headCharge;
  private boolean receivingBody;                              // a head was received and its request is not complete
  private volatile IncomingRequest incoming;
  private volatile boolean midRequest;                        // part of a request was received
  private final AtomicBoolean startPosted = new AtomicBoolean(); // the loop is about to learn of that
  private int receivedCount;                                  // requests passed to the loop
  private boolean inputDrained = true;                        // the last read took everything that had arrived
  private Duration waitingSince = Duration.ZERO;              // see bytesReceived

  private volatile boolean discarding;                        // further input is discarded
  private volatile int answeredCount;                         // requests whose response is complete

  // Used on the loop.
  private final RequestHandover handover;
  private final ArrayDeque<ReceivedRequest> pipelined = new ArrayDeque<>(); // wait until earlier requests are answered
  private int deliveredCount;                                 // requests that arrived on the loop
  private Exchange current;
  private boolean readingOn;                                  // a request waits until what is behind it was read
  private Loop.Timer timer;
  private boolean ended;
  private volatile boolean closed;

  ServerConnection(HttpServer server, Loop loop, Net net, ServerLimits limits, MemoryBudget budget, Connection<?> connection) {
    this.server = server;
    this.loop = loop;
    this.net = net;
    this.limits = limits;
    this.connection = connection;
    connectionCharge = budget.newShare(MemoryUse.CONNECTION, 0).newCharge();
    connectionCharge.forceGrow(CONNECTION_BYTES);
    requestShare = budget.newShare(MemoryUse.REQUEST, 0);
    headCharge = requestShare.newCharge();
    head = new RequestHeadBuffer(headCharge, limits.maxHeadBytes(), limits.maxHeaders());
    handover = new RequestHandover(loop, net, connection, this::received);
    writeQueue = new WriteQueue(connection, loop, limits.maxPendingWriteBytes(), budget);
    ATTRIBUTE.set(connection, this);
  }

  /** The server connection of a transport connection, or null. */
  static ServerConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  // ---- on the reading thread

  /**
   * Notes that bytes were received; returns false if they must be discarded. While each read finds more than it can take, the client is
   * ahead of the server: what is read may have waited since the first of these reads, or since the first one of the request.
   */
  boolean bytesReceived(int count) {
    if (inputDrained || !midRequest) {
      waitingSince = loop.now();
    }
    inputDrained = count < Net.MAX_READ_BYTES;
    if (!midRequest) {
      midRequest = true;
      if (startPosted.compareAndSet(false, true)) {
        loop.execute(() -> {
          startPosted.set(false);
          requestStarted();
        });
      }
    }
    return !discarding;
  }

  /** The head that is being received. */
  RequestHeadBuffer head() {
    return head;
  }

  /** Notes that a head is complete: what follows is the body, until the request is complete. */
  void headParsed() {
    receivingBody = true;
  }

  boolean isReceivingBody() {
    return receivingBody;
  }

  /** Handles the next part of a request. */
  void handlePart(HttpContent part) {
    if (discarding) {
      return;
    }
    HttpRequestPacket requestPacket = (HttpRequestPacket) part.getHttpHeader();
    if (packet != requestPacket) {
      packet = requestPacket;
      beginRequest(requestPacket);
    }
    Buffer content = part.getContent();
    if (HttpContent.isBroken(part)) {
      rejectBody(null);
    } else if (incoming.receivedBytes() + content.remaining() > limits.maxBodyBytes()
        || requestPacket.getContentLength() > limits.maxBodyBytes()) {
      rejectUnreadable(413, "the body is longer than " + limits.maxBodyBytes() + " bytes");
    } else {
      incoming.append(content);
      if (part.isLast()) {
        completeRequest(requestPacket);
      }
    }
  }

  private void beginRequest(HttpRequestPacket requestPacket) {
    incoming = new IncomingRequest(requestShare.newCharge(), HttpRequest.headerBytes(requestPacket.getHeaders()),
        requestPacket.getContentLength());
    // closed() may have run before the charge was made; nothing else would release it.
    if (closed) {
      incoming.charge().close();
    }
  }

  private void completeRequest(HttpRequestPacket requestPacket) {
    Duration sentAt = waitingSince;
    IncomingRequest complete = incoming;
    packet = null;
    incoming = null;
    midRequest = false;
    receivingBody = false;
    if (net.inputEnded(connection)) {                         // the client has gone already; the connection closes with the next read
      complete.charge().close();
      return;
    }
    receivedCount++;
    if (complete.refused() || !complete.charge().tryGrow(server.handler().decodedBytes(complete.receivedBytes()))) {
      complete.charge().close();
      boolean keepAlive = !"close".equalsIgnoreCase(requestPacket.getHeader("connection"))
          && requestPacket.getProtocol() == Protocol.HTTP_1_1;
      handover.add(new ReceivedRequest.Refused(1, keepAlive));
      return;
    }
    HttpRequest request = new HttpRequest(requestPacket.getMethod().getMethodString(), requestPacket.getRequestURI(),
        requestPacket.getQueryString(), HttpRequest.headers(requestPacket.getHeaders()), complete.body());
    Object decoded = server.handler().decode(request);
    MemoryBudget.Charge charge = complete.charge();
    handover.add(new ReceivedRequest.Accepted(() -> serve(requestPacket, request, charge, decoded, sentAt), charge, !inputDrained));
  }

  /**
   * Rejects the request that is being received, as its body can't be decoded.
   *
   * @param cause why, or null
   */
  void rejectBody(Throwable cause) {
    if (LengthLimits.isCauseOf(cause)) {
      rejectUnreadable(413, cause.getMessage());
    } else {
      rejectUnreadable(400, "the body is broken off or badly chunked");
    }
  }

  /** Queues an error response for an unreadable request, after the responses to earlier requests; further input is discarded. */
  void rejectUnreadable(int status, String message) {
    discardInput();
    receivedCount++;
    if (incoming != null) {
      incoming.release();
      incoming = null;
    }
    handover.add(new ReceivedRequest.Unreadable(status, message));
  }

  private void discardInput() {
    discarding = true;
    net.discardInput(connection);
  }

  /** Whether an earlier request has not been answered yet. */
  boolean hasUnansweredRequests() {
    return receivedCount != answeredCount;
  }

  // ---- on the loop

  /**
   * Starts the timeout of the first request.
   *
   * @param timeout how long the first request may take to be received completely
   */
  void opened(Duration timeout) {
    startTimer(timeout, true);
  }

  private void startTimer(Duration timeout, boolean midRequestToo) {
    cancelTimer();
    timer = loop.after(timeout, () -> endIfIdle(midRequestToo));
  }

  /** Called when all requests have been answered. Limits the time until the next one begins. */
  private void becomeIdle() {
    server.setIdle(this, true);
    if (midRequest) {
      requestStarted();
    } else {
      startTimer(limits.idleTimeout(), false);
    }
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  private boolean isBusy() {
    return current != null || readingOn || !pipelined.isEmpty();
  }

  /** Called when the first bytes of a request were received. Limits the time until the request is complete. */
  private void requestStarted() {
    // The timeout of the first request was set when the connection opened.
    if (midRequest && !isBusy() && !ended && !closed && deliveredCount > 0) {
      server.setIdle(this, false);
      startTimer(limits.requestReadTimeout(), true);
    }
  }

  /** Handles a request now, or once earlier requests have been answered and the client has read enough of their responses. */
  private void received(ReceivedRequest request) {
    deliveredCount++;
    if (closed || ended) {
      release(request);
      return;
    }
    boolean first = !isBusy();
    if (first && request instanceof ReceivedRequest.Accepted accepted && accepted.moreUnread()) {
      handleAfterNextRead(request);
      return;
    } else if (first && !writeQueue.isFull()) {
      handle(request);
      return;
    }
    enqueue(request);
    if (first) {                                              // the client has not read the earlier responses yet
      cancelTimer();
      server.requestStarted(this);
      writeQueue.onWritable(this::serveNext);
    }
  }

  /** Handles a request once what had arrived behind it was read, so that a client that has left is not served. */
  private void handleAfterNextRead(ReceivedRequest request) {
    readingOn = true;
    cancelTimer();
    server.requestStarted(this);
    pipelined.addFirst(request);
    net.afterNextRead(connection, () -> loop.execute(() -> {
      readingOn = false;
      serveNext();
    }));
  }

  /** Queues a request. Of refused requests one behind the other only the number is kept, since a client may send any number of them. */
  private void enqueue(ReceivedRequest request) {
    if (request instanceof ReceivedRequest.Refused refused && pipelined.peekLast() instanceof ReceivedRequest.Refused before
        && before.keepAlive()) {
      pipelined.pollLast();
      pipelined.add(before.plus(refused));
    } else {
      pipelined.add(request);
    }
  }

  private void handle(ReceivedRequest request) {
    if (request instanceof ReceivedRequest.Accepted accepted) {
      accepted.serve().run();
    } else if (request instanceof ReceivedRequest.Refused refused) {
      rejectForMemory(refused);
    } else if (request instanceof ReceivedRequest.Unreadable unreadable) {
      endWithError(unreadable.status(), unreadable.message());
    }
  }

  private static void release(ReceivedRequest request) {
    if (request instanceof ReceivedRequest.Accepted accepted) {
      accepted.charge().close();
    }
  }

  private void serve(HttpRequestPacket requestPacket, HttpRequest request, MemoryBudget.Charge charge, Object decoded,
      Duration sentAt) {
    cancelTimer();
    server.requestStarted(this);
    current = new Exchange(loop, connection, requestPacket, request, writeQueue, charge, sentAt, this::finished,
        () -> server.closesAfterResponse() && pipelined.isEmpty());
    server.handler().handle(current, decoded);
  }

  /** Answers 503 to the first of some requests that the memory budget refused. Their bodies were dropped; the client may retry. */
  private void rejectForMemory(ReceivedRequest.Refused refused) {
    cancelTimer();
    server.requestStarted(this);
    if (refused.count() > 1) {
      pipelined.addFirst(new ReceivedRequest.Refused(refused.count() - 1, refused.keepAlive()));
    }
    boolean keepAlive = refused.keepAlive() || refused.count() > 1;
    boolean staysOpen = keepAlive && !(server.closesAfterResponse() && pipelined.isEmpty());
    String extraHeaders = "Retry-After: " + RETRY_AFTER_SECONDS + "\r\n" + (staysOpen ? "" : "Connection: close\r\n");
    respond("503 Service Unavailable", extraHeaders, server.handler().errorBody(503, "there is no room for the request now"));
    finished(staysOpen);
  }

  private void finished(boolean keepAlive) {
    current = null;
    answeredCount++;
    if (!keepAlive) {
      end();
    } else if (pipelined.isEmpty()) {
      becomeIdle();
    } else {
      loop.execute(this::serveNext);
    }
  }

  private void serveNext() {
    if (closed || ended || readingOn || current != null || pipelined.isEmpty()) {
      return;
    } else if (writeQueue.isFull()) {
      writeQueue.onWritable(this::serveNext);
      return;
    }
    handle(pipelined.poll());
  }

  /**
   * Ends the connection unless a request is being handled or is on its way to the loop.
   *
   * @param midRequestToo whether to end the connection even if a request has been received in part, with an error response
   */
  void endIfIdle(boolean midRequestToo) {
    if (isBusy() || closed || ended) {
      return;
    }
    int known = deliveredCount;
    net.runOnReadingThread(connection, () -> {
      if (receivedCount != known || discarding) {
        return;
      } else if (midRequest && !midRequestToo) {
        loop.execute(() -> {
          if (!isBusy() && !closed && !ended) {
            startTimer(limits.requestReadTimeout(), true);
          }
        });
        return;
      }
      discardInput();
      boolean incomplete = midRequest;
      loop.execute(() -> {
        if (incomplete) {
          endWithError(408, "the request did not come whole in time");
        } else {
          end();
        }
      });
    });
  }

  /**
   * Closes the connection immediately to make room for another, unless a request is on its way to the loop or has been received in part.
   * Then {@code otherwise} runs on the loop.
   */
  void evict(Runnable otherwise) {
    int known = deliveredCount;
    net.runOnReadingThread(connection, () -> {
      if (receivedCount == known && !midRequest && !discarding) {
        discarding = true;
        connection.terminateSilently();
      } else {
        loop.execute(otherwise);
      }
    });
  }

  /** Answers with an error and ends the connection. */
  private void endWithError(int status, String message) {
    if (!closed && !ended) {
      respond(status + " " + reasonPhrase(status), "Connection: close\r\n",
          server.handler().errorBody(status, message));
      end();
    }
  }

  private static String reasonPhrase(int status) {
    return switch (status) {
      case 408 -> "Request Timeout";
      case 413 -> "Content Too Large";
      default -> "Bad Request";
    };
  }

  /** Writes a response without the codec, which would need a parsed request. */
  private void respond(String status, String headers, byte[] body) {
    String head = "HTTP/1.1 " + status + "\r\nDate: " + HttpDate.format(loop.wallClock()) + "\r\nContent-Type: application/json\r\n"
        + headers + "Content-Length: " + body.length + "\r\n\r\n";
    byte[] all = Arrays.copyOf(head.getBytes(StandardCharsets.ISO_8859_1), head.length() + body.length);
    System.arraycopy(body, 0, all, head.length(), body.length);
    writeQueue.write(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, all), all.length);
  }

  /** Shuts down the output and discards further input; see the class comment. */
  private void end() {
    if (ended || closed) {
      return;
    }
    ended = true;
    discarding = true;
    net.runOnReadingThread(connection, this::discardInput);
    dropPipelined();
    cancelTimer();
    server.connectionEnded(this);
    handover.keepReading();                                   // so that the close of the client is noticed
    net.shutdownOutput(connection, () -> loop.execute(() -> {
      if (!closed) {
        timer = loop.after(LINGER_TIMEOUT, connection::terminateSilently);
      }
    }));
  }

  void closeNow() {
    connection.terminateSilently();
  }

  private void dropPipelined() {
    pipelined.forEach(ServerConnection::release);
    pipelined.clear();
  }

  /** Releases memory charges, queued requests and the timer after the transport has closed the connection. */
  void closed() {
    closed = true;
    IncomingRequest incomplete = incoming;
    if (incomplete != null) {
      incomplete.release();                                   // a closed connection is referenced until the next select
    }
    dropPipelined();
    cancelTimer();
    writeQueue.close();
    connectionCharge.close();
    headCharge.close();
    if (current != null) {
      current.disconnected();
      current = null;
    }
  }
}
