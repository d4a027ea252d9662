package gapproxy.soak;

import gapproxy.audit.Audit;
import gapproxy.http.HttpClient;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.soak.FaultProxy.Hop;
import gapproxy.soak.FaultProxy.Mode;
import gapproxy.soak.SoakPlan.Kind;
import gapproxy.soak.SoakPlan.Trouble;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.stream.Stream;

/**
 * Runs one {@link SoakPlan}: starts the gateway processes, clients, model servers and fault proxy, injects the plan's faults and
 * collects the result. Clients, model servers and the judge belong to one event loop; calls that block run on an executor.
 */
public final class Soak implements AutoCloseable {
  private static final Duration SLACK = Duration.ofMillis(400), DRAIN_GRACE = Duration.ofSeconds(2);
  private static final Duration DISCOVERY_TIMEOUT = Duration.ofSeconds(6), RELOAD_TIMEOUT = Duration.ofSeconds(4),
      OLD_DISCOVERY_OPEN = Duration.ofMillis(1500);
  private static final Duration STOP_NOTICE_DELAY = Duration.ofMillis(300), RECOVERY_TIME = Duration.ofSeconds(1);
  // for an event that is written slowly, and the rest of its stream
  private static final double EARLY_DECLINE_SHARE = 0.7;
  private static final Duration ODD_STREAM_TIME = Duration.ofSeconds(12);
  private static final Duration SETTLE_TIME = Duration.ofMillis(2700), REFUSAL_DELAY = Duration.ofMillis(700);
  private static final Duration SINGLE_SILENCE_INTERVAL = Duration.ofMillis(150), MAX_HARNESS_DELAY = Duration.ofMillis(300);
  private static final double SILENCED_SHARE = 0.8, SINGLE_SILENCE_SHARE = 0.08, ROLE_SILENCE_SHARE = 0.8;
  private static final int SOCKETS = 512, LONG_BODY_CLIENTS = 150;
  private static final long PROCESS_POLL_INTERVAL_MS = 50, IDLE_TIMEOUT_MS = 3000;
  private static final int ROLE_SILENCES = 3, IDLE_CONNECTIONS = 300, SIGNAL_SERIES = 4;
  private static final long SIGNAL_INTERVAL_MS = 60;
  private static final int HELD_RESOURCE_RULE = 5;
  private static final String HELD_TOO_LONG = "rule=\"HELD_TOO_LONG\"";
  private static final Duration INITIAL_LIST_DELAY = Duration.ofSeconds(1);
  private static final long INCOMPLETE_REQUEST_TIMEOUT_MS = 3000, SUSPENSION_MS = 150, SUSPENSION_INTERVAL_MS = 400;
  private static final int MAX_EXTRA_DESCRIPTORS = 60, MAX_EXTRA_THREADS = 10;
  private static final double RATE_PER_GATEWAY = 3, WEAK_START_RATE = 0.001;

  /**
   * The result of a run.
   *
   * @param violations everything that the traffic and the processes show to be wrong
   * @param reportedByGateways log lines in which gateways report a broken rule or an error
   * @param unconfirmedReleases log lines that report a held resource whose release was not acknowledged in time, although the
   *     traffic shows that it was released
   * @param requests number of reqs that were sent
   * @param outcomes number of reqs by the way in which they ended for the client, as text
   * @param injectedFaults bytes and connections that faults affected
   * @param shimFaults system calls and clock readings that the shim changed
   * @param latenessMs the longest delay that the harness itself caused
   * @param killedWhileStopping gateways that had not finished stopping when they were killed
   * @param harnessFault why the run says nothing about the gateways, or null
   */
  public record Result(SoakPlan plan, SoakVerdict verdict, List<String> violations, List<String> reportedByGateways,
      List<String> unconfirmedReleases, long requests, String outcomes, long injectedFaults, long shimFaults, long latenessMs,
      int killedWhileStopping, String harnessFault) {
    /** Whether the harness itself worked, so that the other results are meaningful. */
    public boolean valid() {
      return harnessFault == null;
    }

    /** Whether the run is valid, nothing was found, clients sent reqs, and the faults of the plan had an effect. */
    public boolean passed() {
      return valid() && violations.isEmpty() && reportedByGateways.isEmpty() && requests > 0
          && (injectedFaults > 0 || plan.troubles().isEmpty());
    }
  }

  private final SoakPlan plan;
  private final Path dir;
  private final SyscallShim shim;
  private final Set<PlantedFault> plantedFaults;
  private final Thread endGateways = new Thread(this::killAll, "end-gateways");
  private final LiveLoop loop = new LiveLoop("soak");
  private final LiveNet net = new LiveNet("soak-net", 2);
  private final FaultProxy proxy;
  private final AtomicInteger killedWhileStopping = new AtomicInteger();
  // number of connections that were opened to be held, idle or with an unfinished body
  private final AtomicInteger idleConnections = new AtomicInteger();
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final SplittableRandom random, sizeRandom;
  private volatile boolean stopping;
  private final List<GatewayProcess> gateways = new ArrayList<>();
  private final List<SoakClients.GatewayEndpoint> endpoints = new ArrayList<>();
  private final Hop[][] serverHops;
  private final Hop[][] discoveryHops;
  private final int[] discoveryInUse;
  private final Hop[] gatewayHops;
  private final Duration[][] serverTroubleUntil;  // end of the last fault of each hop
  private final Duration[] discoveryTroubleUntil, gatewayTroubleUntil;
  private final List<GatewayProcess.ResourceUsage> usageAtStart = new ArrayList<>();
  private Path gatewayClasses;
  private SoakJudge judge;
  private SoakBackends backends;
  private SoakClients clients;

  /**
   * Prepares a run.
   *
   * @param dir for configurations and logs
   * @param shim faults to inject into system calls of the gateways, in the format that {@code fault_shim.c} describes, or "" for none
   */
  public Soak(SoakPlan plan, Path dir, String shim) throws IOException, InterruptedException {
    this(plan, dir, shim, Set.of());
  }

  Soak(SoakPlan plan, Path dir, String shim, Set<PlantedFault> plantedFaults) throws IOException, InterruptedException {
    this.plantedFaults = plantedFaults;
    // leave no gateway process behind when this process is terminated
    Runtime.getRuntime().addShutdownHook(endGateways);
    this.shim = shim.isEmpty() ? null : new SyscallShim(shim, dir);
    this.plan = plan;
    this.dir = dir;
    int servers = plan.readers() + plan.writers();
    proxy = new FaultProxy(plan.seed() + 4);
    random = new SplittableRandom(plan.seed() + 3);
    sizeRandom = new SplittableRandom(plan.seed() + 8);
    serverHops = new Hop[plan.gateways()][servers];
    discoveryHops = new Hop[plan.gateways()][2];
    discoveryInUse = new int[plan.gateways()];
    gatewayHops = new Hop[plan.gateways()];
    serverTroubleUntil = new Duration[plan.gateways()][servers];
    discoveryTroubleUntil = new Duration[plan.gateways()];
    gatewayTroubleUntil = new Duration[plan.gateways()];
  }

  /** Makes the gateways use the classes in a directory in place of those of the same name; tests plant faults that way. */
  void overrideGatewayClasses(Path directory) {
    gatewayClasses = directory;
  }

  /** Runs the plan and returns its result. */
  public Result run() throws IOException, InterruptedException {
    judge = new SoakJudge(new Audit.Limits(DRAIN_GRACE, plan.settings().release(), plan.settings().window(), SLACK),
        id -> clients.describe(id));
    runOnLoop(this::build);
    startAll();
    runOnLoop(() -> {
      for (Trouble t : plan.troubles()) {
        loop.after(t.at(), () -> beginTrouble(t));
      }
      clients.begin();
    });
    executor.execute(this::watchProcesses);
    sleep(plan.length());
    runOnLoop(clients::end);
    sleep(settleTime());
    List<String> resources = checkResources();
    stopAll();
    SoakVerdict[] verdict = new SoakVerdict[1];
    long[] lateness = new long[1];
    runOnLoop(() -> {
      verdict[0] = judge.verdict(loop.now());
      lateness[0] = loop.timerDelays().getMaxValue() / 1000;
    });
    List<String> violations = new ArrayList<>(verdict[0].violations());
    violations.addAll(resources);
    if (proxy.requestsBehindUnread() > 0) {
      violations.add(proxy.requestsBehindUnread() + " requests came behind one that had not been written");
    }
    long shimFaults = shimInjected();
    if (shim != null && shimFaults == 0) {
      violations.add("the shim injected no fault");
    }
    List<String> reportedByGateways = violationsInLogs();
    boolean released = verdict[0].report().counts()[HELD_RESOURCE_RULE] == 0;
    List<String> unconfirmedReleases = reportedByGateways.stream().filter(line -> released && line.contains(HELD_TOO_LONG)).toList();
    reportedByGateways.removeAll(unconfirmedReleases);
    return new Result(plan, verdict[0], violations, reportedByGateways, unconfirmedReleases, clients.requestsSent(),
        clients.outcomes().toString(), proxy.injectedFaults() + idleConnections.get(), shimFaults,
        Math.max(lateness[0], proxy.longestIterationMs()), killedWhileStopping.get(), harnessFault(lateness[0]));
  }

  /** Time after the last req until everything is over. */
  private Duration settleTime() {
    Duration settled = plan.settings().longestBudget().plus(SETTLE_TIME);
    return plan.peers().oddStreams() > 0 ? later(settled, ODD_STREAM_TIME) : settled;
  }

  private String harnessFault(long latenessMs) {
    if (proxy.failure() != null) {
      return "the fault proxy failed: " + proxy.failure();
    }
    long late = Math.max(latenessMs, proxy.longestIterationMs());
    return late > MAX_HARNESS_DELAY.toMillis() ? "the harness was delayed by " + late + " ms" : null;
  }

  /** Reports, throughout the run, gateways that exit unexpectedly or exceed their memory limit. */
  private void watchProcesses() {
    Set<GatewayProcess> reported = new HashSet<>();
    while (!Thread.interrupted() && !stopping) {
      for (GatewayProcess p : gateways) {
        Integer exitStatus = p.unexpectedExitStatus();
        String what = exitStatus != null ? p.name + " exited unexpectedly with status " + exitStatus
            : p.peakResidentKb() > (long) plan.memoryMb() << 10
                ? p.name + " exceeded its memory limit of " + plan.memoryMb() + " MB" : null;
        if (what != null && reported.add(p)) {
          loop.execute(() -> judge.addViolation(loop.now(), what));
        }
      }
      try {
        Thread.sleep(PROCESS_POLL_INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private interface Work {
    void run() throws IOException;
  }

  private void runOnLoop(Work work) throws IOException {
    IOException[] failed = new IOException[1];
    loop.runAndWait(() -> {
      try {
        work.run();
      } catch (IOException e) {
        failed[0] = e;
      }
    });
    if (failed[0] != null) {
      throw failed[0];
    }
  }

  private static void sleep(Duration span) throws InterruptedException {
    Thread.sleep(span.toMillis());
  }

  private void build() throws IOException {
    double rate = RATE_PER_GATEWAY * plan.gateways();
    backends = new SoakBackends(loop, net, plan, judge,
        (g, s) -> isRecent(serverTroubleUntil[g][s]) || isRecent(gatewayTroubleUntil[g]),
        id -> clients.recordAttempt(id), proxy::silenceState,
        plantedFaults.contains(PlantedFault.WEAK_START) ? WEAK_START_RATE : rate / plan.readers(), plantedFaults);
    for (int g = 0; g < plan.gateways(); g++) {
      gateways.add(new GatewayProcess(SoakBackends.gatewayName(g), dir, plan.heapMb()));
      if (gatewayClasses != null) {
        gateways.get(g).overrideClasses(gatewayClasses);
      }
      for (SoakBackends.ModelServer m : backends.servers) {
        serverHops[g][m.number] = proxy.openHop(m.address(g));
        m.proxyPorts[g] = serverHops[g][m.number].port();
      }
      for (int i = 0; i < 2; i++) {
        discoveryHops[g][i] = proxy.openHop(backends.discoveryAddress(g));
      }
      gatewayHops[g] = proxy.openHop(new InetSocketAddress("127.0.0.1", gateways.get(g).port));
      endpoints.add(new SoakClients.GatewayEndpoint(g, new InetSocketAddress("127.0.0.1", gatewayHops[g].port())));
      gateways.get(g).configure(config(g));
      if (shim != null) {
        gateways.get(g).environment(shim.environment(gateways.get(g).name, gateways.get(g).port));
      }
    }
    HttpClient keepAliveClient = new HttpClient(loop, net, Duration.ofSeconds(10));
    HttpClient newConnectionClient = new HttpClient(loop, net, Duration.ofMillis(1));
    clients = new SoakClients(loop, keepAliveClient, newConnectionClient, judge, endpoints, plan, rate,
        g -> isRecent(gatewayTroubleUntil[g])
        || Stream.of(serverTroubleUntil[g]).anyMatch(this::isRecent), plantedFaults);
  }

  private boolean isRecent(Duration until) {
    return until != null && loop.now().compareTo(until.plus(RECOVERY_TIME)) < 0;
  }

  private String config(int g) {
    String effect = plantedFaults.contains(PlantedFault.EFFECT_MISNAMED) ? "read_like" : "non_idempotent";
    return new GatewayConfig(SoakBackends.gatewayName(g), gateways.get(g).port, discoveryHops[g][discoveryInUse[g]].port(),
        plan.seed() * 131 + g,
        plan.memoryMb(), SOCKETS, backends.hosts(g), plan.gateways(), g % 2, plan.settings(), DRAIN_GRACE, effect).json();
  }

  private void startAll() throws IOException, InterruptedException {
    for (GatewayProcess p : gateways) {
      p.start();
    }
    for (int g = 0; g < gateways.size(); g++) {
      if (!gateways.get(g).awaitReady()) {
        throw new IOException(gateways.get(g).name + " did not become ready, see " + gateways.get(g).log());
      }
      int gateway = g;
      runOnLoop(() -> markUp(gateway));
    }
    for (GatewayProcess p : gateways) {
      usageAtStart.add(p.resourceUsage());
    }
  }

  private void markUp(int g) {
    judge.audit.gateway(loop.now(), SoakBackends.gatewayName(g), true);
    endpoints.get(g).open = true;
    endpoints.get(g).stopping = false;
    endpoints.get(g).upSince = loop.now();
    endpoints.get(g).generation++;
    loop.after(INITIAL_LIST_DELAY, () -> backends.servers.forEach(m -> recordPublished(g, m)));
  }

  private void markDown(int g) {
    endpoints.get(g).open = false;
    endpoints.get(g).stopping = false;
    endpoints.get(g).generation++;
    judge.audit.gateway(loop.now(), SoakBackends.gatewayName(g), false);
  }

  /** Tells the audit that a gateway knows the current state of a model server. */
  private void recordPublished(int g, SoakBackends.ModelServer m) {
    judge.audit.told(loop.now(), SoakBackends.gatewayName(g), m.number, m.health.equals("up"), m.startedWallClock);
  }

  // ---- injected faults

  private void beginTrouble(Trouble trouble) {
    if (trouble.kind().affectsGateways()) {
      beginGatewayTrouble(trouble);
    } else if (trouble.kind() == Kind.SERVERS_DRAIN || trouble.kind() == Kind.SERVERS_RESTART) {
      drainOrRestartServers(trouble);
    } else if (trouble.kind() == Kind.SERVERS_HANG) {
      Duration until = loop.now().plus(trouble.span());
      drawServers(trouble.share()).forEach(m -> m.hangsUntil = until);
    } else if (trouble.kind().affectsSizes()) {
      beginSizeTrouble(trouble);
    } else if (trouble.kind().affectsServers()) {
      hopsToServers(drawServers(trouble.share()), trouble.span(), Mode.valueOf(trouble.kind().name().substring("SERVERS_".length())));
    } else if (trouble.kind() == Kind.CONNECTIONS_SILENT) {
      silenceConnections(trouble.share(), hop -> hop.silenceOpenConnections(SILENCED_SHARE));
    } else if (trouble.kind() == Kind.ANSWERS_SILENT) {
      silenceConnections(trouble.share(), hop -> hop.silenceAnswers(SILENCED_SHARE));
    } else if (trouble.kind() == Kind.CONNECTIONS_SILENT_SINGLY) {
      silenceSingly(loop.now().plus(trouble.span()));
    } else if (trouble.kind() == Kind.DECODE_SERVERS_SILENT) {
      hopsToServers(drawServers(trouble.share()).stream().filter(m -> !m.reader).toList(), trouble.span(), Mode.SILENT);
    } else if (trouble.kind() == Kind.ROLE_SILENT) {
      silenceRole(random.nextBoolean(), trouble.span().dividedBy(2 * ROLE_SILENCES), ROLE_SILENCES);
    } else if (trouble.kind() == Kind.CLIENTS_CROWD) {
      endpoints.stream().filter(f -> f.open && random.nextDouble() < trouble.share()).forEach(f -> openIdleConnections(f, trouble.span()));
    } else if (trouble.kind().name().startsWith("DISCOVERY_")) {
      hopsToDiscovery(trouble, Mode.valueOf(trouble.kind().name().substring("DISCOVERY_".length())));
    } else {
      beginClientTrouble(trouble);
    }
  }

  private void setDuring(Trouble trouble, DoubleConsumer share) {
    share.accept(trouble.share());
    loop.after(trouble.span(), () -> share.accept(0));
  }

  private void beginSizeTrouble(Trouble trouble) {
    switch (trouble.kind()) {
      case SIZES_LONG_BODIES -> setDuring(trouble, share -> clients.longBodyShare = share);
      case SIZES_DECLINED_EARLY -> {
        setDuring(trouble, share -> clients.longBodyShare = share);
        declineEarly(trouble.span());
      }
      case SIZES_SLOW_READERS -> setDuring(trouble, share -> clients.slowReaderShare = share);
      case SIZES_LONG_EVENTS -> setDuring(trouble, share -> backends.longEvents = share);
      default -> endpoints.stream().filter(f -> f.open && sizeRandom.nextDouble() < trouble.share())
          .forEach(f -> executor.execute(() -> stopInLongBodies(f, trouble.span())));
    }
  }

  /** Doesn't mark the hops as troubled: what is not turned away is forwarded at once. */
  private void declineEarly(Duration span) {
    for (SoakBackends.ModelServer m : backends.servers) {
      for (int g = 0; g < plan.gateways(); g++) {
        if (sizeRandom.nextDouble() < EARLY_DECLINE_SHARE) {
          setModeFor(serverHops[g][m.number], Mode.DECLINE_EARLY, span);
        }
      }
    }
  }

  /**
   * Opens connections with unfinished long bodies. They bypass the proxy, since tens of megabytes would delay the other traffic
   * there.
   */
  private void stopInLongBodies(SoakClients.GatewayEndpoint endpoint, Duration span) {
    String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nContent-Length: " + SoakClients.MAX_BODY_BYTES + "\r\n\r\n";
    byte[] unfinished = Arrays.copyOf(head.getBytes(StandardCharsets.US_ASCII), head.length() + SoakClients.MAX_BODY_BYTES - 1);
    holdConnections(new InetSocketAddress("127.0.0.1", gateways.get(endpoint.gateway).port), LONG_BODY_CLIENTS, unfinished, span);
  }

  /** Draws a share of the model servers. The first of each role is never drawn, so that there is always a reachable server. */
  private List<SoakBackends.ModelServer> drawServers(double share) {
    return backends.servers.stream().filter(m -> m.number != 0 && m.number != plan.readers() && random.nextDouble() < share).toList();
  }

  private void hopsToServers(List<SoakBackends.ModelServer> servers, Duration span, Mode mode) {
    Duration until = loop.now().plus(span);
    for (SoakBackends.ModelServer m : servers) {
      for (int g = 0; g < plan.gateways(); g++) {
        setModeFor(serverHops[g][m.number], mode, span);
        serverTroubleUntil[g][m.number] = later(serverTroubleUntil[g][m.number], until);
      }
    }
  }

  /**
   * Silences connections to a share of the model servers. This doesn't mark the hop as troubled: data in flight on a silenced
   * connection never arrives, so there is no delayed arrival to excuse.
   */
  private void silenceConnections(double serverShare, Consumer<Hop> silence) {
    for (SoakBackends.ModelServer m : drawServers(serverShare)) {
      for (int g = 0; g < plan.gateways(); g++) {
        silence.accept(serverHops[g][m.number]);
      }
    }
  }

  private void silenceSingly(Duration until) {
    if (loop.now().compareTo(until) < 0) {
      silenceConnections(1, hop -> hop.silenceOpenConnections(SINGLE_SILENCE_SHARE));
      loop.after(SINGLE_SILENCE_INTERVAL, () -> silenceSingly(until));
    }
  }

  private void silenceRole(boolean readers, Duration span, int times) {
    hopsToServers(drawServers(ROLE_SILENCE_SHARE).stream().filter(m -> m.reader == readers).toList(), span, Mode.SILENT);
    if (times > 1) {
      loop.after(span.multipliedBy(2), () -> silenceRole(readers, span, times - 1));
    }
  }

  /** Opens idle connections that use up the file descriptors of the gateway. */
  private void openIdleConnections(SoakClients.GatewayEndpoint endpoint, Duration span) {
    endpoint.crowdedUntil = later(endpoint.crowdedUntil, loop.now().plus(span).plus(RECOVERY_TIME));
    executor.execute(() -> holdConnections(endpoint.address, IDLE_CONNECTIONS, new byte[0], span));
  }

  /** Opens connections, writes the given bytes on each and keeps them open for a while. */
  private void holdConnections(InetSocketAddress address, int connections, byte[] bytes, Duration span) {
    List<Socket> open = new ArrayList<>();
    try {
      for (int i = 0; i < connections; i++) {
        Socket s = new Socket();
        open.add(s);
        s.connect(address, 1000);
        s.getOutputStream().write(bytes);
        idleConnections.incrementAndGet();
      }
      sleep(span);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      return;  // a gateway that is stopping refuses them
    } finally {
      open.forEach(Soak::closeQuietly);
    }
  }

  private static void closeQuietly(Socket s) {
    try {
      s.close();
    } catch (IOException e) {
      return;  // it is closed already
    }
  }

  private void hopsToDiscovery(Trouble trouble, Mode mode) {
    for (int g = 0; g < plan.gateways(); g++) {
      if (random.nextDouble() < trouble.share()) {
        setModeFor(discoveryHops[g][discoveryInUse[g]], mode, trouble.span());
        discoveryTroubleUntil[g] = later(discoveryTroubleUntil[g], loop.now().plus(trouble.span()));
      }
    }
  }

  private static Duration later(Duration a, Duration b) {
    return a != null && a.compareTo(b) > 0 ? a : b;
  }

  private void setModeFor(Hop hop, Mode mode, Duration span) {
    hop.setMode(mode);
    loop.after(span, () -> hop.setMode(Mode.PASS));
  }

  private void drainOrRestartServers(Trouble trouble) {
    List<SoakBackends.ModelServer> some = drawServers(trouble.share() / 2);
    for (SoakBackends.ModelServer m : some) {
      if (trouble.kind() == Kind.SERVERS_RESTART) {
        m.restart();
        for (int g = 0; g < plan.gateways(); g++) {
          setModeFor(serverHops[g][m.number], Mode.RESET, Duration.ofMillis(200));
          serverTroubleUntil[g][m.number] = later(serverTroubleUntil[g][m.number], loop.now().plusMillis(200));
        }
      } else {
        m.health = "draining";
        loop.after(trouble.span().plusSeconds(3), () -> {
          m.health = "up";
          publish(m);
        });
      }
      publish(m);
    }
  }

  private void publish(SoakBackends.ModelServer server) {
    if (!plantedFaults.contains(PlantedFault.DRAIN_NOT_TOLD)) {
      backends.publish(server);
    }
    for (int g = 0; g < plan.gateways(); g++) {
      int gateway = g;
      boolean late = discoveryTroubleUntil[g] != null && loop.now().compareTo(discoveryTroubleUntil[g].plus(DISCOVERY_TIMEOUT)) < 0;
      // the audit counts a server as up from the earliest time at which the gateway may know of it
      boolean good = server.health.equals("up");
      loop.after(late && !good ? DISCOVERY_TIMEOUT : Duration.ZERO, () -> recordPublished(gateway, server));
    }
  }

  private void beginGatewayTrouble(Trouble trouble) {
    for (int g = 0; g < plan.gateways(); g++) {
      int gateway = g;
      if (endpoints.get(g).open && random.nextDouble() < trouble.share() / 2) {
        Duration after = Duration.ofMillis(random.nextInt(300));
        loop.after(after, () -> executor.execute(() -> runGatewayTrouble(gateway, trouble)));
      }
    }
  }

  private void runGatewayTrouble(int g, Trouble trouble) {
    try {
      switch (trouble.kind()) {
        case GATEWAY_TERM -> restart(g, true);
        case GATEWAY_KILL -> restart(g, false);
        case GATEWAY_RELOAD -> reload(g);
        default -> suspendRepeatedly(g, trouble.span());
      }
    } catch (IOException e) {
      loop.execute(() -> judge.addViolation(loop.now(), SoakBackends.gatewayName(g) + ": " + e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Restarts a gateway. In a graceful restart clients keep using their open connections, and the kill follows SIGTERM as early as
   * the settings allow. The gateway may not have finished stopping by then; whatever it leaves undone is judged.
   */
  private void restart(int g, boolean graceful) throws IOException, InterruptedException {
    GatewayProcess process = gateways.get(g);
    if (graceful) {
      Duration termSentAt = sendTermSeries(g, process);
      Integer end = process.awaitExit(plan.settings().killedAfter().toMillis());
      if (end == null) {
        killedWhileStopping.incrementAndGet();
      } else if (end != 0) {
        loop.execute(() -> judge.addViolation(loop.now(), process.name + " exited with status " + end));
      }
      runOnLoop(() -> judge.audit.killed(loop.now(), process.name, termSentAt.plus(REFUSAL_DELAY)));
    }
    if (graceful || plantedFaults.contains(PlantedFault.KILL_NOT_KNOWN)) {
      process.kill();
      runOnLoop(() -> markDown(g));
    } else {
      runOnLoop(() -> markDown(g));
      process.kill();
    }
    process.start();
    if (process.awaitReady()) {
      runOnLoop(() -> markUp(g));
    } else {
      loop.execute(() -> judge.addViolation(loop.now(), process.name + " was not ready in time after its start"));
    }
  }

  /** Sends SIGTERM, for some gateways within a series of signals, and returns the time of the first SIGTERM. */
  private Duration sendTermSeries(int g, GatewayProcess process) throws IOException, InterruptedException {
    List<String> series = switch ((g + (int) plan.seed()) % SIGNAL_SERIES) {
      case 0 -> List.of("TERM");
      case 1 -> List.of("HUP", "HUP", "TERM");
      case 2 -> List.of("HUP", "TERM", "HUP");
      default -> List.of("TERM", "TERM");
    };
    Duration[] termSentAt = new Duration[1];
    for (String signal : series) {
      if (signal.equals("TERM") && termSentAt[0] == null) {
        runOnLoop(() -> {
          termSentAt[0] = loop.now();
          loop.after(STOP_NOTICE_DELAY, () -> {
            endpoints.get(g).stopping = endpoints.get(g).open;
            endpoints.get(g).open = false;
          });
        });
      }
      process.signal(signal);
      Thread.sleep(SIGNAL_INTERVAL_MS);
    }
    return termSentAt[0];
  }

  /**
   * Reconfigures a gateway to the other address of discovery and signals a reload, for some gateways twice in a row. The old
   * address is closed after a delay.
   */
  private void reload(int g) throws IOException, InterruptedException {
    GatewayProcess process = gateways.get(g);
    int times = 1 + (g + (int) plan.seed()) % 2;
    for (int i = 0; i < times; i++) {
      Hop[] old = new Hop[1];
      runOnLoop(() -> {
        old[0] = discoveryHops[g][discoveryInUse[g]];
        discoveryInUse[g] = 1 - discoveryInUse[g];
        discoveryHops[g][discoveryInUse[g]].setMode(Mode.PASS);
        discoveryTroubleUntil[g] = later(discoveryTroubleUntil[g], loop.now().plus(RELOAD_TIMEOUT).minus(DISCOVERY_TIMEOUT));
        process.configure(config(g));
      });
      process.signal("HUP");
      if (i == times - 1) {
        loop.execute(() -> loop.after(OLD_DISCOVERY_OPEN, () -> old[0].setMode(Mode.RESET)));
      }
    }
  }

  /** Suspends and resumes a gateway's process by signals until the span is over. */
  private void suspendRepeatedly(int g, Duration span) throws IOException, InterruptedException {
    GatewayProcess process = gateways.get(g);
    loop.execute(() -> {
      gatewayTroubleUntil[g] = later(gatewayTroubleUntil[g], loop.now().plus(span));
      judge.audit.allowDelay(SoakBackends.gatewayName(g), Duration.ofMillis(SUSPENSION_MS));
    });
    long until = System.nanoTime() + span.toNanos();
    while (System.nanoTime() < until && process.alive()) {
      process.signal("STOP");
      try {
        Thread.sleep(SUSPENSION_MS - 50);  // 50 ms are left for the signals themselves
      } finally {
        process.signal("CONT");
      }
      Thread.sleep(SUSPENSION_INTERVAL_MS);
    }
  }

  private void beginClientTrouble(Trouble trouble) {
    switch (trouble.kind()) {
      case CLIENTS_LEAVE -> setDuring(trouble, share -> clients.cancelShare = share);
      case CLIENTS_BURST -> {
        clients.rate *= 2.5;
        loop.after(trouble.span(), () -> clients.rate /= 2.5);
      }
      case CLIENTS_STOP_MIDWAY -> endpoints.stream().filter(f -> f.open && random.nextDouble() < trouble.share())
          .forEach(f -> executor.execute(() -> stopMidway(f)));
      default -> {
        for (int g = 0; g < plan.gateways(); g++) {
          if (random.nextDouble() < trouble.share()) {
            setModeFor(gatewayHops[g], Mode.TRICKLE, trouble.span());
            gatewayTroubleUntil[g] = later(gatewayTroubleUntil[g], loop.now().plus(trouble.span()));
          }
        }
      }
    }
  }

  /**
   * Sends part of a request and keeps the connection open: the gateway must answer with an error or close the connection in time.
   */
  private void stopMidway(SoakClients.GatewayEndpoint endpoint) {
    int life = endpoint.generation;
    try (Socket s = new Socket()) {
      s.connect(endpoint.address, 1000);
      s.setSoTimeout((int) (INCOMPLETE_REQUEST_TIMEOUT_MS + SLACK.toMillis()));
      s.getOutputStream().write("POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nContent-Length: 100\r\n\r\n{\"mod"
          .getBytes(StandardCharsets.US_ASCII));
      s.getInputStream().read();
    } catch (SocketTimeoutException e) {
      loop.execute(() -> {
        if (endpoint.generation == life && endpoint.open && !isRecent(gatewayTroubleUntil[endpoint.gateway])) {
          judge.addViolation(loop.now(), SoakBackends.gatewayName(endpoint.gateway)
              + ": a client that sent part of a request got neither an error nor a close within 3 s");
        }
      });
    } catch (IOException e) {
      return;  // a reset counts as a close
    }
  }

  // ---- end of the run

  private List<String> checkResources() throws IOException, InterruptedException {
    List<String> found = new ArrayList<>();
    for (int g = 0; g < gateways.size(); g++) {
      GatewayProcess p = gateways.get(g);
      if (!p.alive()) {
        found.add(p.name + " is not running, see its log");
        continue;
      }
      long charged = p.chargedAtRest(IDLE_TIMEOUT_MS);
      if (charged != 0) {
        found.add(charged < 0 ? p.name + " reported no memory use"
            : p.name + " still counts " + charged + " bytes for peers that have gone");
      }
      GatewayProcess.ResourceUsage now = p.resourceUsage();
      GatewayProcess.ResourceUsage atStart = usageAtStart.get(g);
      if (now.descriptors() > atStart.descriptors() + MAX_EXTRA_DESCRIPTORS || now.threads() > atStart.threads() + MAX_EXTRA_THREADS) {
        found.add(p.name + " uses " + now + " when idle, but used " + atStart + " after its start");
      }
    }
    return found;
  }

  private long shimInjected() throws IOException {
    long all = 0;
    for (GatewayProcess p : gateways) {
      all += shim == null ? 0 : shim.injectedFaults(p.name);
    }
    return all;
  }

  private void stopAll() throws IOException, InterruptedException {
    stopping = true;
    for (GatewayProcess p : gateways) {
      if (p.alive()) {
        p.signal("TERM");
      }
    }
    for (GatewayProcess p : gateways) {
      p.awaitExit(plan.settings().killedAfter().toMillis());
      p.kill();
    }
  }

  private List<String> violationsInLogs() throws IOException {
    List<String> lines = new ArrayList<>();
    for (GatewayProcess p : gateways) {
      try (Stream<String> log = Files.lines(p.log())) {
        log.filter(l -> l.contains("rule violated") || l.contains(" ERROR ")).map(l -> p.name + " " + l).forEach(lines::add);
      }
    }
    return lines;
  }

  private void killAll() {
    List.copyOf(gateways).stream().filter(p -> p.starts() > 0).forEach(GatewayProcess::kill);
  }

  @Override
  public void close() throws IOException {
    executor.shutdownNow();
    killAll();
    try {
      Runtime.getRuntime().removeShutdownHook(endGateways);
    } catch (IllegalStateException e) {
      return;  // the JVM is shutting down already
    }
    if (backends != null) {
      loop.runAndWait(backends::close);
    }
    loop.close();
    net.close();
    proxy.close();
  }
}
