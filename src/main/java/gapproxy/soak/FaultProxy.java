package gapproxy.soak;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.NotYetConnectedException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A TCP proxy that injects network faults. It listens on one port for each hop between two processes and applies the fault mode
 * that is set for that hop. All sockets belong to one selector thread; modes are set from any thread.
 */
final class FaultProxy implements AutoCloseable {
  /** The fault that a hop applies to its connections. */
  enum Mode {
    /** Forwards bytes without a fault. */
    PASS,
    /** Forwards bytes after a fixed delay. */
    LATE,
    /** Forwards nothing and reports no error. Open connections are reset when the mode ends. */
    SILENT,
    /** As {@link #SILENT}, and new connections never come up, as to a machine that can't be reached. */
    UNREACHABLE,
    /** Resets open connections, and new ones as soon as they are accepted. */
    RESET,
    /**
     * Shuts down the server-to-client direction of connections that are open when the mode starts; the client-to-server direction
     * stays open.
     */
    HALF_CLOSE,
    /** Forwards short chunks byte by byte, and long ones in many small writes. */
    TRICKLE,
    /** Resets a connection right after the last byte of a request was forwarded. */
    CUT_AFTER_REQUEST,
    /** Sends part of a status line to the client on idle connections and then shuts down that direction. */
    JUNK_AT_REST,
    /**
     * Delays the establishment of new connections: they forward nothing at first, and nothing at all if the client closes them
     * during the delay.
     */
    CONNECT_LATE,
    /**
     * Turns long requests away as their heads arrive and reads the rest later. Applies to new connections, for as long as they are open; their
     * small buffers leave most of such a request at its gateway.
     */
    DECLINE_EARLY
  }

  private static final int BUFFER_BYTES = 16 << 10, MAX_CHUNKS_PER_READ = 16;
  // In mode TRICKLE: longest chunk that is written byte by byte, and the number of writes for a longer chunk
  private static final int SINGLE_BYTE_LIMIT = 2 << 10, TRICKLE_CHUNKS = 256;
  // delay of bytes in mode LATE
  private static final long DELAY_NANOS = 120_000_000L;
  private static final long SELECT_TIMEOUT_MS = 5;
  // time without new bytes after a request until mode CUT_AFTER_REQUEST resets the connection
  private static final long CUT_DELAY_NANOS = 2_000_000L;
  // time without new bytes after which mode JUNK_AT_REST takes a connection for idle
  private static final long IDLE_NANOS = 50_000_000L;
  private static final long MAX_CONNECT_DELAY_NANOS = 1_000_000_000L;
  // In mode DECLINE_EARLY: the buffer of a connection, the length from which a request is turned away, that from which the rest is read late,
  // and how late
  // length of a hop's queue of connections that are not accepted yet, and in mode UNREACHABLE, where it is filled with a few of its own
  private static final int ACCEPT_QUEUE = 512, SHORT_ACCEPT_QUEUE = 1, QUEUE_FILLERS = 4, BIND_TRIES = 1000;
  private static final int SMALL_BUFFER_BYTES = 4 << 10, USUAL_BUFFER_BYTES = 128 << 10, LONG_BODY_BYTES = 2 << 10, LATE_BODY_BYTES = 192 << 10;
  private static final long LATE_READ_NANOS = 300_000_000L;
  private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)\r\n");
  private static final String DECLINED = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

  private final Selector selector = Selector.open();
  private final Set<Hop> hops = ConcurrentHashMap.newKeySet();
  private final Thread thread = new Thread(this::run, "proxy");
  // keyed by the proxy's local port on the side of the server
  private final Map<Integer, Connection> silencedByServerPort = new ConcurrentHashMap<>();
  private final AtomicLong injectedFaults = new AtomicLong(), requestsBehindUnread = new AtomicLong();
  private final SplittableRandom random;
  private volatile boolean closing;
  private volatile Throwable failure;
  private volatile long longestIterationNanos;

  FaultProxy(long seed) throws IOException {
    random = new SplittableRandom(seed);
    thread.setDaemon(true);
    thread.start();
  }

  /** One listening port and the address that it forwards to. */
  final class Hop {
    private ServerSocketChannel listener;
    private final int port;
    private final InetSocketAddress target;
    private final List<SocketChannel> queueFillers = new ArrayList<>();
    private final List<Connection> connections = new ArrayList<>();
    private volatile Mode mode = Mode.PASS;
    // Shares of the open connections to silence; applied once and then set back to 0
    private volatile double shareToSilence, shareToLoseAnswers;
    private Mode appliedMode = Mode.PASS;

    private Hop(InetSocketAddress target) throws IOException {
      this.target = target;
      listener = listen(0, ACCEPT_QUEUE);
      port = listener.socket().getLocalPort();
    }

    int port() {
      return port;
    }

    private ServerSocketChannel listen(int atPort, int queue) throws IOException {
      for (int tries = 1;; tries++) {
        ServerSocketChannel channel = ServerSocketChannel.open();
        try {
          channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
          channel.bind(new InetSocketAddress("127.0.0.1", atPort), queue);
          channel.configureBlocking(false);
          return channel;
        } catch (BindException e) {
          channel.close();
          if (tries == BIND_TRIES) {
            throw e;
          }
          selector.selectNow();                               // the system has not let go of the port yet
        }
      }
    }

    /** Accepts nothing more and fills the queue, so that the system drops the first packet of each new connection. */
    private void stopAccepting() throws IOException {
      listener.close();
      selector.selectNow();                                   // the port is free once the selector has let go of the channel
      listener = listen(port, SHORT_ACCEPT_QUEUE);
      for (int i = 0; i < QUEUE_FILLERS; i++) {
        SocketChannel filler = SocketChannel.open();
        filler.configureBlocking(false);
        filler.connect(new InetSocketAddress("127.0.0.1", port));
        queueFillers.add(filler);
      }
    }

    private void acceptAgain() throws IOException {
      for (SocketChannel filler : queueFillers) {
        filler.close();
      }
      queueFillers.clear();
      listener.close();
      selector.selectNow();
      listener = listen(port, ACCEPT_QUEUE);
      listener.register(selector, SelectionKey.OP_ACCEPT, this);
    }

    void setMode(Mode to) {
      mode = to;
      selector.wakeup();
    }

    /**
     * Silences a share of the connections that are open now, in both directions, for good and without an error. New connections
     * are not affected.
     */
    void silenceOpenConnections(double share) {
      shareToSilence = share;
      selector.wakeup();
    }

    /**
     * Drops everything that servers send on a share of the connections that are open now, for good. Requests, and the end of the
     * client's side, are still forwarded.
     */
    void silenceAnswers(double share) {
      shareToLoseAnswers = share;
      selector.wakeup();
    }
  }

  /** Opens a port that forwards to an address. */
  Hop openHop(InetSocketAddress target) throws IOException {
    Hop h = new Hop(target);
    hops.add(h);
    selector.wakeup();
    return h;
  }

  /** Number of bytes and connections that faults have affected. */
  long injectedFaults() {
    return injectedFaults.get();
  }

  /** Requests that came on a connection whose earlier request had been turned away while most of it was still to be written. */
  long requestsBehindUnread() {
    return requestsBehindUnread.get();
  }

  /** The longest iteration of the event loop: the delay that the proxy may have added by itself. */
  long longestIterationMs() {
    return longestIterationNanos / 1_000_000;
  }

  /** The error that ended the proxy's thread, or null. After such an error the run says nothing about the gateways. */
  Throwable failure() {
    return failure;
  }

  /** Bytes that were read, and the {@link System#nanoTime} from which they may be forwarded. */
  private record Chunk(ByteBuffer bytes, long due) {}

  /** One direction of a connection. */
  private final class Direction {
    final SocketChannel source;
    final SocketChannel destination;
    final Deque<Chunk> pending = new ArrayDeque<>();
    boolean inputEnded, outputShut;
    long bytesRead;

    Direction(SocketChannel from, SocketChannel to) {
      this.source = from;
      this.destination = to;
    }

    boolean idle() {
      return pending.isEmpty() && !inputEnded;
    }
  }

  /** A client's connection and the matching connection to the server. */
  private final class Connection {
    final Hop hop;
    final SocketChannel client, server;
    final Direction upstream, downstream;
    long lastReadAt = System.nanoTime();
    long requestBytesAtLastAnswer;  // request bytes read when the last answer bytes came
    boolean silent, answersLost;  // both permanent
    volatile boolean closedByGateway;  // a silenced connection's server isn't told
    long establishedAt;  // nothing is forwarded before this time
    final boolean declinesEarly;
    // Of a request that was turned away: bytes that are still to be read, and from when on
    long bytesToDiscard, discardFrom;
    boolean leftUnread;  // a request was turned away while most of it was still to be written

    Connection(Hop hop, SocketChannel client) throws IOException {
      this.hop = hop;
      this.client = client;
      server = SocketChannel.open();
      declinesEarly = hop.appliedMode == Mode.DECLINE_EARLY;
      for (SocketChannel c : List.of(client, server)) {
        c.configureBlocking(false);
        c.setOption(StandardSocketOptions.TCP_NODELAY, true);
      }
      server.connect(hop.target);
      upstream = new Direction(client, server);
      downstream = new Direction(server, client);
      client.register(selector, SelectionKey.OP_READ, this);
      server.register(selector, SelectionKey.OP_CONNECT | SelectionKey.OP_READ, this);
      if (hop.mode == Mode.CONNECT_LATE) {
        injectedFaults.incrementAndGet();
        establishedAt = lastReadAt + random.nextLong(MAX_CONNECT_DELAY_NANOS);
      }
    }

    /** Whether no bytes and no end of input wait to be forwarded. */
    boolean idle() {
      return upstream.idle() && downstream.idle();
    }

    /** Whether neither bytes nor an end of input are read or forwarded now. */
    boolean stalled() {
      return silent || hop.mode == Mode.SILENT || hop.mode == Mode.UNREACHABLE;
    }

    void reset() {
      for (SocketChannel c : List.of(client, server)) {
        try {
          c.setOption(StandardSocketOptions.SO_LINGER, 0);
          c.close();
        } catch (IOException e) {
          continue;  // it is closed already
        }
      }
      hop.connections.remove(this);
      silencedByServerPort.values().remove(this);
    }
  }

  private void run() {
    try {
      runEventLoop();
    } catch (IOException | RuntimeException e) {
      failure = closing ? null : e;
    }
  }

  private void runEventLoop() throws IOException {
    long last = System.nanoTime();
    while (!closing) {
      selector.select(SELECT_TIMEOUT_MS);
      long now = System.nanoTime();
      longestIterationNanos = Math.max(longestIterationNanos, now - last);
      last = now;
      for (Hop h : hops) {
        if (h.listener.keyFor(selector) == null && h.appliedMode != Mode.UNREACHABLE) {
          h.listener.register(selector, SelectionKey.OP_ACCEPT, h);
        }
        applyMode(h);
      }
      for (SelectionKey key : selector.selectedKeys()) {
        handle(key);
      }
      selector.selectedKeys().clear();
      hops.forEach(h -> List.copyOf(h.connections).forEach(this::forward));
    }
  }

  /**
   * Applies a change of mode to the open connections, silences the requested shares, and sends partial status lines on idle
   * connections in mode JUNK_AT_REST.
   */
  private void applyMode(Hop hop) throws IOException {
    Mode now = hop.mode;
    if (now != hop.appliedMode) {
      Mode before = hop.appliedMode;
      hop.appliedMode = now;
      if (now == Mode.UNREACHABLE) {
        hop.stopAccepting();
      } else if (before == Mode.UNREACHABLE) {
        hop.acceptAgain();
      }
      if (now == Mode.DECLINE_EARLY || before == Mode.DECLINE_EARLY) {
        // New connections inherit it from their first packet on, so that their gateways' buffers stay small as well.
        hop.listener.setOption(StandardSocketOptions.SO_RCVBUF, now == Mode.DECLINE_EARLY ? SMALL_BUFFER_BYTES : USUAL_BUFFER_BYTES);
      }
      if (now == Mode.RESET || before == Mode.SILENT || before == Mode.UNREACHABLE) {
        injectedFaults.addAndGet(hop.connections.size());
        List.copyOf(hop.connections).forEach(Connection::reset);
      } else if (now == Mode.HALF_CLOSE) {
        injectedFaults.addAndGet(hop.connections.size());
        for (Connection l : List.copyOf(hop.connections)) {
          shutOutput(l, l.downstream);
        }
      }
    }
    if (hop.shareToSilence > 0) {
      silenceShare(hop, hop.shareToSilence, l -> l.silent = true);
      hop.shareToSilence = 0;
    }
    if (hop.shareToLoseAnswers > 0) {
      silenceShare(hop, hop.shareToLoseAnswers, l -> l.answersLost = true);
      hop.shareToLoseAnswers = 0;
    }
    if (now == Mode.JUNK_AT_REST) {
      for (Connection l : List.copyOf(hop.connections)) {
        if (!l.silent && System.nanoTime() - l.lastReadAt > IDLE_NANOS && l.downstream.pending.isEmpty()) {
          injectedFaults.incrementAndGet();
          sendPartialStatusLine(l);
        }
      }
    }
  }

  private void silenceShare(Hop hop, double share, Consumer<Connection> silence) {
    for (Connection l : hop.connections) {
      if (random.nextDouble() < share) {
        injectedFaults.incrementAndGet();
        silence.accept(l);
        silencedByServerPort.put(l.server.socket().getLocalPort(), l);
      }
    }
  }

  private void sendPartialStatusLine(Connection connection) {
    connection.lastReadAt = Long.MAX_VALUE / 2;
    try {
      write(connection, connection.downstream, ByteBuffer.wrap("HTTP/1.1 20".getBytes(StandardCharsets.US_ASCII)));
      shutOutput(connection, connection.downstream);
    } catch (IOException e) {
      connection.reset();  // the gateway closed the connection meanwhile
    }
  }

  private void handle(SelectionKey key) throws IOException {
    if (key.attachment() instanceof Hop h) {
      acceptAll(h);
      return;
    }
    Connection l = (Connection) key.attachment();
    try {
      if (key.isValid() && key.isConnectable() && l.server.finishConnect()) {
        key.interestOps(SelectionKey.OP_READ);
      }
      if (key.isValid() && key.isReadable()) {
        if (l.silent && key.channel() == l.client) {
          discard(l, key);
        } else if (l.bytesToDiscard > 0 && key.channel() == l.client) {
          discardRest(l, key);
        } else if (l.stalled()) {
          injectedFaults.incrementAndGet();
          key.interestOps(0);  // stop reading: bytes stay in the socket buffer
        } else {
          read(l, key.channel() == l.client ? l.upstream : l.downstream);
        }
      }
    } catch (IOException e) {
      if (l.silent) {
        l.closedByGateway = true;
        key.cancel();
      } else {
        l.reset();  // one end has closed or reset the connection
      }
    }
  }

  /** Discards what a gateway sends on a silenced connection, and records when the gateway closes it. */
  private void discard(Connection connection, SelectionKey key) throws IOException {
    injectedFaults.incrementAndGet();
    if (connection.client.read(ByteBuffer.allocate(BUFFER_BYTES)) < 0) {
      connection.closedByGateway = true;
      key.cancel();
    }
  }

  /** Reads the rest of a request that was turned away, once it is time for that. */
  private void discardRest(Connection connection, SelectionKey key) throws IOException {
    if (System.nanoTime() < connection.discardFrom) {
      key.interestOps(0);
      return;
    }
    int count = connection.client.read(ByteBuffer.allocate((int) Math.min(BUFFER_BYTES, connection.bytesToDiscard)));
    if (count < 0) {
      connection.reset();
    } else {
      connection.bytesToDiscard -= count;
    }
  }

  private void resumeDiscarding(Connection connection) {
    SelectionKey key = connection.client.keyFor(selector);
    if (connection.bytesToDiscard > 0 && key != null && key.isValid() && System.nanoTime() >= connection.discardFrom) {
      key.interestOps(SelectionKey.OP_READ);
    }
  }

  /**
   * Turns a long request away if its head has just been read.
   *
   * @return whether the bytes belong to such a request and are not to be forwarded
   */
  private boolean declineEarly(Connection connection, ByteBuffer bytes) throws IOException {
    if (!connection.declinesEarly || connection.upstream.bytesRead > connection.requestBytesAtLastAnswer) {
      return false;
    }
    String text = StandardCharsets.ISO_8859_1.decode(bytes.duplicate()).toString();
    int headBytes = text.indexOf("\r\n\r\n") + 4;
    Matcher length = CONTENT_LENGTH.matcher(text);
    if (headBytes < 4 || !text.startsWith("POST /v1/") || !length.find() || Long.parseLong(length.group(1)) < LONG_BODY_BYTES) {
      return false;
    }
    long bodyBytes = Long.parseLong(length.group(1));
    connection.bytesToDiscard = headBytes + bodyBytes - bytes.remaining();
    connection.leftUnread = bodyBytes >= LATE_BODY_BYTES;
    connection.discardFrom = System.nanoTime() + (connection.leftUnread ? LATE_READ_NANOS : 0);
    injectedFaults.incrementAndGet();
    write(connection, connection.downstream, ByteBuffer.wrap(DECLINED.getBytes(StandardCharsets.US_ASCII)));
    return true;
  }

  /** Whether a connection is silenced, and if so, whether its gateway has closed it. */
  enum SilenceState { NONE, OPEN, CLOSED_BY_GATEWAY }

  /** The state of the connection that reaches its server from the given local port. */
  SilenceState silenceState(int port) {
    Connection l = silencedByServerPort.get(port);
    return l == null ? SilenceState.NONE : l.closedByGateway ? SilenceState.CLOSED_BY_GATEWAY : SilenceState.OPEN;
  }

  /** Accepts all pending connections: accepting one in each iteration would make a client wait behind many idle connections. */
  private void acceptAll(Hop hop) throws IOException {
    if (hop.appliedMode == Mode.UNREACHABLE) {
      return;
    }
    for (SocketChannel c = hop.listener.accept(); c != null; c = hop.listener.accept()) {
      accept(hop, c);
    }
  }

  private void accept(Hop hop, SocketChannel client) throws IOException {
    try {
      if (hop.mode == Mode.RESET) {
        injectedFaults.incrementAndGet();
        client.setOption(StandardSocketOptions.SO_LINGER, 0);
        client.close();
      } else {
        hop.connections.add(new Connection(hop, client));
      }
    } catch (IOException e) {
      client.close();  // the client closed it before it was accepted
    }
  }

  /** Reads all available bytes, up to the longest body: one chunk in each iteration would delay a long body by seconds. */
  private void read(Connection connection, Direction direction) throws IOException {
    int pieces = 0;
    while (readChunk(connection, direction) == BUFFER_BYTES && pieces < MAX_CHUNKS_PER_READ) {
      pieces++;
    }
  }

  /** Reads one chunk and returns its length, or a negative number at the end of input. */
  private int readChunk(Connection connection, Direction direction) throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    int n = direction.source.read(buffer);
    if (n < 0 && direction == connection.upstream && System.nanoTime() < connection.establishedAt) {
      connection.reset();  // the client closed it during the connect delay, so nothing may reach the server
      return n;
    }
    if (n < 0) {
      direction.inputEnded = true;
      connection.closedByGateway |= direction == connection.upstream;
      SelectionKey k = direction.source.keyFor(selector);
      if (k != null) {
        k.interestOps(k.interestOps() & ~SelectionKey.OP_READ);
      }
      return n;
    }
    if (direction == connection.downstream && connection.answersLost) {
      injectedFaults.addAndGet(n);
      return n;
    }
    connection.lastReadAt = System.nanoTime();
    if (direction == connection.upstream && connection.leftUnread) {
      requestsBehindUnread.incrementAndGet();
      connection.leftUnread = false;
    }
    if (direction == connection.upstream && declineEarly(connection, buffer.duplicate().flip())) {
      return 0;
    }
    direction.bytesRead += n;
    if (direction == connection.downstream) {
      connection.requestBytesAtLastAnswer = connection.upstream.bytesRead;
    }
    long due = connection.hop.mode == Mode.LATE ? System.nanoTime() + DELAY_NANOS : 0;
    if (due > 0) {
      injectedFaults.addAndGet(n);
    }
    direction.pending.add(new Chunk(buffer.flip(), due));
    return n;
  }

  /** Writes the chunks that are due, forwards the end of input, and resets the connection where the mode asks for it. */
  private void forward(Connection connection) {
    resumeDiscarding(connection);
    if (connection.idle() && connection.hop.mode != Mode.CUT_AFTER_REQUEST) {
      return;
    }
    if (connection.stalled() || !connection.server.isConnected() || System.nanoTime() < connection.establishedAt) {
      return;
    }
    try {
      for (Direction w : List.of(connection.upstream, connection.downstream)) {
        while (!w.pending.isEmpty() && w.pending.peek().due <= System.nanoTime()) {
          if (!write(connection, w, w.pending.peek().bytes)) {
            break;
          }
          w.pending.poll();
        }
        if (w.inputEnded && w.pending.isEmpty() && !w.outputShut) {
          shutOutput(connection, w);
        }
      }
      boolean cut = connection.hop.mode == Mode.CUT_AFTER_REQUEST
          && connection.upstream.pending.isEmpty() && connection.downstream.pending.isEmpty()
          && connection.upstream.bytesRead > connection.requestBytesAtLastAnswer
          && System.nanoTime() - connection.lastReadAt > CUT_DELAY_NANOS;
      if (cut) {
        injectedFaults.incrementAndGet();
        connection.reset();
      } else if (connection.upstream.outputShut && connection.downstream.outputShut) {
        connection.client.close();
        connection.server.close();
        connection.hop.connections.remove(connection);
      }
    } catch (IOException e) {
      connection.reset();
    }
  }

  private boolean write(Connection connection, Direction direction, ByteBuffer buffer) throws IOException {
    if (connection.hop.mode == Mode.TRICKLE) {
      injectedFaults.addAndGet(buffer.remaining());
      while (buffer.hasRemaining()) {
        int step = Math.min(buffer.remaining(), buffer.limit() <= SINGLE_BYTE_LIMIT ? 1 : buffer.limit() / TRICKLE_CHUNKS);
        int n = direction.destination.write(buffer.slice(buffer.position(), step));
        if (n == 0) {
          return false;
        }
        buffer.position(buffer.position() + n);
      }
      return true;
    }
    direction.destination.write(buffer);
    return !buffer.hasRemaining();
  }

  private void shutOutput(Connection connection, Direction direction) {
    direction.outputShut = true;
    try {
      direction.destination.shutdownOutput();
    } catch (IOException | NotYetConnectedException e) {
      connection.reset();
    }
  }

  @Override
  public void close() throws IOException {
    closing = true;
    selector.wakeup();
    try {
      thread.join(1000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (Hop h : hops) {
      h.listener.close();
      for (SocketChannel filler : h.queueFillers) {
        filler.close();
      }
      List.copyOf(h.connections).forEach(Connection::reset);
    }
    selector.close();
  }
}
