package gapproxy.http;

import gapproxy.memory.MemoryBudget;
import gapproxy.runtime.Loop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * One request and its response on the server side. Used on the loop only. Writes after the end of the response, or on a closed connection,
 * are ignored.
 */
public final class Exchange {
  /** Notified when the response is complete, or aborted, and told whether the connection may serve further requests. */
  interface CompletionListener {
    void completed(boolean keepAlive);
  }

  private final Loop loop;
  private final Connection<?> connection;
  private final HttpRequestPacket requestPacket;
  private final Duration sentAt;
  private final CompletionListener completionListener;
  private final BooleanSupplier closeAfterResponse;
  private final WriteQueue writeQueue;
  private final MemoryBudget.Charge requestCharge;
  private boolean requestRetained;
  private HttpResponsePacket response;
  private boolean ended;
  private boolean disconnected;
  private Runnable onDisconnect;
  private HttpRequest request;

  Exchange(Loop loop, Connection<?> connection, HttpRequestPacket requestPacket, HttpRequest request, WriteQueue writeQueue,
      MemoryBudget.Charge requestCharge, Duration sentAt, CompletionListener completionListener, BooleanSupplier closeAfterResponse) {
    this.loop = loop;
    this.connection = connection;
    this.requestPacket = requestPacket;
    this.request = request;
    this.writeQueue = writeQueue;
    this.requestCharge = requestCharge;
    this.sentAt = sentAt;
    this.completionListener = completionListener;
    this.closeAfterResponse = closeAfterResponse;
  }

  /** The request; without its body once that was released. */
  public HttpRequest request() {
    return request;
  }

  /** Releases the body of the request and its charge, as nothing needs it any longer although the response is not complete. */
  public void releaseBody() {
    requestCharge.shrink(request.body().length);
    request = request.withoutBody();
  }

  /** Sets what to run when the client disconnects before the response is complete; runs immediately if it already has. */
  public void onDisconnect(Runnable task) {
    onDisconnect = task;
    if (disconnected) {
      task.run();
    }
  }

  /** Keeps the request's memory charged beyond the end of its response, until {@link #releaseRequest}. */
  public void retainRequest() {
    requestRetained = true;
  }

  /** Releases the request's memory charge: its bytes are no longer used. */
  public void releaseRequest() {
    requestCharge.close();
  }

  private void releaseRequestUnlessRetained() {
    if (!requestRetained) {
      releaseRequest();
    }
  }

  /** Sets what to run when writing may continue after {@link #isWriteQueueFull} returned true. */
  public void onWritable(Runnable task) {
    writeQueue.onWritable(task);
  }

  /** Whether the unwritten bytes have reached the limit, so that the source should pause (backpressure). */
  public boolean isWriteQueueFull() {
    return writeQueue.isFull();
  }

  /**
   * Time since the client had sent the request, as far as the server can tell. Includes the time that its bytes waited to be read, and its
   * wait behind earlier requests on the same connection.
   */
  public Duration timeSinceSent() {
    return loop.now().minus(sentAt);
  }

  /** Whether the response can still be written. */
  public boolean isOpen() {
    return !ended && !disconnected;
  }

  /**
   * Whether the client is still connected. Tells of a close as soon as it has been read, and so before the close is handled on the loop.
   */
  public boolean isClientConnected() {
    return !disconnected && connection.isOpen();
  }

  /** Sends a complete response. */
  public void respond(int status, Map<String, String> headers, byte[] body) {
    if (!isOpen()) {
      return;
    }
    prepareHead(status, headers);
    response.setContentLength(body.length);
    finish(HttpContent.builder(response).content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body)).last(true).build(),
        body.length);
  }

  /** Starts a chunked response. */
  public void begin(int status, Map<String, String> headers) {
    if (isOpen()) {
      prepareHead(status, headers);
      response.setChunked(true);
    }
  }

  /** Whether the response has been started. */
  public boolean hasBegun() {
    return response != null;
  }

  /** Writes a part of a chunked response. */
  public void write(byte[] bytes) {
    if (isOpen() && bytes.length > 0) {
      send(HttpContent.builder(response).content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes)).build(),
          bytes.length);
    }
  }

  /** Writes a part of a chunked response, in UTF-8. */
  public void write(String text) {
    write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Ends a chunked response. */
  public void end() {
    if (isOpen()) {
      finish(HttpContent.builder(response).content(Buffers.EMPTY_BUFFER).last(true).build(), 0);
    }
  }

  /** Ends the connection without sending the last chunk of the response, so that the client sees that the response is incomplete. */
  public void abort() {
    if (isOpen()) {
      ended = true;
      releaseRequestUnlessRetained();
      completionListener.completed(false);
    }
  }

  /** Closes the connection immediately, as if the process had died. */
  public void terminate() {
    ended = true;
    releaseRequestUnlessRetained();
    connection.terminateSilently();
  }

  /** The connection to the client, on which reading can be paused and resumed. */
  public Connection<?> connection() {
    return connection;
  }

  private void prepareHead(int status, Map<String, String> headers) {
    response = requestPacket.getResponse();
    response.setStatus(status);
    // Set here, because the codec would use the system clock instead of the clock of the loop.
    response.setHeader("Date", HttpDate.format(loop.wallClock()));
    new TreeMap<>(headers).forEach(response::setHeader);      // sorted, so that the header order is reproducible
  }

  private void finish(HttpContent last, int bytes) {
    boolean keepAlive = !closeAfterResponse.getAsBoolean() && !"close".equalsIgnoreCase(request.header("connection"))
        && !"close".equalsIgnoreCase(response.getHeader("connection"))
        && requestPacket.getProtocol() == org.glassfish.grizzly.http.Protocol.HTTP_1_1;
    if (!keepAlive) {
      response.setHeader("Connection", "close");
    }
    ended = true;
    releaseRequestUnlessRetained();
    send(last, bytes);
    completionListener.completed(keepAlive);
  }

  private void send(HttpContent part, int bytes) {
    writeQueue.write(part, bytes);
  }

  /** Called when the connection to the client is closed. */
  void disconnected() {
    disconnected = true;
    releaseRequestUnlessRetained();
    if (!ended && onDisconnect != null) {
      onDisconnect.run();
    }
  }
}
