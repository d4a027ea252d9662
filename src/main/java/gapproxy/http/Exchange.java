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

/** One request and its response. Belongs to the loop; what is sent after its end, or to a closed connection, is dropped. */
public final class Exchange {
  /** What happens when the response has been given whole. */
  interface Finished {
    void then(boolean keepOpen);
  }

  private final Loop loop;
  private final Connection<?> connection;
  private final HttpRequestPacket packet;
  private final Duration arrived;
  private final Finished finished;
  private final BooleanSupplier closing;
  private final Outgoing outgoing;
  private final MemoryBudget.Charge requestBytes;
  private boolean requestKept;
  private HttpResponsePacket response;
  private boolean ended;
  private boolean lost;
  private Runnable onLost;
  public final HttpRequest request;

  Exchange(Loop loop, Connection<?> connection, HttpRequestPacket packet, HttpRequest request, Outgoing outgoing,
      MemoryBudget.Charge requestBytes, Duration arrived, Finished finished, BooleanSupplier closing) {
    this.loop = loop;
    this.connection = connection;
    this.packet = packet;
    this.request = request;
    this.outgoing = outgoing;
    this.requestBytes = requestBytes;
    this.arrived = arrived;
    this.finished = finished;
    this.closing = closing;
  }

  /** Runs when the client is gone before the response was given whole. */
  public void onLost(Runnable then) {
    onLost = then;
    if (lost) {
      then.run();
    }
  }

  /** The request's bytes are used beyond its response, until {@link #requestOver}. */
  public void keepRequest() {
    requestKept = true;
  }

  /** Nothing uses the request's bytes any longer. */
  public void requestOver() {
    requestBytes.close();
  }

  private void requestEnds() {
    if (!requestKept) {
      requestOver();
    }
  }

  /** Runs when there is room again, after {@link #full} was true. */
  public void onRoom(Runnable then) {
    outgoing.onRoom(then);
  }

  /** Whether so much waits to be written that the source should hold back. */
  public boolean full() {
    return outgoing.full();
  }

  /** How long ago the request's last byte was read; requests wait behind those before them on the connection. */
  public Duration waited() {
    return loop.now().minus(arrived);
  }

  public boolean open() {
    return !ended && !lost;
  }

  /** Gives a whole response. */
  public void respond(int status, Map<String, String> headers, byte[] body) {
    if (!open()) {
      return;
    }
    head(status, headers);
    response.setContentLength(body.length);
    finish(HttpContent.builder(response).content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body)).last(true).build(),
        body.length);
  }

  /** Begins a response in chunks. */
  public void begin(int status, Map<String, String> headers) {
    if (open()) {
      head(status, headers);
      response.setChunked(true);
    }
  }

  public boolean begun() {
    return response != null;
  }

  public void write(byte[] bytes) {
    if (open() && bytes.length > 0) {
      send(HttpContent.builder(response).content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes)).build(),
          bytes.length);
    }
  }

  public void write(String text) {
    write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Ends a response in chunks. */
  public void end() {
    if (open()) {
      finish(HttpContent.builder(response).content(Buffers.EMPTY_BUFFER).last(true).build(), 0);
    }
  }

  /** Ends a response in chunks and the connection with it, since the answer is not whole. */
  public void breakOff() {
    if (open()) {
      ended = true;
      requestEnds();
      finished.then(false);
    }
  }

  /** Cuts the connection at once, as a process that dies would. */
  public void cut() {
    ended = true;
    requestEnds();
    connection.terminateSilently();
  }

  /** Stops to take, or takes again, what the client sends. */
  public Connection<?> connection() {
    return connection;
  }

  private void head(int status, Map<String, String> headers) {
    response = packet.getResponse();
    response.setStatus(status);
    response.setHeader("Date", HttpDate.of(loop.wall()));     // the codec would take the machine's time
    new TreeMap<>(headers).forEach(response::setHeader);      // the same order on every run
  }

  private void finish(HttpContent last, int bytes) {
    boolean keep = !closing.getAsBoolean() && !"close".equalsIgnoreCase(request.header("connection"))
        && !"close".equalsIgnoreCase(response.getHeader("connection"))
        && packet.getProtocol() == org.glassfish.grizzly.http.Protocol.HTTP_1_1;
    if (!keep) {
      response.setHeader("Connection", "close");
    }
    ended = true;
    requestEnds();
    send(last, bytes);
    finished.then(keep);
  }

  private void send(HttpContent part, int bytes) {
    outgoing.write(part, bytes);
  }

  void lost() {
    lost = true;
    requestEnds();
    if (!ended && onLost != null) {
      onLost.run();
    }
  }
}
