package gapproxy.http;

import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Map;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * One client's connection. Requests are put together on the thread that reads, and are served on the loop one at a time, in
 * order. The server ends a connection only on the reading thread and only if no request has been read that the loop does not
 * know yet: so each request is either served, or was not read before the end and is the client's to send again. An end closes
 * the sending side, discards what still comes, and closes the rest when the client does or after {@link #LINGER}: a close over
 * unread bytes would reset the connection and take the last answer with it.
 */
final class ServerConnection {
  private static final Attribute<ServerConnection> ATTRIBUTE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gapproxy.http.server");
  /** How long a client may take to close its side, or to ask on a connection that was accepted as the port closed. */
  static final Duration LINGER = Duration.ofMillis(500);
  private static final int WAITING_BYTES = 1 << 20;           // of bodies, past which no more is read for now

  private final HttpServer server;
  private final Loop loop;
  private final Net net;
  private final Caps caps;
  private final Connection<?> connection;

  // Of the reading thread.
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private HttpRequestPacket packet;
  private volatile boolean midRequest;                        // some bytes of a request came, and not the last
  private int received;                                       // requests handed to the loop

  private volatile boolean discarding;                        // whatever else comes is not read any more
  private volatile int answered;                              // requests whose response was given whole

  // Of the loop.
  private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
  private int waitingBytes;
  private int handled;                                        // requests that came from the reading thread
  private Exchange current;
  private Loop.Timer timer;
  private boolean paused, ended, closed;

  /** What is served when the requests before it have been answered. */
  private record Waiting(Runnable serve, int bytes) {}

  ServerConnection(HttpServer server, Loop loop, Net net, Caps caps, Connection<?> connection) {
    this.server = server;
    this.loop = loop;
    this.net = net;
    this.caps = caps;
    this.connection = connection;
    ATTRIBUTE.set(connection, this);
  }

  /** The one that belongs to a transport's connection, or null. */
  static ServerConnection of(Connection<?> connection) {
    return ATTRIBUTE.get(connection);
  }

  // ---- on the reading thread

  /** Bytes came; false if they are to be discarded. */
  boolean reads() {
    if (!midRequest) {
      midRequest = true;
      loop.execute(this::arriving);
    }
    return !discarding;
  }

  /** Takes the next part of a request. */
  void take(HttpContent part) {
    HttpRequestPacket p = (HttpRequestPacket) part.getHttpHeader();
    if (packet != p) {
      packet = p;
      body.reset();
    }
    if (discarding) {
      return;
    }
    Buffer b = part.getContent();
    if (HttpContent.isBroken(part)) {
      refuse(400, "the body is broken off or badly chunked");
    } else if (body.size() + b.remaining() > caps.bodyBytes() || p.getContentLength() > caps.bodyBytes()) {
      refuse(413, "the body is longer than " + caps.bodyBytes() + " bytes");
    } else {
      byte[] bytes = new byte[b.remaining()];
      b.get(bytes);
      body.writeBytes(bytes);
      if (part.isLast()) {
        whole(p);
      }
    }
  }

  private void whole(HttpRequestPacket p) {
    HttpRequest request = new HttpRequest(p.getMethod().getMethodString(), p.getRequestURI(), p.getQueryString(),
        HttpRequest.headers(p.getHeaders()), body.toByteArray());
    packet = null;
    body.reset();
    midRequest = false;
    received++;
    Object decoded = server.handler().decode(request);
    Duration at = loop.now();
    loop.execute(() -> {
      handled++;
      arrived(request.body().length, () -> serve(p, request, decoded, at));
    });
  }

  /** Answers a request that can't be read, behind those that were read before it; nothing more is read. */
  void refuse(int status, String what) {
    discarding = true;
    received++;
    net.reading(connection, false);
    loop.execute(() -> {
      handled++;
      arrived(0, () -> endWith(status, what));
    });
  }

  /** Whether a request that was read before has not been answered yet. */
  boolean owesAnswers() {
    return received != answered;
  }

  // ---- on the loop

  /** @param within how long its first request may take to come whole */
  void opened(Duration within) {
    await(within, true);
  }

  private void await(Duration span, boolean midRequestToo) {
    cancelTimer();
    timer = loop.after(span, () -> endIfQuiet(midRequestToo));
  }

  private void rest() {
    server.rests(this, true);
    if (midRequest) {
      arriving();
    } else {
      await(caps.idle(), false);
    }
  }

  private void cancelTimer() {
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
  }

  private boolean busy() {
    return current != null || !waiting.isEmpty();
  }

  private void arriving() {
    if (!busy() && !ended && !closed && handled > 0) {        // before its first request it has had its time set
      server.rests(this, false);
      await(caps.arrive(), true);
    }
  }

  private void arrived(int bytes, Runnable serve) {
    if (closed || ended) {
      return;
    } else if (!busy()) {
      serve.run();
      return;
    }
    waiting.add(new Waiting(serve, bytes));
    waitingBytes += bytes;
    if (!paused && (waiting.size() >= caps.pipelined() || waitingBytes > WAITING_BYTES)) {
      paused = true;
      net.reading(connection, false);
    }
  }

  private void serve(HttpRequestPacket p, HttpRequest request, Object decoded, Duration at) {
    cancelTimer();
    server.served(this);
    current = new Exchange(loop, connection, p, request, caps, at, this::finished, () -> server.ending() && waiting.isEmpty());
    server.handler().handle(current, decoded);
  }

  private void finished(boolean keep) {
    current = null;
    answered++;
    if (!keep) {
      end();
    } else if (waiting.isEmpty()) {
      rest();
    } else {
      loop.execute(this::serveNext);
    }
  }

  private void serveNext() {
    if (closed || ended || current != null) {
      return;
    }
    Waiting next = waiting.peek();
    if (next == null) {
      return;
    }
    waiting.poll();
    waitingBytes -= next.bytes();
    if (paused && waiting.size() < caps.pipelined() / 2 + 1 && waitingBytes <= WAITING_BYTES / 2) {
      paused = false;
      if (!discarding) {
        net.reading(connection, true);
      }
    }
    next.serve().run();
  }

  /**
   * Ends the connection unless a request is in hand, or was read and is on its way to the loop.
   *
   * @param midRequestToo whether one that is half read is ended as well, with an error
   */
  void endIfQuiet(boolean midRequestToo) {
    if (busy() || closed || ended) {
      return;
    }
    int known = handled;
    net.onReader(connection, () -> {
      if (received != known || discarding) {
        return;
      } else if (midRequest && !midRequestToo) {
        loop.execute(() -> {
          if (!busy() && !closed && !ended) {
            await(caps.arrive(), true);
          }
        });
        return;
      }
      discarding = true;
      boolean half = midRequest;
      loop.execute(() -> {
        if (half) {
          endWith(408, "the request did not come whole in time");
        } else {
          end();
        }
      });
    });
  }

  /** Closes it at once for another one, unless something of a request has come; then that is told. */
  void evict(Runnable otherwise) {
    int known = handled;
    net.onReader(connection, () -> {
      if (received == known && !midRequest && !discarding) {
        discarding = true;
        connection.terminateSilently();
      } else {
        loop.execute(otherwise);
      }
    });
  }

  private void endWith(int status, String what) {
    if (!closed && !ended) {
      byte[] text = server.handler().error(status, what);
      String head = "HTTP/1.1 " + status + " " + (status == 408 ? "Request Timeout" : "Bad Request") + "\r\n"
          + "Date: " + HttpDate.of(loop.wall()) + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
          + text.length + "\r\n\r\n";
      write(head.getBytes(StandardCharsets.ISO_8859_1));
      write(text);
      end();
    }
  }

  @SuppressWarnings("unchecked")
  private void write(byte[] bytes) {
    if (bytes.length > 0) {
      ((Connection<Object>) connection).write(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes));
    }
  }

  private void end() {
    if (ended || closed) {
      return;
    }
    ended = true;
    discarding = true;
    waiting.clear();
    cancelTimer();
    server.ended(this);
    net.endOutput(connection, () -> loop.execute(() -> {
      if (!closed) {
        timer = loop.after(LINGER, connection::terminateSilently);
      }
    }));
  }

  void kill() {
    connection.terminateSilently();
  }

  void closed() {
    closed = true;
    waiting.clear();
    cancelTimer();
    if (current != null) {
      current.lost();
    }
  }
}
