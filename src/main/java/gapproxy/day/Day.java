package gapproxy.day;

import gapproxy.audit.Audit;
import gapproxy.audit.Traffic;
import gapproxy.http.HttpClient;
import gapproxy.list.ServerList;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.standin.ChatClient;
import gapproxy.standin.ChatClient.Request;
import gapproxy.standin.Engine;
import gapproxy.standin.Fleet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;

/**
 * Runs one day: the engines, the list service and the clients on a loop in this process, the gateways through a {@link GatewayLauncher},
 * and the faults at the times that the script gives.
 */
public final class Day {
  private static final Duration RELEASE_LIMIT = Duration.ofMillis(1000), DRAIN_GRACE = Duration.ofMillis(1000),
      KEY_WINDOW = Duration.ofSeconds(20), AUDIT_SLACK = Duration.ofMillis(400), DEADLINE = Duration.ofSeconds(4),
      RESPONSE_TARGET = Duration.ofMillis(1500);
  private static final int SESSIONS = 60, SHARED_PROMPTS = 4;

  /**
   * The result of a day.
   *
   * @param inTimeShare share of reqs whose first token arrived within the response target, all attempts of a client for one req counted
   *     as one
   * @param remoteReads number of completely answered reqs whose {@code x-gapproxy-path} says that the read was remote
   * @param localReads number of those whose {@code x-gapproxy-path} says that the read was local
   * @param stoppedCleanly whether every gateway shut down cleanly at the end of the day
   */
  public record Result(String name, long seed, double seconds, Audit.Report audit, double inTimeShare, double firstTokenP50Ms,
      double firstTokenP99Ms, long remoteReads, long localReads, boolean stoppedCleanly) {
    public boolean passed() {
      return audit.passed() && audit.taken() > 0 && stoppedCleanly;
    }
  }

  private final Script script;
  private final long seed;
  private final Duration length;
  private final boolean inProcess;
  private final SplittableRandom random;
  private final LiveLoop loop = new LiveLoop("day");
  private final Audit audit = new Audit(new Audit.Limits(DRAIN_GRACE, RELEASE_LIMIT, KEY_WINDOW, AUDIT_SLACK));
  private final List<GatewaySlot> gateways = new ArrayList<>();
  private final ExecutorService gatewayExecutor = Executors.newCachedThreadPool();
  private final Histogram firstTokens = new Histogram(TimeUnit.MINUTES.toMicros(2), 3);
  private Path dir;
  private Fleet fleet;
  private ChatClient clients;
  private double rateFactor = 1, hotKeyShare, heavyTailShare, heavyFactor = 1, retryAbuseShare;
  private long reqsSent, answeredInTime, openReqs, remoteReads, localReads;
  private boolean ended;

  /** A gateway by name; a crash and a restart during the day replace the process that runs for it. */
  private final class GatewaySlot {
    final String name;
    final int zone;
    GatewayLauncher.RunningGateway running;
    InetSocketAddress lastAddress;

    GatewaySlot(String name, int zone) {
      this.name = name;
      this.zone = zone;
    }
  }

  /**
   * Creates a day; {@link #run} runs it.
   *
   * @param seconds length of the day, or 0 for the length in the script
   * @param inProcess whether gateways run in this process instead of separate processes
   */
  public Day(Script script, long seed, double seconds, boolean inProcess) {
    this.script = script;
    this.seed = seed;
    this.inProcess = inProcess;
    length = Duration.ofMillis((long) (1000 * (seconds > 0 ? seconds : script.seconds())));
    random = new SplittableRandom(seed);
  }

  /**
   * Runs the day once and waits for its end.
   *
   * @throws IOException if something can't be started
   */
  public Result run() throws IOException {
    dir = Files.createTempDirectory("gapproxy-day");
    LiveNet net = new LiveNet("day-net", 2);
    boolean stopped = true;
    try {
      IOException[] failed = new IOException[1];
      loop.runAndWait(() -> {
        try {
          fleet = new Fleet(new Fleet.Size(script.zones(), script.cells(), script.readers(), script.writers(), 1), loop, net,
              audit, seed, "day" + seed);
        } catch (IOException e) {
          failed[0] = e;
        }
      });
      if (failed[0] != null) {
        throw failed[0];
      }
      clients = new ChatClient(loop, new HttpClient(loop, net, Duration.ofSeconds(5)), audit);
      GatewayLauncher launcher = inProcess ? new GatewayLauncher.InProcess() : new GatewayLauncher.SeparateProcesses(dir);
      for (int i = 0; i < script.gateways(); i++) {
        gateways.add(new GatewaySlot("g" + i, i % script.zones()));
      }
      for (GatewaySlot slot : gateways) {
        startGateway(launcher, slot);
      }
      CountDownLatch finished = new CountDownLatch(1);
      loop.execute(() -> schedule(launcher, finished));
      finished.await();
      for (GatewaySlot slot : gateways) {
        stopped &= slot.running == null || slot.running.stop();
        slot.running = null;
      }
      Audit.Report[] report = new Audit.Report[1];
      loop.runAndWait(() -> report[0] = audit.finish(loop.now()));
      return new Result(script.name(), seed, length.toMillis() / 1000.0, report[0], reqsSent == 0 ? 0 : (double) answeredInTime / reqsSent,
          firstTokens.getValueAtPercentile(50) / 1000.0, firstTokens.getValueAtPercentile(99) / 1000.0, remoteReads, localReads,
          stopped);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    } finally {
      gateways.stream().filter(slot -> slot.running != null).forEach(slot -> slot.running.kill());
      loop.runAndWait(() -> {
        if (fleet != null) {
          fleet.close();
        }
      });
      loop.close();
      net.close();
      gatewayExecutor.shutdownNow();
      try (Stream<Path> files = Files.walk(dir)) {
        files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
      }
    }
  }

  private String settings(GatewaySlot slot) {
    StringBuilder zones = new StringBuilder();
    for (int z = 0; z < script.zones(); z++) {
      zones.append(z == 0 ? "" : ", ").append("\"zone").append(z).append('"');
    }
    return """
        {"name": "%s", "listen": {"port": 0}, "zones": [%s], "zone": "zone%d", "gateways": %d, "state_dir": "%s",
         "groups": [
           {"name": "draft", "models": ["draft"], "importance": 3, "response_target_ms": %d, "deadline_ms": %d},
           {"name": "tweak", "models": ["tweak"], "repeat": "keyed", "window_ms": %d, "importance": 2,
            "response_target_ms": %d, "deadline_ms": %d},
           {"name": "order", "models": ["order"], "repeat": "non_replayable", "response_target_ms": %d,
            "deadline_ms": %d}],
         "kinds": [{"name": "reader", "role": "read", "memory_tokens": 250000},
                   {"name": "writer", "role": "write", "memory_tokens": 200000}],
         "rules": {"drain_grace_ms": %d, "release_within_ms": %d, "cold": {"least_capacity": 0.3, "warm_within_ms": 4000,
                   "tip_multiple": 4, "tip_span_ms": 1000}},
         "list": {"url": "http://127.0.0.1:%d/v1/servers", "wait_ms": 2000, "ask_within_ms": 800},
         "limits": {"stop_ms": 5000, "token_gap_ms": 3000}, "log": {"form": "json"}}
        """.formatted(slot.name, zones, slot.zone, script.gateways(), dir.toString().replace("\\", "/"),
        RESPONSE_TARGET.toMillis(), DEADLINE.toMillis(), KEY_WINDOW.toMillis(), RESPONSE_TARGET.toMillis(), DEADLINE.toMillis(),
        RESPONSE_TARGET.toMillis(), DEADLINE.toMillis(), DRAIN_GRACE.toMillis(), RELEASE_LIMIT.toMillis(),
        fleet.listService.address().getPort());
  }

  private void startGateway(GatewayLauncher launcher, GatewaySlot slot) throws IOException {
    loop.runAndWait(() -> audit.gateway(loop.now(), slot.name, true)); // the audit must know the gateway before its first event
    GatewayLauncher.RunningGateway running = launcher.start(slot.name, settings(slot));
    loop.runAndWait(() -> {
      slot.running = running;
      slot.lastAddress = running.address();
    });
  }

  private Duration partOfDay(double fraction) {
    return Duration.ofNanos((long) (length.toNanos() * fraction));
  }

  private void schedule(GatewayLauncher launcher, CountDownLatch finished) {
    Duration warm = Duration.ofMillis(500);                   // time for the first server list to arrive
    loop.after(warm, this::scheduleReqs);
    for (Script.Trouble trouble : script.troubles()) {
      loop.after(warm.plus(partOfDay(trouble.at())), () -> applyTrouble(launcher, trouble));
    }
    loop.after(warm.plus(length), () -> {
      ended = true;
      Duration latest = loop.now().plus(DEADLINE).plus(Duration.ofSeconds(20));
      awaitQuiet(finished, latest, null);
    });
  }

  /** Ends the day once no req is open and no engine holds a resource for longer than the audit's slack, or at the latest time given. */
  private void awaitQuiet(CountDownLatch finished, Duration latest, Duration quiet) {
    boolean busy = openReqs > 0 || fleet.engines().stream().anyMatch(e -> e.heldResourceCount() > 0);
    Duration since = busy ? null : quiet == null ? loop.now() : quiet;
    if (loop.now().compareTo(latest) >= 0 || since != null && loop.now().minus(since).compareTo(AUDIT_SLACK) > 0) {
      finished.countDown();
    } else {
      loop.after(Duration.ofMillis(20), () -> awaitQuiet(finished, latest, since));
    }
  }

  // ---- clients

  private void scheduleReqs() {
    if (ended) {
      return;
    }
    sendReq();
    double gap = -Math.log(1 - random.nextDouble()) / (script.rate() * rateFactor);
    loop.after(Duration.ofNanos((long) (gap * 1e9)), this::scheduleReqs);
  }

  private static String promptText(String first, int tokens) {
    StringBuilder b = new StringBuilder(first);
    for (int i = 0; i < tokens; i++) {
      b.append(" word").append(i % 10);
    }
    return b.toString();
  }

  private void sendReq() {
    long n = reqsSent++;
    openReqs++;
    double kind = random.nextDouble();
    boolean nonReplayable = kind < script.nonReplayable();
    boolean keyed = !nonReplayable && kind < script.nonReplayable() + script.keyed();
    boolean hot = random.nextDouble() < hotKeyShare;
    int session = random.nextInt(SESSIONS);
    int prompt = 10 + random.nextInt(400);
    if (random.nextDouble() < heavyTailShare) {
      prompt *= (int) heavyFactor;
    }
    boolean abuser = random.nextDouble() < retryAbuseShare;
    boolean hangsUp = !abuser && random.nextDouble() < script.hangUps();
    int answer = 10 + random.nextInt(50);
    boolean early = random.nextBoolean();
    Request request = new Request("r" + n, nonReplayable ? "order" : keyed ? "tweak" : "draft",
        nonReplayable ? "non_replayable" : keyed ? "keyed" : "replayable", random.nextInt(4) > 0,
        hot ? promptText("hot text", 1500) : promptText("shared text " + session % SHARED_PROMPTS, 300 + 150 * (session % SHARED_PROMPTS)),
        hot ? "hot" + n : "s" + session, promptText("session " + session + " asks", prompt), answer, DEADLINE,
        abuser ? Duration.ofMillis(100) : hangsUp && early ? Duration.ofMillis(5 + random.nextInt(300)) : null,
        hangsUp && !early ? 1 + random.nextInt(answer) : 0, abuser ? 3 : 2, !abuser);
    clients.send(request, this::target, outcome -> {
      openReqs--;
      boolean answered = outcome.answer() == Traffic.Answer.DONE && outcome.firstToken() != null;
      if (answered) {
        firstTokens.recordValue(Math.min(firstTokens.getHighestTrackableValue(), outcome.firstToken().toNanos() / 1000));
        remoteReads += "remote".equals(outcome.path()) ? 1 : 0;
        localReads += "local".equals(outcome.path()) ? 1 : 0;
      }
      answeredInTime += answered && outcome.firstToken().compareTo(RESPONSE_TARGET) <= 0 ? 1 : 0;
    });
  }

  /** Picks a random gateway, like a load balancer in front of the gateways; it may pick one that has just crashed. */
  private ChatClient.Target target() {
    GatewaySlot slot = gateways.get(random.nextInt(gateways.size()));
    return new ChatClient.Target(slot.name, slot.lastAddress);
  }

  // ---- faults

  private List<Engine> pickEngines(double share) {
    List<Engine> all = new ArrayList<>(fleet.engines());
    List<Engine> picked = new ArrayList<>();
    long n = Math.max(1, Math.round(share * all.size()));
    for (int i = 0; i < n; i++) {
      picked.add(all.remove(random.nextInt(all.size())));
    }
    return picked;
  }

  /** Applies a fault to a random share of the engines and reverts it after its duration. */
  private void applyToEngines(Script.Trouble trouble, Consumer<Engine> on, Consumer<Engine> off) {
    List<Engine> which = pickEngines(trouble.share());
    which.forEach(on);
    loop.after(partOfDay(trouble.lasts()), () -> which.forEach(off));
  }

  /** Applies a fault that is not tied to an engine and reverts it after its duration. */
  private void applyForSpan(Script.Trouble trouble, Runnable on, Runnable off) {
    on.run();
    loop.after(partOfDay(trouble.lasts()), off);
  }

  private void applyTrouble(GatewayLauncher launcher, Script.Trouble trouble) {
    Duration span = Duration.ofNanos((long) (trouble.factor() * 1e9));
    switch (trouble.kind()) {
      case "slow", "neighbour" -> applyToEngines(trouble, e -> e.faults.slowdownFactor = trouble.factor(),
          e -> e.faults.slowdownFactor = 1);
      case "fast_errors" -> applyToEngines(trouble, e -> e.faults.failShare = Math.min(1, trouble.factor()), e -> e.faults.failShare = 0);
      case "report_late" -> applyToEngines(trouble, e -> e.faults.reportDelay = span, e -> e.faults.reportDelay = Duration.ZERO);
      case "origin_slow" -> applyToEngines(trouble, e -> e.faults.transferSlowdownFactor = trouble.factor(),
          e -> e.faults.transferSlowdownFactor = 1);
      case "answer_lost" -> applyToEngines(trouble, e -> e.faults.dropsAnswers = true, e -> e.faults.dropsAnswers = false);
      case "silent" -> applyToEngines(trouble, e -> {
        e.faults.silent = true;
        audit.setUnreachable(loop.now(), e.spec.id(), true);
      }, e -> {
        e.faults.silent = false;
        audit.setUnreachable(loop.now(), e.spec.id(), false);
      });
      case "handshake_slow" -> applyToEngines(trouble, e -> e.faults.firstRequestDelay = span,
          e -> e.faults.firstRequestDelay = Duration.ZERO);
      case "flush" -> pickEngines(trouble.share()).forEach(Engine::clearPrefixCache);
      case "burst" -> applyForSpan(trouble, () -> rateFactor = trouble.factor(), () -> rateFactor = 1);
      case "hot_key" -> applyForSpan(trouble, () -> hotKeyShare = trouble.share(), () -> hotKeyShare = 0);
      case "heavy_tail" -> applyForSpan(trouble, () -> {
        heavyTailShare = trouble.share();
        heavyFactor = trouble.factor();
      }, () -> heavyTailShare = 0);
      case "retry_abuse" -> applyForSpan(trouble, () -> retryAbuseShare = trouble.share(), () -> retryAbuseShare = 0);
      case "list_late" -> applyForSpan(trouble, () -> fleet.listService.delay = span, () -> fleet.listService.delay = Duration.ZERO);
      case "list_failing" -> applyForSpan(trouble, () -> fleet.listService.failing = true, () -> fleet.listService.failing = false);
      case "zone_loss" -> fleet.engines().stream().filter(e -> e.spec.zone().equals("zone0"))
          .forEach(e -> fleet.restart(e, partOfDay(trouble.lasts())));
      case "mass_restart" -> fleet.engines().stream().filter(e -> e.spec.role().equals("write"))
          .forEach(e -> fleet.restart(e, partOfDay(trouble.lasts())));
      case "zone_cut" -> fleet.engines().forEach(e -> {
        Set<String> cut = Set.copyOf(gateways.stream().filter(slot -> !e.spec.zone().equals("zone" + slot.zone))
            .map(slot -> slot.name).toList());
        e.faults.unreachableGateways = cut;
        audit.setUnreachable(loop.now(), e.spec.id(), true);
        loop.after(partOfDay(trouble.lasts()), () -> {
          e.faults.unreachableGateways = Set.of();
          audit.setUnreachable(loop.now(), e.spec.id(), false);
        });
      });
      case "drain" -> {
        List<Engine> which = pickEngines(trouble.share());
        which.forEach(e -> fleet.publishState(e, ServerList.State.DRAINING));
        loop.after(partOfDay(trouble.lasts()), () -> which.forEach(e -> fleet.publishState(e, ServerList.State.READY)));
      }
      case "balancer_crash" -> {
        long n = Math.max(1, Math.round(trouble.share() * gateways.size()));
        gateways.stream().filter(slot -> slot.running != null).limit(n).toList()
            .forEach(slot -> crash(launcher, slot, partOfDay(trouble.lasts())));
      }
      default -> throw new IllegalStateException("unknown kind of fault: " + trouble.kind());
    }
  }

  private void crash(GatewayLauncher launcher, GatewaySlot slot, Duration down) {
    GatewayLauncher.RunningGateway crashed = slot.running;
    slot.running = null;
    audit.gateway(loop.now(), slot.name, false);
    gatewayExecutor.execute(crashed::kill);
    loop.after(down, () -> {
      if (!ended) {
        gatewayExecutor.execute(() -> {
          try {
            startGateway(launcher, slot);
          } catch (IOException e) {
            org.slf4j.LoggerFactory.getLogger(Day.class).error("failed to restart gateway {}", slot.name, e);
          }
        });
      }
    });
  }
}
