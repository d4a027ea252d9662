package gapproxy.http;

import gapproxy.memory.MemoryBudget;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;

/**
 * HTTP/1.1 server. Requests are assembled and decoded on transport threads and handled on the loop. Each connection handles one request at
 * a time: pipelined requests wait and are answered in order.
 */
public final class HttpServer {
  /** Handles the requests of a server. */
  public interface Handler {
    /** Decodes a request into the handler's own type. Runs on any thread, so it must not use mutable state. */
    default Object decode(HttpRequest request) {
      return request;
    }

    /** Memory in bytes that the decoded form of a body of the given length takes, in addition to the body itself. */
    default long decodedBytes(int bodyBytes) {
      return 0;
    }

    /** Handles a request; runs on the loop. */
    void handle(Exchange exchange, Object decoded);

    /** The body of an error response that the server sends by itself, without calling {@link #handle}. */
    default byte[] errorBody(int status, String what) {
      return new byte[0];
    }
  }

  /** Connections that may be accepted beyond the maximum while others are being closed. */
  private static final int SPARE_CONNECTIONS = 8;

  private final Loop loop;
  private final Net net;
  private final ServerLimits limits;
  private final MemoryBudget budget;
  private final Handler handler;
  private final Set<ServerConnection> connections = new LinkedHashSet<>(); // used on the loop
  private final Set<ServerConnection> awaitingFirstRequest = new LinkedHashSet<>(); // no complete request yet, oldest first
  private final Set<ServerConnection> idle = new LinkedHashSet<>(); // between requests, longest idle first
  private final Set<ServerConnection> evicting = new LinkedHashSet<>(); // being closed to make room
  private Net.Port port;
  private boolean portClosed, drainAnnounced;
  private long acceptedCount;                                 // open connections in the transport; guarded by this
  private boolean accepting = true;

  private HttpServer(Loop loop, Net net, ServerLimits limits, MemoryBudget budget, Handler handler) {
    this.loop = loop;
    this.net = net;
    this.limits = limits;
    this.budget = budget;
    this.handler = handler;
  }

  /**
   * Opens a server at an address; port 0 takes any free one.
   *
   * @throws IOException if the address can't be bound
   */
  public static HttpServer open(Loop loop, Net net, InetSocketAddress address, ServerLimits limits, Handler handler)
      throws IOException {
    return open(loop, net, address, limits, MemoryBudget.unbounded(), handler);
  }

  /**
   * Opens a server whose memory for clients is limited by a budget.
   *
   * @throws IOException if the address can't be bound
   */
  public static HttpServer open(Loop loop, Net net, InetSocketAddress address, ServerLimits limits, MemoryBudget budget, Handler handler)
      throws IOException {
    HttpServer server = new HttpServer(loop, net, limits, budget, handler);
    IntFunction<byte[]> errors = status -> handler.errorBody(status, status == 413 || status == 431
        ? "the request's head is too long" : "the request is not valid HTTP/1.1");
    LengthLimits lengthLimits = new LengthLimits(limits.maxBodyBytes(), limits.maxBodyBytes());
    Supplier<List<Filter>> filters = () -> List.of(
        ChunkedEncoding.installIn(new StrictRequestCodec(limits, errors), connection -> lengthLimits), server.new RequestPartFilter());
    synchronized (server) {
      server.port = net.listen(address, filters);
    }
    return server;
  }

  /** The address that the server listens at, with the actual port. */
  public InetSocketAddress address() {
    return port.address();
  }

  /**
   * Stops listening. Idle connections are closed now, others after the request being handled. A connection that was accepted before, but
   * has not reached the loop yet, is still served. Called on the loop.
   */
  public void drain() {
    portClosed = true;
    port.close();
    List.copyOf(connections).forEach(connection -> connection.endIfIdle(false));
  }

  /**
   * Keeps listening for {@code linger}, since clients connect until they learn of the drain; each connection ends with its next response.
   * Then calls {@link #drain()}. Called on the loop.
   */
  public void drain(Duration linger) {
    drainAnnounced = true;
    loop.after(linger, this::drain);
  }

  /** Closes the port and all connections immediately. Called on the loop. */
  public void closeNow() {
    portClosed = true;
    port.close();
    List.copyOf(connections).forEach(ServerConnection::closeNow);
  }

  /** The number of open connections. Called on the loop. */
  public int open() {
    return connections.size();
  }

  Handler handler() {
    return handler;
  }

  /** Whether connections end with their next response. */
  boolean closesAfterResponse() {
    return drainAnnounced || portClosed;
  }

  // ---- called by connections, on the loop

  /** Notes that a request is being served, so that the connection is not a candidate for eviction. */
  void requestStarted(ServerConnection connection) {
    awaitingFirstRequest.remove(connection);
    idle.remove(connection);
  }

  /** Notes whether the connection waits for a request, in which case it may be evicted, or has begun to receive one. */
  void setIdle(ServerConnection connection, boolean nowIdle) {
    if (nowIdle) {
      idle.add(connection);
    } else {
      idle.remove(connection);
    }
  }

  /** Notes that the connection is being ended, so that it is not a candidate for eviction. */
  void connectionEnded(ServerConnection connection) {
    requestStarted(connection);
  }

  private void connectionOpened(ServerConnection connection) {
    connections.add(connection);
    awaitingFirstRequest.add(connection);
    connection.opened(portClosed ? ServerConnection.LINGER_TIMEOUT : limits.firstRequestTimeout());
    evictExcess();
  }

  private void connectionClosed(ServerConnection connection) {
    connections.remove(connection);
    evicting.remove(connection);
    requestStarted(connection);
    connection.closed();
  }

  /**
   * Closes a connection if too many are open. Guards against clients that open hundreds of connections and send nothing, until file
   * descriptors run out for all. Connections that have never sent a complete request are closed first, oldest first, since a well-behaved
   * client sends one right away; if there are fewer than two, the connection that has been idle longest is closed.
   */
  private void evictExcess() {
    Set<ServerConnection> candidates = awaitingFirstRequest.size() > 1 ? awaitingFirstRequest : idle;
    if (connections.size() - evicting.size() > limits.maxConnections() && !candidates.isEmpty()) {
      ServerConnection connection = candidates.iterator().next();
      candidates.remove(connection);
      evicting.add(connection);
      connection.evict(() -> {
        // The connection has a request in progress, which has a timeout of its own.
        evicting.remove(connection);
        evictExcess();
      });
    }
  }

  /**
   * Counts accepted connections, and stops accepting while too many are open: new ones then wait in the listen backlog. This happens on
   * the transport thread, so that a flood of connections cannot outrun the loop.
   */
  private synchronized void countAccepted(int change) {
    acceptedCount += change;
    boolean room = acceptedCount < (long) limits.maxConnections() + SPARE_CONNECTIONS;
    if (room != accepting && port != null) {
      accepting = room;
      port.setAccepting(room);
    }
  }

  /** Creates a {@link ServerConnection} for each accepted connection, and passes request parts and the close to it. */
  private final class RequestPartFilter extends BaseFilter {
    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
      ServerConnection connection = new ServerConnection(HttpServer.this, loop, net, limits, budget, ctx.getConnection());
      countAccepted(1);
      loop.execute(() -> connectionOpened(connection));
      return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      ServerConnection connection = ServerConnection.of(ctx.getConnection());
      if (connection != null) {
        countAccepted(-1);
        loop.execute(() -> connectionClosed(connection));
      }
      return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      ServerConnection.of(ctx.getConnection()).handlePart((HttpContent) ctx.getMessage());
      return ctx.getStopAction();
    }
  }
}
