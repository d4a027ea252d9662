package gapproxy.day;

import gapproxy.config.Config;
import gapproxy.daemon.Node;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import gapproxy.sim.Environment;
import gapproxy.sim.Plan;
import gapproxy.sim.Scenario;
import gapproxy.sim.Simulation;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/** Replays a simulation plan over sockets in real time, to compare the outcome of each req with the simulation. */
public final class SocketReplay implements Environment, AutoCloseable {
  /** Faults that can be injected only into a simulated network, clock, disk or process. */
  private static final Set<String> UNSUPPORTED_FAULTS = Set.of("gateway stands still", "clock jumps", "torn list", "slow network",
      "narrow network", "connects hang", "one-way cut");
  private static final Duration TIME_LIMIT = Duration.ofSeconds(60), POLL_INTERVAL = Duration.ofMillis(50);

  /**
   * Outcomes of one plan, simulated and over sockets.
   *
   * @param leftOnOneSide reqs whose client, in one of the two runs only, hung up just before the answer was complete: no answer is due to
   *     them
   * @param differences reqs with different outcomes, each with both outcomes
   */
  public record Comparison(int reqs, int leftOnOneSide, List<String> differences) {}

  private final LiveLoop loop = new LiveLoop("sockets");
  private final LiveNet net;
  private final Path dir;

  private SocketReplay(Path dir) throws IOException {
    this.dir = dir;
    net = new LiveNet("sockets-net", 2);
  }

  /**
   * Runs a plan in virtual time and over sockets.
   *
   * @param dir directory for the state files of the gateways
   * @throws IllegalArgumentException if the plan contains a fault that can only be simulated
   */
  public static Comparison compare(Plan plan, Path dir) throws IOException {
    Map<String, String> simulated = new Simulation(plan, false).run().answers();
    try (SocketReplay ground = new SocketReplay(dir)) {
      Map<String, String> live = ground.replay(plan);
      TreeMap<String, String> all = new TreeMap<>(simulated);
      live.forEach(all::putIfAbsent);
      List<String> differ = new ArrayList<>();
      int left = 0;
      for (String r : all.keySet()) {
        String a = simulated.getOrDefault(r, "not asked");
        String b = live.getOrDefault(r, "not asked");
        if (!a.equals(b) && (a.equals("left") || b.equals("left"))) {
          left++;
        } else if (!a.equals(b)) {
          differ.add(r + ": simulated " + a + ", over sockets " + b);
        }
      }
      return new Comparison(all.size(), left, differ);
    }
  }

  private Map<String, String> replay(Plan plan) throws IOException {
    Scenario scene = Scenario.create(this, plan);
    IOException[] failed = new IOException[1];
    CountDownLatch finished = new CountDownLatch(1);
    loop.runAndWait(() -> {
      try {
        scene.start();
        pollUntilEnded(scene, finished);
      } catch (IOException e) {
        failed[0] = e;
      }
    });
    if (failed[0] != null) {
      throw failed[0];
    }
    try {
      finished.await(TIME_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    List<Simulation.Verdict> verdict = new ArrayList<>();
    loop.runAndWait(() -> {
      verdict.add(scene.verdict(0, 0, 0));
      scene.close();
    });
    return verdict.get(0).answers();
  }

  private void pollUntilEnded(Scenario scene, CountDownLatch finished) {
    if (scene.ended()) {
      finished.countDown();
    } else {
      loop.after(POLL_INTERVAL, () -> pollUntilEnded(scene, finished));
    }
  }

  @Override
  public Loop loop() {
    return loop;
  }

  @Override
  public Net net(String process) {
    return net;
  }

  @Override
  public int port(int gateway) {
    return 0;
  }

  @Override
  public boolean supports(String kind) {
    return !UNSUPPORTED_FAULTS.contains(kind);
  }

  @Override
  public Path stateDir() {
    return dir;
  }

  @Override
  public RunningGateway start(Config config, long seed, BiConsumer<String, String> watcher) throws IOException {
    Node node = Node.start(config, seed);
    return new RunningGateway() {
      @Override
      public InetSocketAddress address() {
        return node.address();
      }

      @Override
      public int openReqs() {
        return node.openReqCount();
      }

      @Override
      public long internalFaults() {
        return node.internalFaults();
      }

      @Override
      public int timers() {
        return 0;
      }

      @Override
      public int connections() {
        return 0;
      }

      @Override
      public Set<String> stages() {
        return Set.of();
      }

      @Override
      public void pause(Duration span) {
        throw new UnsupportedOperationException();
      }

      @Override
      public void adjustWallClock(Duration by) {
        throw new UnsupportedOperationException();
      }

      @Override
      public void kill() {
        node.close();
      }
    };
  }

  @Override
  public void setNetworkFault(Plan.Fault f, String gateway, InetSocketAddress engine, boolean on) {
    throw new UnsupportedOperationException(f.kind());
  }

  @Override
  public void truncateFiles(double part) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void close() {
    loop.close();
    net.close();
  }
}
