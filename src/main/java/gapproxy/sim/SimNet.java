package gapproxy.sim;

import gapproxy.runtime.Net;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.zip.CRC32;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CloseReason;
import org.glassfish.grizzly.Closeable;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Context;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.ProcessorExecutor;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;

/**
 * An in-memory network. Bytes arrive in order, split or merged at arbitrary points, after a latency with jitter; connects can be refused,
 * and notifications of a close can be late. Above its first filter, each connection has the same filter chain as in the daemon. Runs on the
 * scheduler's thread.
 */
final class SimNet {
  private static final TCPNIOTransport TRANSPORT = TCPNIOTransportBuilder.newInstance().build();
  private static final SocketChannel CHANNEL = channel();
  private static final int MAX_SEGMENT_BYTES = 4096, MAX_SINGLE_BYTE_MESSAGE = 400;
  // Delay until data that a fault blocked is sent again.
  private static final Duration RETRANSMIT_DELAY = Duration.ofMillis(20);

  private static SocketChannel channel() {
    try {
      // Never connected, but Grizzly needs an open channel.
      return SocketChannel.open();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private final Scheduler scheduler;
  private final SplittableRandom random;
  private final Map<InetSocketAddress, BoundPort> ports = new HashMap<>();
  private final Set<ConnectionEnd> open = new LinkedHashSet<>();
  private final CRC32 checksum = new CRC32();
  private final String segmentation;
  private int nextPort = 10_000;
  Duration latency = Duration.ofNanos(300_000);
  double jitter = 1;
  double latencyFactor = 1;
  // Bandwidth of each connection; 0 for no limit.
  double bytesPerSecond;
  long deliveredBytes;
  // Number of faults that block each directed pair of processes.
  private final Map<String, Integer> blockedLinks = new HashMap<>();
  private final Set<InetSocketAddress> unresponsivePorts = new LinkedHashSet<>();

  /** Blocks or unblocks data in one direction between two processes. Blocked data is sent again later, as TCP does. */
  void cut(String from, String to, boolean blocked) {
    blockedLinks.merge(from + ">" + to, blocked ? 1 : -1, Integer::sum);
  }

  private boolean cut(Host from, Host to) {
    return blockedLinks.getOrDefault(from.name + ">" + to.name, 0) > 0;
  }

  /** Makes a port neither accept nor refuse connections, as if its accept queue were full. */
  void setUnresponsive(InetSocketAddress port, boolean unresponsive) {
    if (unresponsive) {
      unresponsivePorts.add(port);
    } else {
      unresponsivePorts.remove(port);
    }
  }

  /** @param segmentation how data is cut into segments: mixed, single (mostly single bytes) or together */
  SimNet(Scheduler scheduler, SplittableRandom random, String segmentation) {
    this.segmentation = segmentation;
    this.scheduler = scheduler;
    this.random = random;
  }

  /** Checksum of all delivered data and its delivery times, to compare runs. */
  long traceChecksum() {
    return checksum.getValue();
  }

  /** Number of open connections of a process. */
  int connections(Host host) {
    return (int) open.stream().filter(e -> e.host == host).count();
  }

  /** The network as one process sees it. */
  Net host(String name, SimLoop loop) {
    return new Host(name, loop);
  }

  /** A port that a process listens on. */
  private record BoundPort(Host host, Supplier<List<Filter>> filters) {}

  private Duration delay() {
    return Duration.ofNanos((long) (latency.toNanos() * latencyFactor * (1 + jitter * random.nextDouble())));
  }

  /** The network of one process. */
  final class Host implements Net {
    final String name;
    final SimLoop loop;

    Host(String name, SimLoop loop) {
      this.name = name;
      this.loop = loop;
    }

    @Override
    public Port listen(InetSocketAddress at, Supplier<List<Filter>> filters) throws IOException {
      InetSocketAddress bound = at.getPort() == 0 ? new InetSocketAddress("127.0.0.1", nextPort++) : at;
      if (ports.putIfAbsent(bound, new BoundPort(this, filters)) != null) {
        throw new IOException("address in use: " + bound);
      }
      return new Port() {
        @Override
        public InetSocketAddress address() {
          return bound;
        }

        @Override
        public void close() {
          ports.remove(bound);
        }
      };
    }

    @Override
    public void connect(InetSocketAddress to, Supplier<List<Filter>> filters, ConnectListener listener) {
      scheduler.after(delay(), () -> {
        BoundPort target = ports.get(to);
        if (loop.dead()) {
          return;
        }
        if (unresponsivePorts.contains(to) || target != null && (cut(this, target.host) || cut(target.host, this))) {
          scheduler.after(RETRANSMIT_DELAY, () -> connect(to, filters, listener));
          return;
        }
        if (target == null || target.host.loop.dead()) {
          listener.failed(new ConnectException("refused"));
          return;
        }
        ConnectionEnd here = new ConnectionEnd(this, filters.get());
        ConnectionEnd there = new ConnectionEnd(target.host, target.filters.get());
        here.peer = there;
        there.peer = here;
        open.add(here);
        open.add(there);
        there.event(IOEvent.ACCEPTED);
        scheduler.after(delay(), () -> {
          if (!loop.dead() && here.ended) {
            listener.failed(new ConnectException("reset"));
          } else if (!loop.dead()) {
            listener.connected(here);
          }
        });
      });
    }

    @Override
    public void setReading(Connection<?> connection, boolean on) {
      ConnectionEnd end = (ConnectionEnd) connection;
      end.reading = on;
      if (on) {
        end.scheduleDelivery();
      }
    }

    /** Ends all connections and ports of the process, without notifying the process itself. */
    void kill() {
      ports.values().removeIf(b -> b.host == this);
      for (ConnectionEnd e : List.copyOf(open)) {
        if (e.host == this) {
          e.abandon();
        }
      }
    }
  }

  /** Data in transit, or the end of the stream if {@code closes}. */
  private record Segment(byte[] bytes, Runnable onDelivered, boolean closes) {}

  /** One end of a connection. */
  private final class ConnectionEnd extends TCPNIOConnection {
    final Host host;
    final FilterChain chain;
    // Data in transit to this end.
    final ArrayDeque<Segment> arriving = new ArrayDeque<>();
    ConnectionEnd peer;
    boolean reading = true;
    boolean ended;
    private boolean deliveryScheduled, midStream;
    private Buffer incoming;

    ConnectionEnd(Host host, List<Filter> filters) {
      super(TRANSPORT, CHANNEL);
      this.host = host;
      chain = FilterChainBuilder.stateless().add(new TransportAdapter()).addAll(filters).build();
      setProcessor(chain);
    }

    void event(IOEvent e) {
      ProcessorExecutor.execute(Context.create(this, chain, e, null));
    }

    /** The lowest filter: takes the place of the TCP transport. */
    private final class TransportAdapter extends BaseFilter {
      @Override
      public NextAction handleRead(FilterChainContext ctx) {
        ctx.setMessage(incoming);
        incoming = null;
        return ctx.getInvokeAction();
      }

      @Override
      public NextAction handleWrite(FilterChainContext ctx) {
        Buffer b = ctx.getMessage();
        byte[] all = new byte[b.remaining()];
        b.get(all);
        CompletionHandler<?> done = ctx.getTransportContext().getCompletionHandler();
        send(all, done == null ? () -> { } : () -> done.completed(null));
        return ctx.getStopAction();
      }
    }

    private void send(byte[] message, Runnable onDelivered) {
      if (peer.ended || ended) {
        return;
      }
      int from = 0;
      do {
        int maxBytes = segmentation.equals("single") && message.length < MAX_SINGLE_BYTE_MESSAGE ? 1
            : segmentation.equals("together") ? message.length
            : random.nextInt(4) == 0 ? 1 + random.nextInt(Math.max(1, message.length)) : MAX_SEGMENT_BYTES;
        int size = Math.min(message.length - from, maxBytes);
        boolean last = from + size >= message.length;
        peer.arriving.add(new Segment(java.util.Arrays.copyOfRange(message, from, from + size), last ? onDelivered : () -> { }, false));
        from += size;
      } while (from < message.length);
      peer.scheduleDelivery();
    }

    /** Schedules the delivery of the next data in transit; at most one delivery is scheduled at a time, so data stays in order. */
    void scheduleDelivery() {
      if (deliveryScheduled || arriving.isEmpty() || ended) {
        return;
      }
      deliveryScheduled = true;
      // Within a stream of single bytes only the first one has the network delay.
      boolean streaming = segmentation.equals("single") && midStream;
      midStream = arriving.size() > 1;
      int queuedBytes = bytesPerSecond == 0 ? 0 : arriving.stream().mapToInt(segment -> segment.bytes.length).sum();
      Duration transmissionTime = Duration.ofNanos(bytesPerSecond == 0 ? 0 : (long) (queuedBytes / bytesPerSecond * 1e9));
      scheduler.after(streaming ? Duration.ofNanos(1000) : delay().plus(transmissionTime), () -> {
        deliveryScheduled = false;
        if (ended || host.loop.dead() || !reading) {
          // Delivery resumes when the process reads again.
          return;
        }
        if (cut(peer.host, host)) {
          deliveryScheduled = true;
          scheduler.after(RETRANSMIT_DELAY, () -> {
            deliveryScheduled = false;
            scheduleDelivery();
          });
          return;
        }
        int maxSegments = segmentation.equals("single") || segmentation.equals("mixed") && random.nextInt(3) == 0 ? 1 : 40;
        java.io.ByteArrayOutputStream delivered = new java.io.ByteArrayOutputStream();
        boolean closes = false;
        for (int i = 0; i < maxSegments && !arriving.isEmpty() && !closes; i++) {
          Segment segment = arriving.poll();
          delivered.writeBytes(segment.bytes);
          segment.onDelivered.run();
          closes = segment.closes;
        }
        deliver(delivered.toByteArray());
        if (closes && !ended) {
          closeSilently();
        }
        scheduleDelivery();
      });
    }

    private void deliver(byte[] data) {
      if (data.length == 0) {
        return;
      }
      deliveredBytes += data.length;
      checksum.update(java.nio.ByteBuffer.allocate(8).putLong(scheduler.now().toNanos()).array());
      checksum.update(data);
      incoming = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, data);
      event(IOEvent.READ);
    }

    /** Ends this side because its process was killed. The peer's connection closes after the network delay. */
    void abandon() {
      if (!ended) {
        ended = true;
        open.remove(this);
        scheduler.after(delay(), () -> {
          if (!peer.ended) {
            peer.arriving.clear();
            peer.closeSilently();
          }
        });
      }
    }

    /** Closes this end; {@code graceful} if data in transit still arrives at the peer. */
    private void shutDown(boolean graceful) {
      if (ended) {
        return;
      }
      ended = true;
      open.remove(this);
      if (!peer.ended) {
        if (!graceful) {
          // A reset discards the data in transit.
          peer.arriving.clear();
        }
        peer.reading |= !graceful;
        Runnable notifyPeer = () -> {
          if (!peer.ended) {
            peer.arriving.add(new Segment(new byte[0], () -> { }, true));
            peer.scheduleDelivery();
          }
        };
        // Some close notifications are lost once and sent again.
        if (random.nextInt(6) == 0) {
          scheduler.after(Duration.ofMillis(1 + random.nextInt(60)), notifyPeer);
        } else {
          notifyPeer.run();
        }
      }
      scheduler.after(Duration.ZERO, () -> {
        if (!host.loop.dead()) {
          event(IOEvent.CLOSED);
        }
      });
    }

    @Override
    protected void closeGracefully0(CompletionHandler<Closeable> done, CloseReason reason) {
      shutDown(true);
    }

    @Override
    protected void terminate0(CompletionHandler<Closeable> done, CloseReason reason) {
      shutDown(false);
    }
  }
}
