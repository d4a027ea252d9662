package gapproxy.platform;

import gapproxy.config.WireSettings;
import gapproxy.gateway.Gateway;
import gapproxy.gateway.GatewaySettings;
import gapproxy.gateway.KnownListPolicy;
import gapproxy.gateway.SilenceLimit;
import gapproxy.http.ServerLimits;
import gapproxy.http.HttpClient;
import gapproxy.list.ListSource;
import gapproxy.list.ServerList;
import gapproxy.memory.MemoryBudget;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.trace.Metrics;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One gateway on the platform with its loop and its network transport: starts it, reloads its configuration and shuts it down. */
public final class PlatformNode {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformNode.class);
  // File descriptors that the process has open besides its connections: files and selectors.
  private static final int RESERVED_DESCRIPTORS = 40;
  // The protocol allows closing a connection on which a client has sent no complete req within this time.
  private static final Duration FIRST_REQ_TIMEOUT = Duration.ofMillis(2000);
  // A client must not be left waiting for longer after a running server's last event: 5 s, and 50 ms on sockets. An event that is being
  // written then is part of a body, and no longer than one.
  private static final SilenceLimit SILENCE_LIMIT = new SilenceLimit(Duration.ofMillis(5050), SilenceLimit.Side.END_BEFORE,
      Protocol.MAX_BODY_BYTES);
  // After SIGTERM, the process is not killed before this time has passed, or the longest time budget if that is shorter.
  private static final Duration KILL_DELAY = Duration.ofSeconds(3);
  // Where clients resume broken streams, open streams are ended this long before the earliest possible kill.
  private static final Duration KILL_MARGIN = Duration.ofMillis(200);
  // How long and how often binding a busy port is retried.
  private static final Duration BIND_TIMEOUT = Duration.ofSeconds(5), BIND_RETRY_DELAY = Duration.ofMillis(50);
  // Limit on the time from the first token of a streamed answer to its end. The protocol sets none.
  private static final Duration MAX_ANSWER_TIME = Duration.ofDays(1);
  // How long open streams may go on after SIGTERM where clients don't resume them.
  private static final Duration STOP_TIMEOUT = Duration.ofMinutes(10);

  private final LiveLoop loop;
  private final LiveNet net;
  private final Gateway gateway;
  // Reaches zero with the first list from discovery.
  private final CountDownLatch firstListReceived = new CountDownLatch(1);
  // The server list of an earlier run, or null.
  private final ServerList knownServers;
  private Watch watch;

  /** Thrown for an invalid configuration; the message names the key. */
  public static final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidConfigException(String message) {
      super(message);
    }
  }

  private PlatformNode(PlatformConfig config, Runnable onFatal) throws IOException, InterruptedException {
    loop = new LiveLoop(config.name(), cause -> abandon(onFatal));
    net = new LiveNet(config.name() + "-net", 1, MemoryBudget.SOCKET_BUFFER_BYTES);
    WireSettings wireSettings = config.wireSettings();
    // Client connections and server connections each get half of the file descriptors.
    int connectionsPerSide = Math.max(8, (config.maxSockets() - RESERVED_DESCRIPTORS) / 2);
    Duration idleTimeout = wireSettings.connectionIdleTimeout();
    ServerLimits serverLimits = new ServerLimits(16 << 10, 64, Protocol.MAX_BODY_BYTES, 256 << 10, idleTimeout,
        FIRST_REQ_TIMEOUT, FIRST_REQ_TIMEOUT, connectionsPerSide);
    MemoryBudget budget = MemoryBudget.forProcess(Runtime.getRuntime().maxMemory(), config.memoryBytes());
    HttpClient http = new HttpClient(loop, net, idleTimeout.multipliedBy(4).dividedBy(5), connectionsPerSide, budget);
    HostListParser listParser = new HostListParser();
    // Where clients resume broken streams at another gateway, open streams are ended before the process is killed: by the time of the
    // kill, the other gateway may be shutting down too.
    Duration killDelay = wireSettings.maxBudget().compareTo(KILL_DELAY) < 0 ? wireSettings.maxBudget() : KILL_DELAY;
    Duration stopTimeout = wireSettings.clientsResume() && killDelay.compareTo(KILL_MARGIN) > 0 ? killDelay.minus(KILL_MARGIN)
        : STOP_TIMEOUT;
    GatewaySettings gatewaySettings = new GatewaySettings(config.name(), wireSettings.settings(), wireSettings.groups(),
        wireSettings.zones(), wireSettings.kinds(), wireSettings.releaseWithin(), MAX_ANSWER_TIME, SILENCE_LIMIT, stopTimeout,
        connectionsPerSide * 9 / 10, true);
    gateway = new Gateway(gatewaySettings, loop, new PlatformFrontend(config.listen(), loop, net, serverLimits, budget, wireSettings),
        new PlatformServers(http, loop, wireSettings),
        listener -> {
          // The watch has an HTTP client of its own, so that it learns of draining servers even while calls occupy all connections.
          watch = new Watch(config.discovery(), new HttpClient(loop, net, idleTimeout, Integer.MAX_VALUE, budget), loop,
              wireSettings.connectTimeout(), listParser, new ListSource.Listener() {
            @Override
            public void onList(ServerList l) {
              firstListReceived.countDown();
              listener.onList(l);
            }

            @Override
            public void onFailure(String why) {
              listener.onFailure(why);
            }
          });
          return watch;
        }, null, null, budget, config.seed());
    knownServers = listParser.parse(config.knownServers());
    try {
      startListening();
    } catch (IOException e) {
      net.close();
      loop.close();
      throw e;
    }
  }

  /**
   * Starts listening, and retries while a previous process still holds the port: giving up at once would leave the fleet without this
   * gateway.
   */
  private void startListening() throws IOException, InterruptedException {
    Duration deadline = loop.now().plus(BIND_TIMEOUT);
    for (IOException failed = tryToListen(); failed != null; failed = tryToListen()) {
      if (!(failed instanceof BindException) || loop.now().compareTo(deadline) >= 0) {
        throw failed;
      }
      LOG.atWarn().addKeyValue("cause", "port_busy").addKeyValue("why", failed.getMessage()).log("the listening port is busy; retrying");
      new CountDownLatch(1).await(BIND_RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  /** Tries to start the gateway; returns the failure, or null on success. */
  private IOException tryToListen() {
    IOException[] failed = new IOException[1];
    loop.runAndWait(() -> {
      try {
        gateway.start();
      } catch (IOException e) {
        failed[0] = e;
      }
    });
    return failed[0];
  }

  /**
   * Waits for the first list from discovery, and uses the server list from the configuration if there is none in the time of {@link
   * KnownListPolicy}. Meanwhile the gateway listens, is not ready, and can be reloaded and stopped.
   */
  public void awaitFirstList() throws InterruptedException {
    Duration maxWait = KnownListPolicy.maxWaitForDiscovery();
    if (knownServers != null && !firstListReceived.await(maxWait.toMillis(), TimeUnit.MILLISECONDS)) {
      loop.runAndWait(() -> {
        if (firstListReceived.getCount() > 0) {
          gateway.restoreList(new ServerList("", knownServers.index(), true, knownServers.servers()));
        }
      });
    }
  }

  /**
   * Starts a gateway from the text of its configuration.
   *
   * @throws IOException if its port can't be bound
   */
  public static PlatformNode start(byte[] config) throws InvalidConfigException, IOException, InterruptedException {
    return start(config, () -> { });
  }

  /**
   * Starts a gateway from the text of its configuration.
   *
   * @param onFatal called when an error has ended the loop and all open reqs have been answered as failed; it must end the process,
   *     so that the supervisor restarts it
   * @throws IOException if its port can't be bound
   */
  public static PlatformNode start(byte[] config, Runnable onFatal) throws InvalidConfigException, IOException, InterruptedException {
    PlatformNode node = open(config, onFatal);
    node.awaitFirstList();
    return node;
  }

  /** Like {@link #start(byte[], Runnable)}, but does not wait for a server list, see {@link #awaitFirstList}. */
  public static PlatformNode open(byte[] config, Runnable onFatal) throws InvalidConfigException, IOException, InterruptedException {
    return new PlatformNode(PlatformConfig.parse(config), onFatal);
  }

  /** Answers all open reqs as failed after an error that ended the loop. */
  private void abandon(Runnable onFatal) {
    try {
      if (gateway != null) {
        gateway.abortAllReqs();
      }
    } finally {
      onFatal.run();
    }
  }

  LiveLoop loop() {
    return loop;
  }

  Metrics metrics() {
    return gateway.metrics();
  }

  /** The address at which the gateway listens for clients. */
  public InetSocketAddress address() {
    return gateway.address();
  }

  /**
   * Moves the watch to the discovery address in a new configuration; nothing else in that configuration is applied.
   *
   * @throws InvalidConfigException if the configuration is invalid; nothing changes then
   */
  public void updateDiscovery(byte[] config) throws InvalidConfigException {
    PlatformConfig parsed = PlatformConfig.parse(config);
    loop.execute(() -> watch.moveTo(parsed.discovery()));
  }

  /** Like {@link #updateDiscovery}, but logs an invalid configuration instead of throwing. */
  public void reload(byte[] config) {
    try {
      updateDiscovery(config);
    } catch (InvalidConfigException e) {
      LOG.atError().addKeyValue("why", e.getMessage()).log("the new configuration is invalid; keeping the old one");
    }
  }

  /** Writes the metrics and the most recent events to the log. */
  public void report() {
    loop.execute(gateway::logDiagnostics);
  }

  /** Shuts down gracefully: lets open reqs finish, then runs the callback. */
  public void stop(Runnable then) {
    loop.execute(() -> gateway.stop(then));
  }

  /** Stops at once without finishing open reqs, as if the process were killed. */
  public void close() {
    loop.runAndWait(gateway::kill);
    loop.close();
    net.close();
  }
}
