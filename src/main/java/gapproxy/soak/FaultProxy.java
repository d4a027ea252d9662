package gapproxy.soak;

import java.io.IOException;
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

/** A TCP proxy on one thread, with a port for each hop and troubles that are switched on for hops. */
final class FaultProxy implements AutoCloseable {
  /** What a hop does to what passes it. */
  enum Mode {
    PASS,
    /** Bytes wait for a while. */
    LATE,
    /** Bytes are taken by nobody, and nothing is said. When it ends, connections are reset. */
    SILENT,
    /** Connections are reset, new ones as well. */
    RESET,
    /** The answering side of open connections is ended, the asking side stays. */
    HALF_CLOSE,
    /** Bytes come one by one. */
    TRICKLE,
    /** A connection is reset right behind the last byte of a request. */
    CUT_AFTER_REQUEST,
    /** Half a line comes on connections at rest, and then their end. */
    JUNK_AT_REST,
    /** Connections that are opened come up late: they carry nothing for a while, and nothing at all if they are given up before. */
    CONNECT_LATE
  }

  private static final int BUFFER = 16 << 10, MOST_PIECES = 16;
  private static final int SINGLY = 2 << 10, PIECES = 256;    // bytes that trickle one by one; pieces of what is longer
  private static final long LATE_NANOS = 120_000_000L;
  private static final long LOOK_MILLIS = 5;
  private static final long CUT_NANOS = 2_000_000L;           // behind the last byte of a request
  private static final long AT_REST_NANOS = 50_000_000L;
  private static final long CONNECT_LATE_NANOS = 1_000_000_000L; // at most

  private final Selector selector = Selector.open();
  private final Set<Hop> hops = ConcurrentHashMap.newKeySet();
  private final Thread thread = new Thread(this::run, "proxy");
  private final Map<Integer, Link> silentLinks = new ConcurrentHashMap<>(); // by the port from which it comes to its server
  private final AtomicLong injected = new AtomicLong();
  private final SplittableRandom chance;
  private volatile boolean closing;
  private volatile Throwable death;
  private volatile long longestTurnNanos;

  FaultProxy(long seed) throws IOException {
    chance = new SplittableRandom(seed);
    thread.setDaemon(true);
    thread.start();
  }

  /** One port, and where it leads. */
  final class Hop {
    private final ServerSocketChannel port;
    private final InetSocketAddress target;
    private final List<Link> links = new ArrayList<>();
    private volatile Mode mode = Mode.PASS;
    private volatile double toSilence, answersToSilence;      // shares of its open connections, once
    private Mode applied = Mode.PASS;

    private Hop(InetSocketAddress target) throws IOException {
      this.target = target;
      port = ServerSocketChannel.open();
      port.bind(new InetSocketAddress("127.0.0.1", 0), 512);
      port.configureBlocking(false);
    }

    int port() {
      return port.socket().getLocalPort();
    }

    void mode(Mode to) {
      mode = to;
      selector.wakeup();
    }

    /** Some of the connections that are open now fall silent for good, both ways and without an error; new ones pass. */
    void silenceOpenConnections(double share) {
      toSilence = share;
      selector.wakeup();
    }

    /** On some of the connections that are open now nothing comes back any longer; what is asked passes, and the asking side's end. */
    void silenceAnswers(double share) {
      answersToSilence = share;
      selector.wakeup();
    }
  }

  /** Opens a port that leads to an address. */
  Hop hop(InetSocketAddress target) throws IOException {
    Hop h = new Hop(target);
    hops.add(h);
    selector.wakeup();
    return h;
  }

  /** Bytes and connections that troubles have touched. */
  long injected() {
    return injected.get();
  }

  /** The longest time between two looks at what passes: what it held up by itself. */
  long longestTurnMs() {
    return longestTurnNanos / 1_000_000;
  }

  /** What ended its thread, or null: nothing that is seen afterwards tells of the gateways. */
  Throwable death() {
    return death;
  }

  private record Piece(ByteBuffer bytes, long due) {}

  /** One direction of a connection. */
  private final class Way {
    final SocketChannel from;
    final SocketChannel to;
    final Deque<Piece> pieces = new ArrayDeque<>();
    boolean ended, passed;
    long bytes;                                               // passed on so far

    Way(SocketChannel from, SocketChannel to) {
      this.from = from;
      this.to = to;
    }

    boolean atRest() {
      return pieces.isEmpty() && !ended;
    }
  }

  private final class Link {
    final Hop hop;
    final SocketChannel client, server;
    final Way up, down;
    long moved = System.nanoTime();
    long answeredAt;                                          // bytes asked when the last answer came
    boolean silent, answersLost;                              // for good
    volatile boolean gaveUp;                                  // its gateway has closed it, which nobody is told
    long passesFrom;                                          // nothing passes before

    Link(Hop hop, SocketChannel client) throws IOException {
      this.hop = hop;
      this.client = client;
      server = SocketChannel.open();
      for (SocketChannel c : List.of(client, server)) {
        c.configureBlocking(false);
        c.setOption(StandardSocketOptions.TCP_NODELAY, true);
      }
      server.connect(hop.target);
      up = new Way(client, server);
      down = new Way(server, client);
      client.register(selector, SelectionKey.OP_READ, this);
      server.register(selector, SelectionKey.OP_CONNECT | SelectionKey.OP_READ, this);
      if (hop.mode == Mode.CONNECT_LATE) {
        injected.incrementAndGet();
        passesFrom = moved + chance.nextLong(CONNECT_LATE_NANOS);
      }
    }

    /** Whether nothing waits to be passed on. */
    boolean atRest() {
      return up.atRest() && down.atRest();
    }

    /** What comes stays where it is, the end of either side included. */
    boolean mute() {
      return silent || hop.mode == Mode.SILENT;
    }

    void reset() {
      for (SocketChannel c : List.of(client, server)) {
        try {
          c.setOption(StandardSocketOptions.SO_LINGER, 0);
          c.close();
        } catch (IOException e) {
          continue;                                           // it is gone already
        }
      }
      hop.links.remove(this);
      silentLinks.values().remove(this);
    }
  }

  private void run() {
    try {
      turnUntilClosed();
    } catch (IOException | RuntimeException e) {
      death = closing ? null : e;
    }
  }

  private void turnUntilClosed() throws IOException {
    long last = System.nanoTime();
    while (!closing) {
      selector.select(LOOK_MILLIS);
      long now = System.nanoTime();
      longestTurnNanos = Math.max(longestTurnNanos, now - last);
      last = now;
      for (Hop h : hops) {
        if (h.port.keyFor(selector) == null) {
          h.port.register(selector, SelectionKey.OP_ACCEPT, h);
        }
        apply(h);
      }
      for (SelectionKey key : selector.selectedKeys()) {
        handle(key);
      }
      selector.selectedKeys().clear();
      hops.forEach(h -> List.copyOf(h.links).forEach(this::move));
    }
  }

  /** What a change of mode does to the connections that are open, and what a mode does to those at rest. */
  private void apply(Hop h) throws IOException {
    Mode now = h.mode;
    if (now != h.applied) {
      Mode before = h.applied;
      h.applied = now;
      if (now == Mode.RESET || before == Mode.SILENT) {
        injected.addAndGet(h.links.size());
        List.copyOf(h.links).forEach(Link::reset);
      } else if (now == Mode.HALF_CLOSE) {
        injected.addAndGet(h.links.size());
        for (Link l : List.copyOf(h.links)) {
          shutOutput(l, l.down);
        }
      }
    }
    if (h.toSilence > 0) {
      silenceSome(h, h.toSilence, l -> l.silent = true);
      h.toSilence = 0;
    }
    if (h.answersToSilence > 0) {
      silenceSome(h, h.answersToSilence, l -> l.answersLost = true);
      h.answersToSilence = 0;
    }
    if (now == Mode.JUNK_AT_REST) {
      for (Link l : List.copyOf(h.links)) {
        if (!l.silent && System.nanoTime() - l.moved > AT_REST_NANOS && l.down.pieces.isEmpty()) {
          injected.incrementAndGet();
          junk(l);
        }
      }
    }
  }

  private void silenceSome(Hop h, double share, Consumer<Link> how) {
    for (Link l : h.links) {
      if (chance.nextDouble() < share) {
        injected.incrementAndGet();
        how.accept(l);
        silentLinks.put(l.server.socket().getLocalPort(), l);
      }
    }
  }

  private void junk(Link l) {
    l.moved = Long.MAX_VALUE / 2;
    try {
      write(l, l.down, ByteBuffer.wrap("HTTP/1.1 20".getBytes(StandardCharsets.US_ASCII)));
      shutOutput(l, l.down);
    } catch (IOException e) {
      l.reset();                                              // its gateway has gone meanwhile
    }
  }

  private void handle(SelectionKey key) throws IOException {
    if (key.attachment() instanceof Hop h) {
      acceptAll(h);
      return;
    }
    Link l = (Link) key.attachment();
    try {
      if (key.isValid() && key.isConnectable() && l.server.finishConnect()) {
        key.interestOps(SelectionKey.OP_READ);
      }
      if (key.isValid() && key.isReadable()) {
        if (l.silent && key.channel() == l.client) {
          discard(l, key);
        } else if (l.mute()) {
          injected.incrementAndGet();
          key.interestOps(0);                                 // what comes stays where it is
        } else {
          read(l, key.channel() == l.client ? l.up : l.down);
        }
      }
    } catch (IOException e) {
      if (l.silent) {
        l.gaveUp = true;
        key.cancel();
      } else {
        l.reset();                                            // one end has gone
      }
    }
  }

  /** What a gateway sends on a connection that has fallen silent goes nowhere; its close is noted. */
  private void discard(Link l, SelectionKey key) throws IOException {
    injected.incrementAndGet();
    if (l.client.read(ByteBuffer.allocate(BUFFER)) < 0) {
      l.gaveUp = true;
      key.cancel();
    }
  }

  /** What a gateway knows of a connection that has fallen silent. */
  enum Silence { NONE, WAITS, GAVE_UP }

  /** How it stands with the connection that comes to a server from a local port. */
  Silence silence(int port) {
    Link l = silentLinks.get(port);
    return l == null ? Silence.NONE : l.gaveUp ? Silence.GAVE_UP : Silence.WAITS;
  }

  /** Takes all that wait: one at each turn would make a client wait behind a crowd. */
  private void acceptAll(Hop h) throws IOException {
    for (SocketChannel c = h.port.accept(); c != null; c = h.port.accept()) {
      accept(h, c);
    }
  }

  private void accept(Hop h, SocketChannel c) throws IOException {
    try {
      if (h.mode == Mode.RESET) {
        injected.incrementAndGet();
        c.setOption(StandardSocketOptions.SO_LINGER, 0);
        c.close();
      } else {
        h.links.add(new Link(h, c));
      }
    } catch (IOException e) {
      c.close();                                              // its other end has gone before it was looked at
    }
  }

  /** Takes what has come, up to the longest body: one piece at each turn would hold that up by seconds. */
  private void read(Link l, Way w) throws IOException {
    int pieces = 0;
    while (readPiece(l, w) == BUFFER && pieces < MOST_PIECES) {
      pieces++;
    }
  }

  /** Reads one piece, and answers how long it was. */
  private int readPiece(Link l, Way w) throws IOException {
    ByteBuffer b = ByteBuffer.allocate(BUFFER);
    int n = w.from.read(b);
    if (n < 0 && w == l.up && System.nanoTime() < l.passesFrom) {
      l.reset();                                              // given up before it had come up, so nothing was sent on it
      return n;
    }
    if (n < 0) {
      w.ended = true;
      l.gaveUp |= w == l.up;
      SelectionKey k = w.from.keyFor(selector);
      if (k != null) {
        k.interestOps(k.interestOps() & ~SelectionKey.OP_READ);
      }
      return n;
    }
    if (w == l.down && l.answersLost) {
      injected.addAndGet(n);
      return n;
    }
    l.moved = System.nanoTime();
    w.bytes += n;
    if (w == l.down) {
      l.answeredAt = l.up.bytes;
    }
    long due = l.hop.mode == Mode.LATE ? System.nanoTime() + LATE_NANOS : 0;
    if (due > 0) {
      injected.addAndGet(n);
    }
    w.pieces.add(new Piece(b.flip(), due));
    return n;
  }

  /** Writes what is due, and ends what has ended. */
  private void move(Link l) {
    if (l.atRest() && l.hop.mode != Mode.CUT_AFTER_REQUEST) {
      return;
    }
    if (l.mute() || !l.server.isConnected() || System.nanoTime() < l.passesFrom) {
      return;
    }
    try {
      for (Way w : List.of(l.up, l.down)) {
        while (!w.pieces.isEmpty() && w.pieces.peek().due <= System.nanoTime()) {
          if (!write(l, w, w.pieces.peek().bytes)) {
            break;
          }
          w.pieces.poll();
        }
        if (w.ended && w.pieces.isEmpty() && !w.passed) {
          shutOutput(l, w);
        }
      }
      boolean cut = l.hop.mode == Mode.CUT_AFTER_REQUEST && l.up.pieces.isEmpty() && l.down.pieces.isEmpty()
          && l.up.bytes > l.answeredAt && System.nanoTime() - l.moved > CUT_NANOS;
      if (cut) {
        injected.incrementAndGet();
        l.reset();
      } else if (l.up.passed && l.down.passed) {
        l.client.close();
        l.server.close();
        l.hop.links.remove(l);
      }
    } catch (IOException e) {
      l.reset();
    }
  }

  private boolean write(Link l, Way w, ByteBuffer b) throws IOException {
    if (l.hop.mode == Mode.TRICKLE) {
      injected.addAndGet(b.remaining());
      while (b.hasRemaining()) {
        int step = Math.min(b.remaining(), b.limit() <= SINGLY ? 1 : b.limit() / PIECES);
        int n = w.to.write(b.slice(b.position(), step));
        if (n == 0) {
          return false;
        }
        b.position(b.position() + n);
      }
      return true;
    }
    w.to.write(b);
    return !b.hasRemaining();
  }

  private void shutOutput(Link l, Way w) {
    w.passed = true;
    try {
      w.to.shutdownOutput();
    } catch (IOException | NotYetConnectedException e) {
      l.reset();
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
      h.port.close();
      List.copyOf(h.links).forEach(Link::reset);
    }
    selector.close();
  }
}
