package gapproxy.platform;

import gapproxy.config.WireSettings;
import gapproxy.gateway.Gateway;
import gapproxy.gateway.Terms;
import gapproxy.http.Caps;
import gapproxy.http.HttpClient;
import gapproxy.list.ListSource;
import gapproxy.list.ServerList;
import gapproxy.memory.MemoryBudget;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One gateway on the platform, with its loop and its transport. */
public final class PlatformNode {
  private static final Logger LOG = LoggerFactory.getLogger(PlatformNode.class);
  private static final int PIPELINED = 256;                   // past it reading stops, and a client that leaves is not seen
  private static final int OWN_DESCRIPTORS = 40;              // the program's files and selectors, by count
  private static final Duration FIRST_REQ = Duration.ofMillis(2000); // past it clients may be closed, by the protocol
  private static final Duration STREAM_GAP = Duration.ofMillis(4500); // short of the time that the protocol allows
  private static final Duration KILLED = Duration.ofSeconds(3); // after TERM and later, or the longest budget if less
  private static final Duration AHEAD = Duration.ofMillis(200);
  private static final Duration PORT_WITHIN = Duration.ofSeconds(5), PORT_AGAIN = Duration.ofMillis(50);
  private static final Duration LONGEST_ANSWER = Duration.ofMinutes(10);

  private final LiveLoop loop;
  private final LiveNet net;
  private final Gateway gateway;
  private final CountDownLatch told = new CountDownLatch(1);  // the first list came from discovery
  private Watch watch;

  /** A configuration that can't be used; the message names the place. */
  public static final class Bad extends Exception {
    private static final long serialVersionUID = 1L;

    Bad(String what) {
      super(what);
    }
  }

  private PlatformNode(PlatformConfig c, Runnable onFatal) throws IOException, InterruptedException {
    loop = new LiveLoop(c.name(), cause -> abandon(onFatal));
    net = new LiveNet(c.name() + "-net", 1);
    WireSettings w = c.wire();
    int half = Math.max(8, (c.sockets() - OWN_DESCRIPTORS) / 2); // of the descriptors to clients, half to servers
    Duration idle = w.connectionIdle();
    Caps caps = new Caps(16 << 10, 64, Wire.LONGEST_BODY, 256 << 10, PIPELINED, idle, FIRST_REQ, FIRST_REQ, half);
    MemoryBudget budget = MemoryBudget.of(Runtime.getRuntime().maxMemory(), c.memoryBytes());
    HttpClient http = new HttpClient(loop, net, idle.multipliedBy(4).dividedBy(5), half, budget);
    Members members = new Members();
    // Streams that a kill would cut are ended ahead of it, where clients then ask another gateway for the rest: at the kill
    // itself that one may be stopping too.
    Duration killed = w.longestBudget().compareTo(KILLED) < 0 ? w.longestBudget() : KILLED;
    Duration stop = w.resumes() && killed.compareTo(AHEAD) > 0 ? killed.minus(AHEAD) : LONGEST_ANSWER;
    Terms terms = new Terms(c.name(), w.settings(), w.groups(), w.zones(), w.kinds(), w.releaseWithin(), LONGEST_ANSWER,
        STREAM_GAP, stop, half * 9 / 10, true);
    gateway = new Gateway(terms, loop, new PlatformClients(c.listen(), loop, net, caps, budget, w), new PlatformServers(http, loop, w),
        listener -> {
          // With a client of its own: what servers keep waiting must not keep the news of drains out.
          watch = new Watch(c.discovery(), new HttpClient(loop, net, idle, Integer.MAX_VALUE, budget), loop, w.connectWithin(), members, new ListSource.Listener() {
            @Override
            public void list(ServerList l) {
              told.countDown();
              listener.list(l);
            }

            @Override
            public void failed(String why) {
              listener.failed(why);
            }
          });
          return watch;
        }, null, null, budget, c.seed());
    ServerList known = members.list(c.known());
    try {
      startListening();
    } catch (IOException e) {
      net.close();
      loop.close();
      throw e;
    }
    remember(known);
  }

  /** Guards against a predecessor that still has the port: a start that gave up at once would be a gateway that is missing. */
  private void startListening() throws IOException, InterruptedException {
    Duration until = loop.now().plus(PORT_WITHIN);
    for (IOException failed = tryToListen(); failed != null; failed = tryToListen()) {
      if (!(failed instanceof BindException) || loop.now().compareTo(until) >= 0) {
        throw failed;
      }
      LOG.atWarn().addKeyValue("cause", "port_busy").addKeyValue("why", failed.getMessage()).log("the port is tried again");
      new CountDownLatch(1).await(PORT_AGAIN.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private IOException tryToListen() {
    IOException[] failed = new IOException[1];
    loop.call(() -> {
      try {
        gateway.start();
      } catch (IOException e) {
        failed[0] = e;
      }
    });
    return failed[0];
  }

  /**
   * Takes the list that the configuration holds, where discovery is silent. Guards against sends to what has drained since: what
   * discovery has counts as told from a process's first moment.
   */
  private void remember(ServerList known) throws InterruptedException {
    if (known != null && !told.await(Watch.FIRST.toMillis(), TimeUnit.MILLISECONDS)) {
      loop.call(() -> {
        if (told.getCount() > 0) {
          gateway.remember(new ServerList("", known.index(), true, known.servers()));
        }
      });
    }
  }

  /**
   * Starts a gateway from the text of its configuration.
   *
   * @throws IOException if its port can't be bound
   */
  public static PlatformNode start(byte[] config) throws Bad, IOException, InterruptedException {
    return start(config, () -> { });
  }

  /**
   * @param onFatal run when the loop has ended by an error and what was in hand has been answered as failed; it is to end the
   *     process, so that the supervisor starts it anew
   * @throws IOException if its port can't be bound
   */
  public static PlatformNode start(byte[] config, Runnable onFatal) throws Bad, IOException, InterruptedException {
    return new PlatformNode(PlatformConfig.parse(config), onFatal);
  }

  private void abandon(Runnable onFatal) {
    try {
      if (gateway != null) {
        gateway.abandon();
      }
    } finally {
      onFatal.run();
    }
  }

  LiveLoop loop() {
    return loop;
  }

  public InetSocketAddress address() {
    return gateway.address();
  }

  /**
   * Follows discovery where the new configuration says.
   *
   * @throws Bad if it can't be used; nothing is changed then
   */
  public void follow(byte[] config) throws Bad {
    PlatformConfig c = PlatformConfig.parse(config);
    loop.execute(() -> watch.move(c.discovery()));
  }

  /** Does the same; a configuration that can't be used is logged. */
  public void reload(byte[] config) {
    try {
      follow(config);
    } catch (Bad e) {
      LOG.atError().addKeyValue("why", e.getMessage()).log("the new configuration can't be used; the old one stays in force");
    }
  }

  /** Writes the counters and the last events to the log. */
  public void report() {
    loop.execute(gateway::report);
  }

  /** Lets the reqs in hand end, then runs what is given. */
  public void stop(Runnable then) {
    loop.execute(() -> gateway.stop(then));
  }

  /** Ends as a killed process would. */
  public void close() {
    loop.call(gateway::kill);
    loop.close();
    net.close();
  }
}
