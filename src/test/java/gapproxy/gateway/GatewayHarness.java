package gapproxy.gateway;

import gapproxy.config.WireSettings;
import gapproxy.engine.EngineFailure;
import gapproxy.http.HttpClient;
import gapproxy.list.ListSource;
import gapproxy.list.ServerList;
import gapproxy.runtime.ManualLoop;
import gapproxy.standin.PlatformSite;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;

/** Base of tests that run a gateway with fake clients, servers, server lists and clock. */
abstract class GatewayHarness {
  static final Duration TICK = Duration.ofMillis(1);
  static final long READER = 1, WRITER = 2;

  final ManualLoop loop = new ManualLoop();
  final FakeFrontend frontend = new FakeFrontend();
  final FakeServers servers = new FakeServers(loop);
  Gateway gateway;
  ListSource.Listener listListener;

  /** A frontend whose reqs the test passes to the gateway directly. */
  static final class FakeFrontend implements ClientFrontend {
    ReqHandler reqHandler;

    @Override
    public void open(ReqHandler handler) {
      reqHandler = handler;
    }

    @Override
    public InetSocketAddress address() {
      return null;
    }

    @Override
    public int openConnections() {
      return 0;
    }

    @Override
    public void drain() {
    }

    @Override
    public boolean drained() {
      return true;
    }

    @Override
    public void kill() {
    }
  }

  /** A req that records the answers it is given. */
  static final class FakeReq implements ClientReq {
    final String id;
    final Duration budget;
    final List<String> answers = new ArrayList<>();
    Runnable disconnectHandler;

    FakeReq(String id, Duration budget) {
      this.id = id;
      this.budget = budget;
    }

    @Override
    public Attributes attributes() {
      return new Attributes(0, 0, 7, budget, 0, 900, 0, 80);
    }

    @Override
    public String clientRequestId() {
      return id;
    }

    @Override
    public boolean streaming() {
      return true;
    }

    @Override
    public void accepted(String name, Supplier<String> path) {
    }

    @Override
    public void onDisconnect(Runnable listener) {
      disconnectHandler = listener;
    }

    @Override
    public void beginAnswer() {
      answers.add("begin");
    }

    @Override
    public void chunk(Object chunk) {
    }

    @Override
    public void flush() {
    }

    @Override
    public boolean outputFull() {
      return false;
    }

    @Override
    public void onWritable(Runnable listener) {
    }

    @Override
    public void promptTokensCounted(long tokens) {
    }

    @Override
    public void done() {
      answers.add("done");
    }

    @Override
    public void pushBack(Duration retryAfter, boolean serversUnavailable) {
      answers.add("rejected");
    }

    @Override
    public void clientError(int status, byte[] body) {
      answers.add("refused");
    }

    @Override
    public void abort(AbortReason reason, String text) {
      answers.add("failed");
    }
  }

  /** Model servers that record calls; the test answers reads, writes and reservations through the recorded listeners. */
  static final class FakeServers implements Servers {
    private final ManualLoop loop;
    /** How long after a release call its acknowledgement arrives. */
    Duration acknowledgeAfter = Duration.ZERO;

    FakeServers(ManualLoop loop) {
      this.loop = loop;
    }

    final List<ReadListener> reads = new ArrayList<>();
    final List<WriteListener> writes = new ArrayList<>();
    final List<ReservationListener> reservations = new ArrayList<>();
    final List<Integer> reservationPorts = new ArrayList<>();
    final List<String> releases = new ArrayList<>();
    Runnable onRead = () -> { };
    /** How long the last read's server was told to work on it. */
    Duration lastReadTimeout;
    /** Whether probes get no response. */
    boolean probesUnanswered;

    @Override
    public HttpClient.Call read(InetSocketAddress server, String id, ClientReq req, Duration timeout, ReadListener listener) {
      reads.add(listener);
      lastReadTimeout = timeout;
      onRead.run();
      return call();
    }

    @Override
    public HttpClient.Call write(InetSocketAddress server, String id, ClientReq req, Duration timeout, String reservationId,
        Object heldState, WriteListener listener) {
      writes.add(listener);
      return call();
    }

    /** A call that never completes and can be cancelled. */
    private static HttpClient.Call call() {
      return new HttpClient(new ManualLoop(), new NeverConnectingNet(), Duration.ofSeconds(1))
          .call(new InetSocketAddress("127.0.0.1", 9), "GET", "/", java.util.Map.of(), new byte[0], Duration.ofDays(1),
              new gapproxy.http.BufferedResponseListener(1, (status, headers, body, failure, reason) -> { }));
    }

    @Override
    public void probe(InetSocketAddress server, BiConsumer<double[], EngineFailure> listener) {
      if (!probesUnanswered) {
        listener.accept(new double[] {0, 0, 0, 0}, null);
      }
    }

    @Override
    public void reserve(InetSocketAddress server, String id, ClientReq req, Duration timeout, ReservationListener listener) {
      reservations.add(listener);
      reservationPorts.add(server.getPort());
    }

    @Override
    public void release(InetSocketAddress server, String id, Duration timeout, boolean newConnection, ReleaseListener listener) {
      releases.add(id);
      if (acknowledgeAfter.isZero()) {
        listener.releaseEnded(true);
      } else {
        loop.after(acknowledgeAfter, () -> listener.releaseEnded(true));
      }
    }

    @Override
    public boolean reservationProvesRead() {
      return true;
    }

    @Override
    public void forget(InetSocketAddress server) {
    }

    @Override
    public void close() {
    }
  }

  /** A network on which connection attempts never complete. */
  static final class NeverConnectingNet implements gapproxy.runtime.Net {
    @Override
    public Port listen(InetSocketAddress address, Supplier<List<org.glassfish.grizzly.filterchain.Filter>> filters) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void connect(InetSocketAddress address, Supplier<List<org.glassfish.grizzly.filterchain.Filter>> filters,
        ConnectListener listener) {
    }

    @Override
    public void setReading(org.glassfish.grizzly.Connection<?> connection, boolean enabled) {
    }
  }

  @BeforeEach
  void start() throws Exception {
    start("read_like");
  }

  void start(String repeat) throws Exception {
    start(repeat, Duration.ofSeconds(1), false, servers);
  }

  void start(String repeat, Duration releaseWithin, boolean localReads, Servers servers) throws Exception {
    WireSettings wireSettings = WireSettings.parse(PlatformSite.SETTINGS.replace("read_like", repeat)
        .replace("\"releaseWithinUs\":1000000", "\"releaseWithinUs\":" + releaseWithin.toNanos() / 1000)
        .replace("\"worth\":1.0", "\"worth\":1.0,\"group\":\"all\",\"windowUs\":300000")
        .replace("\"localRead\":true", "\"localRead\":" + localReads).getBytes(StandardCharsets.UTF_8));
    GatewaySettings settings = new GatewaySettings("g", wireSettings.settings(), wireSettings.groups(), wireSettings.zones(),
        wireSettings.kinds(), wireSettings.releaseWithin(), Duration.ofMinutes(1),
        new SilenceLimit(Duration.ofMillis(5050), SilenceLimit.Side.END_BEFORE, 256 << 10), Duration.ofSeconds(5), 100, true);
    gateway = new Gateway(settings, loop, frontend, servers, listener -> {
      listListener = listener;
      return new ListSource() {
        @Override
        public void subscribe() {
        }

        @Override
        public void close() {
        }
      };
    }, null, null, 3);
    gateway.start();
    publishList(true, entry(READER, "reading", "READY", null), entry(WRITER, "writing", "READY", null));
  }

  static ServerList.Entry entry(long id, String kind, String state, Instant upSince) {
    return new ServerList.Entry(id, new InetSocketAddress("127.0.0.1", (int) id), "here", "0", kind, ServerList.State.valueOf(state),
        1, upSince);
  }

  void publishList(boolean complete, ServerList.Entry... entries) {
    listListener.onList(new ServerList("", 1, complete, List.of(entries)));
    advance(TICK);
  }

  /** Advances the time and runs what becomes due in it. */
  void advance(Duration duration) {
    loop.runUntil(loop.now().plus(duration));
  }

  /** Passes a req to the gateway, and advances the time so far that its read is decided. */
  FakeReq sendReq(Duration budget) {
    FakeReq req = new FakeReq("r", budget);
    frontend.reqHandler.accept(req);
    advance(Duration.ofMillis(50));
    return req;
  }

  FakeReq sendReq() {
    return sendReq(Duration.ofSeconds(5));
  }

  void drainWriter() {
    publishList(false, entry(WRITER, "writing", "DRAINING", null));
  }
}
