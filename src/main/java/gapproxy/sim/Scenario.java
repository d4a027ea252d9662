package gapproxy.sim;

import gapproxy.audit.Audit;
import gapproxy.audit.Traffic;
import gapproxy.config.Config;
import gapproxy.config.ConfigException;
import gapproxy.config.ConfigReader;
import gapproxy.http.HttpClient;
import gapproxy.list.ServerList;
import gapproxy.runtime.Loop;
import gapproxy.standin.ChatClient;
import gapproxy.standin.ChatClient.Request;
import gapproxy.standin.Engine;
import gapproxy.standin.Fleet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

/**
 * Runs a plan in any environment: gateways, engines, the list service and clients, with faults at their times. The rules are checked
 * against the traffic as it happens, and at the end no req, held resource, timer or connection may be left over. Runs on the environment's
 * loop.
 */
public final class Scenario {
  private static final Duration TIME_BUDGET = Duration.ofSeconds(3), AUDIT_SLACK = Duration.ofMillis(60),
      DRAIN_GRACE = Duration.ofMillis(500), RELEASE_LIMIT = Duration.ofSeconds(1), FAULT_PHASE = Duration.ofSeconds(5),
      RECOVERY_PHASE = Duration.ofSeconds(12), KEY_WINDOW = Duration.ofSeconds(10);
  // Connection pools keep as many connections as were once used at the same time.
  private static final int MAX_CONNECTIONS = 120;
  private static final Duration RETRY_BURST = Duration.ofSeconds(2);
  // A fault "engine dies" with a larger amount restarts all engines of the role together.
  private static final double WHOLE_ROLE_THRESHOLD = 0.7;
  // The decision alarm, the list poll and a few timers that end soon.
  private static final int MAX_TIMERS = 8;
  private static final Map<String, Config> CONFIGS = new ConcurrentHashMap<>();

  /** A gateway by name; its process may be killed and started again. */
  private final class GatewaySlot {
    final String name;
    final int number;
    InetSocketAddress address;
    Environment.RunningGateway gateway;

    GatewaySlot(int number) {
      this.number = number;
      name = "g" + number;
      address = new InetSocketAddress("127.0.0.1", environment.port(number));
    }
  }

  private final Plan plan;
  private final SplittableRandom random;
  private final Environment environment;
  private final Loop loop;
  private final Audit audit = new Audit(new Audit.Limits(DRAIN_GRACE, RELEASE_LIMIT, KEY_WINDOW, AUDIT_SLACK));
  private final List<GatewaySlot> slots = new ArrayList<>();
  private final Map<String, Integer> faultCounts = new TreeMap<>();
  private final List<String> failures = new ArrayList<>();
  // Null if no timeline is kept.
  private final Timeline timeline;
  private final Traffic traffic;
  private Fleet fleet;
  private ChatClient clients;
  // Faults whose time has come, but that wait for a req in a given stage.
  private final List<Plan.Fault> waitingFaults = new ArrayList<>();
  private final Map<String, Long> coverage = new TreeMap<>();
  // The answers of each req, by its client's id.
  private final Map<String, String> answers = new TreeMap<>();
  private int sentReqs, openReqs, doneAfterRecovery, immediateRetryFaults, hangUpFaults;
  private double rate;
  private boolean ended;

  /**
   * @param random draws the traffic
   * @param withTimeline whether a timeline is kept
   * @param trafficWrapper wraps the listener to the traffic, to add another one
   */
  Scenario(Plan plan, Environment environment, SplittableRandom random, boolean withTimeline, UnaryOperator<Traffic> trafficWrapper) {
    this.plan = plan;
    this.environment = environment;
    this.random = random;
    loop = environment.loop();
    timeline = withTimeline ? new Timeline(loop::now) : null;
    traffic = trafficWrapper.apply(withTimeline ? timeline.wrap(audit) : audit);
  }

  /**
   * A scenario in an environment other than the simulation; its traffic is drawn in the same way.
   *
   * @throws IllegalArgumentException if the environment does not support a fault of the plan, or if a fault waits for a stage
   */
  public static Scenario create(Environment environment, Plan plan) {
    for (Plan.Fault fault : plan.faults()) {
      if (!environment.supports(fault.kind()) || !fault.when().isEmpty()) {
        throw new IllegalArgumentException("the fault \"" + fault.kind()
            + "\" can't be played here" + (fault.when().isEmpty() ? "" : " at a stage"));
      }
    }
    return new Scenario(plan, environment, new SplittableRandom(plan.seed()).split(), false, UnaryOperator.identity());
  }

  private void note(String at, String what) {
    if (timeline != null) {
      timeline.note(at, what);
    }
  }

  /** To be called after each step: injects faults whose stage is reached. Returns whether the run goes on. */
  boolean afterStep() {
    if (!waitingFaults.isEmpty()) {
      injectWaitingFaults();
    }
    return audit.violationCount() == 0 && !ended;
  }

  /** Whether the run has ended: all reqs are answered and nothing is held any longer. */
  public boolean ended() {
    return ended;
  }

  /**
   * The result up to now.
   *
   * @param steps number of steps executed, for the result
   * @param bytes number of bytes delivered by the network, for the result
   * @param traceChecksum checksum of the network traffic, for the result
   */
  public Simulation.Verdict verdict(long steps, long bytes, long traceChecksum) {
    audit.finish(loop.now()).violations().forEach(b -> failures.add("rule " + b.rule() + ": " + b.description()));
    if (failures.isEmpty()) {
      checkFinalState();
    }
    Audit.Report report = audit.finish(loop.now());
    return new Simulation.Verdict(plan.seed(), List.copyOf(failures), steps, loop.now(), report.taken(), report.ends(), answers,
        faultCounts, coverage, bytes, traceChecksum, timeline == null ? List.of() : timeline.steps());
  }

  /** Adds a failure for everything that is left over at the end. */
  private void checkFinalState() {
    if (!ended) {
      failures.add("liveness: " + openReqs + " reqs have no end, " + heldResources() + " states are held, " + audit.openForwardCount()
          + " forwards are out, lists current: " + slots.stream().filter(s -> s.gateway != null)
              .map(s -> s.name + " " + fleet.listService.isUpToDate(s.name)).toList());
    }
    for (GatewaySlot s : slots) {
      if (s.gateway != null && s.gateway.openReqs() > 0) {
        failures.add("leak: " + s.name + " has " + s.gateway.openReqs() + " reqs in hand at the end");
      }
      if (s.gateway != null && s.gateway.timers() > MAX_TIMERS) {
        failures.add("leak: " + s.name + " has " + s.gateway.timers() + " timers at the end");
      }
      if (s.gateway != null && s.gateway.connections() > MAX_CONNECTIONS) {
        failures.add("leak: " + s.name + " has " + s.gateway.connections() + " connections at the end");
      }
      if (s.gateway != null && s.gateway.internalFaults() > 0) {
        failures.add("safety net: " + s.name + " aborted reqs or lost forwards, " + s.gateway.internalFaults() + " in all");
      }
    }
    if (doneAfterRecovery == 0) {
      failures.add("liveness: no req was served after the last fault");
    }
  }

  private int heldResources() {
    return fleet.engines().stream().mapToInt(Engine::heldResourceCount).sum();
  }

  // ---- set-up

  /** Starts engines, clients and gateways, and schedules the reqs and faults. */
  public void start() throws IOException {
    rate = plan.rate();
    fleet = new Fleet(new Fleet.Size(plan.zones(), 1, plan.readers(), plan.writers(), plan.pace()), loop, environment.net("world"), traffic,
        random.nextLong(), "sim");
    clients = new ChatClient(loop, new HttpClient(loop, environment.net("clients"), Duration.ofSeconds(5)), traffic);
    for (int i = 0; i < plan.gateways(); i++) {
      GatewaySlot slot = new GatewaySlot(i);
      slots.add(slot);
      startGateway(slot);
    }
    Duration first = Duration.ofMillis(300);
    loop.after(first.minus(loop.now()), () -> scheduleReq(first));
    for (Plan.Fault fault : plan.faults()) {
      loop.after(Duration.ofMillis(fault.at()), () -> {
        if (fault.when().isEmpty()) {
          inject(fault);
        } else {
          waitingFaults.add(fault);
        }
      });
    }
    loop.after(FAULT_PHASE.plus(RECOVERY_PHASE), this::checkSettled);
  }

  /** Ends the run once nothing is open or held and all gateways have the current list; polls until then. */
  private void checkSettled() {
    boolean busy = openReqs > 0 || heldResources() > 0
        || slots.stream().anyMatch(s -> s.gateway != null && s.gateway.openReqs() > 0);
    if (!busy && audit.openForwardCount() == 0 && slots.stream().allMatch(s -> s.gateway == null || fleet.listService.isUpToDate(s.name))) {
      ended = true;
    } else {
      loop.after(Duration.ofMillis(50), this::checkSettled);
    }
  }

  private void startGateway(GatewaySlot slot) throws IOException {
    traffic.gateway(loop.now(), slot.name, true);
    int zone = slot.number % plan.zones();
    Config config = CONFIGS.computeIfAbsent(slot.name + "/" + plan.zones() + "/" + plan.gateways() + "/" + environment.stateDir()
            + "/" + plan.holds() + plan.scope() + "/" + fleet.listService.address().getPort(),
        k -> config(slot, zone, plan.zones(), plan.gateways()));
    slot.gateway = environment.start(config, random.nextLong(), (stage, event) -> coverage.merge(stage + " / " + event, 1L, Long::sum));
    slot.address = slot.gateway.address();
  }

  private Config config(GatewaySlot slot, int zone, int zones, int gateways) {
    String text = """
        {"name": "%s", "listen": {"port": %d}, "zones": [%s], "zone": "zone%d", "gateways": %d, "state_dir": "%s",
         "groups": [{"name": "draft", "models": ["draft"], "importance": 3, "response_target_ms": 1500, "deadline_ms": 3000},
           {"name": "tweak", "models": ["tweak"], "repeat": "keyed", "scope": "%s", "window_ms": 10000, "deadline_ms": 3000},
           {"name": "order", "models": ["order"], "repeat": "non_replayable", "deadline_ms": 3000}],
         "kinds": [{"name": "reader", "role": "read", "memory_tokens": 250000},
                   {"name": "writer", "role": "write", "memory_tokens": 200000}],
         "hold_ahead": %s, "rules": {"drain_grace_ms": 500, "release_within_ms": 1000, \
        "cold": {"least_capacity": 0.3, "warm_within_ms": 4000,
                   "tip_multiple": 4, "tip_span_ms": 1000}},
         "list": {"url": "http://127.0.0.1:%d/v1/servers", "wait_ms": 1000, "ask_within_ms": 800},
         "limits": {"token_gap_ms": 2000}}
        """.formatted(slot.name, environment.port(slot.number), zones == 1 ? "\"zone0\"" : "\"zone0\", \"zone1\"", zone, gateways,
        environment.stateDir().toString().replace("\\", "/"),
        plan.scope(), plan.holds(), fleet.listService.address().getPort());
    try {
      return ConfigReader.parse(text, slot.name);
    } catch (ConfigException e) {
      throw new IllegalStateException(e);
    }
  }

  // ---- clients

  /** Sends a req and schedules the next one, relative to when this one was due, so that a late timer does not delay all that follow. */
  private void scheduleReq(Duration due) {
    Duration lastPhaseStart = FAULT_PHASE.plus(RECOVERY_PHASE).minus(TIME_BUDGET);
    boolean afterRecovery = due.compareTo(lastPhaseStart) > 0;
    if (due.compareTo(FAULT_PHASE.plus(RECOVERY_PHASE)) > 0) {
      return;
    }
    sendRandomReq(afterRecovery);
    // Few reqs during recovery, since they would test nothing new.
    boolean recovering = due.compareTo(FAULT_PHASE) > 0 && !afterRecovery;
    Duration gap = Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / (recovering ? 1 : rate) * 1e9));
    Duration untilLastPhase = lastPhaseStart.minus(due).plusMillis(1);
    Duration next = due.plus(recovering && gap.compareTo(untilLastPhase) > 0 ? untilLastPhase : gap);
    loop.after(next.minus(loop.now()), () -> scheduleReq(next));
  }

  private void sendRandomReq(boolean afterRecovery) {
    int kind = random.nextInt(10);
    String repeat = kind < 2 ? "non_replayable" : kind < 4 ? "keyed" : "replayable";
    int words = random.nextInt(4) == 0 ? 800 : 10 + random.nextInt(60);
    boolean hangsUp = !afterRecovery && random.nextInt(hangUpFaults > 0 ? 2 : 6) == 0;
    Request ask = new Request("r" + sentReqs++, kind < 2 ? "order" : kind < 4 ? "tweak" : "draft", repeat, random.nextInt(4) > 0,
        random.nextInt(3) == 0 ? "" : "shared words", "s" + random.nextInt(8), "ask " + "word ".repeat(words),
        1 + (random.nextInt(8) == 0 ? random.nextInt(90) : random.nextInt(6)), TIME_BUDGET,
        hangsUp ? Duration.ofMillis(random.nextInt(200)) : null, hangsUp ? 1 + random.nextInt(4) : 0,
        afterRecovery ? 3 : immediateRetryFaults > 0 ? 4 : 1,
        random.nextBoolean() && immediateRetryFaults == 0);
    boolean comesBack = hangsUp && repeat.equals("keyed") && random.nextBoolean();
    Duration returnDelay = Duration.ofMillis(random.nextBoolean() ? 50 + random.nextInt(2000) : KEY_WINDOW.toMillis() + 500);
    GatewaySlot slot = slots.get(random.nextInt(slots.size()));
    send(ask, slot, afterRecovery, comesBack ? returnDelay : null);
  }

  /**
   * Sends a req to a gateway and counts its outcome.
   *
   * @param returnDelay time after which a client that disconnected sends the req again under the same id and key, or null for never
   */
  private void send(Request ask, GatewaySlot slot, boolean afterRecovery, Duration returnDelay) {
    openReqs++;
    clients.send(ask, () -> new ChatClient.Target(slot.name, slot.address), outcome -> {
      openReqs--;
      answers.merge(ask.req(), outcome.answer() == null ? "left" : outcome.answer().name(), (x, y) -> x + ", " + y);
      if (returnDelay != null && outcome.answer() == null) {
        Request again = new Request(ask.req(), ask.model(), ask.repeat(), ask.stream(), ask.system(), ask.session(), ask.text(),
            ask.answerTokens(), ask.budget(), null, 0, 0, true);
        loop.after(returnDelay, () -> send(again, slot, false, null));
      }
      doneAfterRecovery += afterRecovery && outcome.answer() == Traffic.Answer.DONE ? 1 : 0;
      note(Timeline.CLIENTS, ask.req() + " (" + ask.repeat() + ", " + slot.name + "): "
          + (outcome.answer() == null ? "left" : outcome.answer()) + ", tries " + outcome.attempts());
    });
  }

  // ---- faults

  /** The stages of all open reqs. */
  private Set<String> stages() {
    Set<String> all = new TreeSet<>();
    slots.stream().filter(s -> s.gateway != null).forEach(s -> all.addAll(s.gateway.stages()));
    return all;
  }

  private void injectWaitingFaults() {
    Set<String> now = stages();
    for (Plan.Fault fault : List.copyOf(waitingFaults)) {
      if (now.contains(fault.when()) || loop.now().compareTo(FAULT_PHASE) > 0) {
        waitingFaults.remove(fault);
        inject(fault);
      }
    }
  }

  private void inject(Plan.Fault fault) {
    String kind = fault.kind();
    Duration lasts = Duration.ofMillis(fault.lasts());
    faultCounts.merge(kind, 1, Integer::sum);
    List<Engine> all = List.copyOf(fleet.engines());
    Engine engine = all.get(fault.which() % all.size());
    GatewaySlot slot = slots.get(fault.which() % slots.size());
    stages().forEach(s -> coverage.merge(s + " / " + kind, 1L, Long::sum));
    note(Timeline.FAULTS, kind + " for " + lasts.toMillis() + " ms (engine " + engine.spec.id() + ", " + slot.name + ")");
    switch (kind) {
      case "engine dies" -> {
        fleet.restart(engine, lasts);
        // The clients that waited retry at once, at cold servers.
        if (fault.amount() > WHOLE_ROLE_THRESHOLD) {
          all.stream().filter(x -> x != engine && x.spec.role().equals(engine.spec.role())).forEach(x -> fleet.restart(x, lasts));
          rate *= 4;
          loop.after(lasts.plus(RETRY_BURST), () -> rate /= 4);
        }
      }
      case "engine silent" -> {
        engine.faults.silent = true;
        audit.setUnreachable(loop.now(), engine.spec.id(), true);
      }
      case "engine slow" -> engine.faults.slowdownFactor = 2 + 20 * fault.amount();
      case "engine fails" -> engine.faults.failShare = 0.2 + 0.8 * fault.amount();
      case "answers lost" -> engine.faults.dropsAnswers = true;
      case "resets" -> engine.faults.resetShare = fault.amount();
      case "slow handshake" -> engine.faults.firstRequestDelay = Duration.ofMillis((long) (800 * fault.amount()));
      case "engine drains" -> fleet.publishState(engine, ServerList.State.DRAINING);
      case "texts forgotten" -> engine.clearPrefixCache();
      case "states lost" -> engine.dropHeldResources();
      case "engine full" -> engine.faults.rejectsAll = true;
      case "transfers fail" -> all.forEach(x -> x.faults.cannotFetchStates = true);
      case "engine replaced" -> fleet.replace(engine);
      case "site cut" -> fleet.engines().stream().filter(x -> x.spec.zone().equals("zone0")).forEach(x -> {
        x.faults.unreachableGateways = java.util.Set.copyOf(slots.stream().filter(s -> plan.zones() == 1 || !s.name.equals("g0"))
            .map(s -> s.name).toList());
        audit.setUnreachable(loop.now(), x.spec.id(), true);
      });
      case "list late" -> fleet.listService.delay = Duration.ofMillis((long) (3000 * fault.amount()));
      case "list fails" -> fleet.listService.failing = true;
      case "gateway dies" -> killGateway(slot, lasts);
      case "gateway stands still" -> {
        // The gateway sees a client's disconnect during the pause at the same instant as other events.
        hangUpFaults++;
        if (slot.gateway != null) {
          slot.gateway.pause(lasts);
          audit.allowDelay(slot.name, lasts);
        }
      }
      case "slow network", "narrow network" -> environment.setNetworkFault(fault, slot.name, null, true);
      case "burst" -> rate *= 4;
      case "one-way cut" -> {
        environment.setNetworkFault(fault, slot.name, null, true);
        // The gateway is not blamed for what it can't receive or send.
        audit.allowDelay(slot.name, lasts);
        all.forEach(x -> audit.setUnreachable(loop.now(), x.spec.id(), true));
      }
      case "connects hang" -> {
        environment.setNetworkFault(fault, slot.name, engine.address(), true);
        audit.setUnreachable(loop.now(), engine.spec.id(), true);
      }
      case "clock jumps" -> {
        if (slot.gateway != null) {
          slot.gateway.adjustWallClock(Duration.ofMillis((long) (10_000 * (fault.amount() - 0.5))));
        }
      }
      case "reports late" -> all.forEach(x -> x.faults.reportDelay = Duration.ofMillis((long) (3000 * fault.amount())));
      case "reports wrong" -> engine.faults.reportFault = 1 + (int) (2.99 * fault.amount());
      case "list lost" -> fleet.listService.dropsAnswers = true;
      case "list old" -> fleet.listService.servesPrevious = true;
      case "drains in waves" -> {
        for (int i = 0; i < all.size(); i++) {
          Engine x = all.get(i);
          loop.after(lasts.multipliedBy(i).dividedBy(all.size()), () -> fleet.publishState(x, ServerList.State.DRAINING));
          loop.after(lasts.multipliedBy(i + 1).dividedBy(all.size()), () -> fleet.publishState(x, ServerList.State.READY));
        }
      }
      case "torn list" -> {
        environment.truncateFiles(fault.amount());
        killGateway(slot, lasts);
      }
      case "retries at once" -> immediateRetryFaults++;
      case "hang-ups" -> hangUpFaults++;
      case "memory full" -> all.stream().filter(x -> x.spec.role().equals(engine.spec.role()))
          .forEach(x -> x.faults.memoryTakenShare = 0.99 + 0.01 * fault.amount());
      default -> throw new IllegalStateException(kind);
    }
    loop.after(lasts, () -> endFault(fault, engine, slot));
  }

  private void endFault(Plan.Fault fault, Engine engine, GatewaySlot slot) {
    switch (fault.kind()) {
      case "engine silent" -> {
        engine.faults.silent = false;
        audit.setUnreachable(loop.now(), engine.spec.id(), false);
      }
      case "engine slow" -> engine.faults.slowdownFactor = 1;
      case "engine full" -> engine.faults.rejectsAll = false;
      case "transfers fail" -> fleet.engines().forEach(x -> x.faults.cannotFetchStates = false);
      case "engine fails" -> engine.faults.failShare = 0;
      case "answers lost" -> engine.faults.dropsAnswers = false;
      case "resets" -> engine.faults.resetShare = 0;
      case "slow handshake" -> engine.faults.firstRequestDelay = Duration.ZERO;
      case "engine drains" -> fleet.publishState(engine, ServerList.State.READY);
      case "site cut" -> fleet.engines().forEach(x -> {
        x.faults.unreachableGateways = java.util.Set.of();
        audit.setUnreachable(loop.now(), x.spec.id(), x.faults.silent);
      });
      case "list late" -> fleet.listService.delay = Duration.ZERO;
      case "list fails" -> fleet.listService.failing = false;
      case "slow network", "narrow network" -> environment.setNetworkFault(fault, slot.name, null, false);
      case "burst" -> rate /= 4;
      case "one-way cut" -> {
        environment.setNetworkFault(fault, slot.name, null, false);
        fleet.engines().forEach(x -> audit.setUnreachable(loop.now(), x.spec.id(),
            x.faults.silent || !x.faults.unreachableGateways.isEmpty()));
      }
      case "connects hang" -> {
        environment.setNetworkFault(fault, slot.name, engine.address(), false);
        audit.setUnreachable(loop.now(), engine.spec.id(), engine.faults.silent);
      }
      case "reports late" -> fleet.engines().forEach(x -> x.faults.reportDelay = Duration.ZERO);
      case "reports wrong" -> engine.faults.reportFault = 0;
      case "list lost" -> fleet.listService.dropsAnswers = false;
      case "list old" -> fleet.listService.servesPrevious = false;
      case "retries at once" -> immediateRetryFaults--;
      case "hang-ups", "gateway stands still" -> hangUpFaults--;
      case "memory full" -> fleet.engines().forEach(x -> x.faults.memoryTakenShare = 0);
      default -> { }
    }
  }

  private void killGateway(GatewaySlot slot, Duration lasts) {
    if (slot.gateway == null) {
      return;
    }
    traffic.gateway(loop.now(), slot.name, false);
    slot.gateway.kill();
    slot.gateway = null;
    loop.after(lasts, () -> {
      try {
        startGateway(slot);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    });
  }

  /** Kills the gateways and closes the engines and the list service. */
  public void close() {
    slots.stream().filter(s -> s.gateway != null).forEach(s -> s.gateway.kill());
    fleet.close();
  }
}
