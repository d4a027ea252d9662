package gapproxy.http;

import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * The serving end of HTTP/1.1. Requests are put together and decoded on the transport's threads and handled on the loop,
 * one at a time for each connection: those pipelined behind it wait, and are answered in order.
 */
public final class HttpServer {
  /** What serves the requests. */
  public interface Handler {
    /** Makes a request's own form of it; runs on any thread, so it keeps no state. */
    default Object decode(HttpRequest request) {
      return request;
    }

    /** Takes a request; runs on the loop. */
    void handle(Exchange exchange, Object decoded);

    /** The body that explains a status given before there was a request. */
    default byte[] error(int status, String what) {
      return new byte[0];
    }
  }

  private static final Attribute<Wire> WIRE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gapproxy.http.wire");

  private final Loop loop;
  private final Net net;
  private final Caps caps;
  private final Handler handler;
  private final Set<Wire> wires = new LinkedHashSet<>();      // of the loop
  private final Set<Wire> fresh = new LinkedHashSet<>();      // of them, those without a whole req so far, oldest first
  private final Set<Wire> resting = new LinkedHashSet<>();    // those between reqs, longest first
  private Net.Port port;
  private boolean closing, ending;

  private HttpServer(Loop loop, Net net, Caps caps, Handler handler) {
    this.loop = loop;
    this.net = net;
    this.caps = caps;
    this.handler = handler;
  }

  /**
   * Serves at an address; port 0 takes any free one.
   *
   * @throws IOException if the address can't be bound
   */
  public static HttpServer open(Loop loop, Net net, InetSocketAddress at, Caps caps, Handler handler)
      throws IOException {
    HttpServer s = new HttpServer(loop, net, caps, handler);
    IntFunction<byte[]> errors = status -> handler.error(status, status == 413 || status == 431
        ? "the request's head is too long" : "the request is not valid HTTP/1.1");
    Supplier<List<Filter>> filters = () -> List.of(Chunks.in(new Strict(caps, errors)), s.new Gather());
    s.port = net.listen(at, filters);
    return s;
  }

  public InetSocketAddress address() {
    return port.address();
  }

  /** Takes no new connection; idle ones are closed, the others after the req in hand. On the loop. */
  public void drain() {
    closing = true;
    port.close();
    List.copyOf(wires).forEach(Wire::closeIfIdle);
  }

  /** Still takes connections for a while, since clients come until they know; each ends with its next response. On the loop. */
  public void drain(java.time.Duration linger) {
    ending = true;
    loop.after(linger, this::drain);
  }

  /** Closes the port and every connection at once. On the loop. */
  public void kill() {
    closing = true;
    port.close();
    List.copyOf(wires).forEach(w -> w.connection.terminateSilently());
  }

  /** Connections that are open. On the loop. */
  public int open() {
    return wires.size();
  }

  /**
   * Guards against peers that connect by hundreds and say nothing: descriptors run out for all. Those that never asked go first,
   * the oldest of them, since a client that means to ask does so at once.
   */
  private void makeRoom() {
    if (wires.size() > caps.connections()) {
      Set<Wire> from = fresh.size() > 1 ? fresh : resting;
      if (!from.isEmpty()) {
        Wire w = from.iterator().next();
        wires.remove(w);
        from.remove(w);
        w.connection.closeSilently();
      }
    }
  }

  /** One connection. What the transport's thread owns is above the line, what the loop owns below. */
  final class Wire {
    final Connection<?> connection;
    private HttpRequestPacket packet;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private boolean refused;
    // ----
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private Exchange current;
    private Loop.Timer timer;
    private boolean gone;

    Wire(Connection<?> connection) {
      this.connection = connection;
    }

    void opened() {
      if (closing) {
        connection.closeSilently();
        return;
      }
      wires.add(this);
      fresh.add(this);
      await(caps.first());
      makeRoom();
    }

    private void await(java.time.Duration span) {
      if (timer != null) {
        timer.cancel();
      }
      timer = loop.after(span, connection::closeSilently);
    }

    void arriving() {
      if (current == null && !gone && !fresh.contains(this)) { // a fresh one has had its time set
        await(caps.arrive());
      }
    }

    void arrived(HttpRequestPacket p, HttpRequest request, Object decoded) {
      if (gone) {
        return;
      }
      if (current != null) {
        if (waiting.size() >= caps.pipelined()) {
          net.reading(connection, false);
        }
        waiting.add(() -> serve(p, request, decoded));
        return;
      }
      serve(p, request, decoded);
    }

    private void serve(HttpRequestPacket p, HttpRequest request, Object decoded) {
      if (timer != null) {
        timer.cancel();
      }
      fresh.remove(this);
      resting.remove(this);
      current = new Exchange(loop, connection, p, request, caps, this::finished, () -> ending || closing);
      handler.handle(current, decoded);
    }

    private void finished(boolean keep) {
      current = null;
      if (!keep || closing || ending) {
        connection.close();                                   // after what waits to be written
        return;
      }
      await(caps.idle());
      resting.add(this);
      Runnable next = waiting.poll();
      if (next != null) {
        net.reading(connection, true);
        loop.execute(() -> {
          if (!gone) {
            next.run();
          }
        });
      }
    }

    void closeIfIdle() {
      if (current == null) {
        connection.closeSilently();
      }
    }

    void closed() {
      gone = true;
      wires.remove(this);
      fresh.remove(this);
      resting.remove(this);
      waiting.clear();
      if (timer != null) {
        timer.cancel();
      }
      if (current != null) {
        current.lost();
      }
    }
  }

  /** Puts requests together. */
  private final class Gather extends BaseFilter {
    @Override
    public NextAction handleAccept(FilterChainContext ctx) {
      Wire w = new Wire(ctx.getConnection());
      WIRE.set(ctx.getConnection(), w);
      loop.execute(w::opened);
      return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleClose(FilterChainContext ctx) {
      Wire w = WIRE.get(ctx.getConnection());
      if (w != null) {
        loop.execute(w::closed);
      }
      return ctx.getInvokeAction();
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      HttpContent part = ctx.getMessage();
      Wire w = WIRE.get(ctx.getConnection());
      HttpRequestPacket p = (HttpRequestPacket) part.getHttpHeader();
      if (w.packet != p) {
        w.packet = p;
        w.body.reset();
        loop.execute(w::arriving);
      }
      if (w.refused) {
        return ctx.getStopAction();
      }
      Buffer b = part.getContent();
      if (HttpContent.isBroken(part)) {
        refuse(w, p, 400, "the body is broken off or badly chunked");
      } else if (w.body.size() + b.remaining() > caps.bodyBytes() || p.getContentLength() > caps.bodyBytes()) {
        refuse(w, p, 413, "the body is longer than " + caps.bodyBytes() + " bytes");
      } else {
        byte[] bytes = new byte[b.remaining()];
        b.get(bytes);
        w.body.writeBytes(bytes);
        if (part.isLast()) {
          HttpRequest r = request(p, w.body.toByteArray());
          w.packet = null;
          w.body.reset();
          Object decoded = handler.decode(r);
          loop.execute(() -> w.arrived(p, r, decoded));
        }
      }
      return ctx.getStopAction();
    }

    private void refuse(Wire w, HttpRequestPacket p, int status, String what) {
      w.refused = true;
      net.reading(w.connection, false);
      HttpRequest r = request(p, new byte[0]);
      loop.execute(() -> {
        if (!w.gone && w.current == null) {
          new Exchange(loop, w.connection, p, r, caps, keep -> w.connection.close(), () -> true)
              .respond(status, Map.of("content-type", "application/json", "connection", "close"), handler.error(status, what));
        } else {
          w.connection.closeSilently();
        }
      });
    }
  }

  private static HttpRequest request(HttpRequestPacket p, byte[] body) {
    return new HttpRequest(p.getMethod().getMethodString(), p.getRequestURI(), p.getQueryString(),
        HttpRequest.headers(p.getHeaders()), body);
  }
}
