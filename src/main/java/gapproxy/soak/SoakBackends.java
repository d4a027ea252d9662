package gapproxy.soak;

import gapproxy.http.ServerLimits;
import gapproxy.http.Exchange;
import gapproxy.http.HttpServer;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Simulated model servers and discovery that speak the platform's protocol, with a separate port for each gateway. Belongs to one
 * event loop.
 */
final class SoakBackends {
  private static final Map<String, String> JSON = Map.of("content-type", "application/json");
  private static final Map<String, String> DECLINED = Map.of("srv-declined", "1");
  private static final byte[] NONE = new byte[0];
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(2), UNKNOWN_READ_DELAY = Duration.ofMillis(300),
      EVENT_INTERVAL = Duration.ofMillis(25), PLANTED_EVENT_AGE = Duration.ofMillis(400), POLL_INTERVAL = Duration.ofMillis(20);
  private static final Duration CLOSE_RACE_WINDOW = Duration.ofMillis(30);
  // for longer than any client may be kept waiting
  private static final Duration LEFT_OPEN = Duration.ofSeconds(12);
  private static final double UNKNOWN_READ_HOLD_SHARE = 0.5, NO_ROOM_SHARE = 0.1, FAILURE_SHARE_OF_ODD = 0.5,
      FAILED_READ_STATE_SHARE = 0.5, KEPT_STATE_SHARE = 0.3;
  private static final int EVENTS_PER_STREAM = 12, MAX_CONTENT_BYTES = 48 << 10;
  static final Duration WARM_UP = Duration.ofSeconds(10), OVERLOAD_WINDOW = Duration.ofSeconds(2);
  static final double START_CAPACITY = 0.25, OVERLOAD_MULTIPLE = 4;

  private final Loop loop;
  private final SoakJudge judge;
  private final SoakPlan.Settings settings;
  private final SplittableRandom random, sizeRandom, streamRandom;
  double longEvents;  // share of events that are long
  private final BiPredicate<Integer, Integer> delayed;
  private final Consumer<String> onAttempt;
  private final IntFunction<FaultProxy.SilenceState> silenceState;
  private final Set<PlantedFault> plantedFaults;
  private final double ratePerServer;
  final List<ModelServer> servers = new ArrayList<>();
  private final List<Discovery> discoveries = new ArrayList<>();
  private final Map<String, Integer> runningReads = new HashMap<>();
  private final Set<String> completedReads = new HashSet<>();
  private final Map<String, Integer> waitingWrites = new HashMap<>();
  // reqs whose release is deferred until the attempts that need their state have ended
  private final Set<String> deferredReleases = new HashSet<>();
  private final SoakPlan.Peers peers;
  private int sequence = 1;

  /**
   * Opens all ports.
   *
   * @param delayed whether a fault delays traffic between a gateway and a model server, or did until shortly before
   * @param onAttempt called with the id of each req of which an attempt has arrived
   * @param silenceState state of the connection whose remote port, as the model server sees it, is the given one
   * @param ratePerServer reqs per second that a warm server gets
   */
  SoakBackends(Loop loop, Net net, SoakPlan plan, SoakJudge judge, BiPredicate<Integer, Integer> delayed,
      Consumer<String> onAttempt, IntFunction<FaultProxy.SilenceState> silenceState, double ratePerServer,
      Set<PlantedFault> plantedFaults) throws IOException {
    this.loop = loop;
    this.judge = judge;
    this.settings = plan.settings();
    this.delayed = delayed;
    this.onAttempt = onAttempt;
    this.silenceState = silenceState;
    this.plantedFaults = plantedFaults;
    this.ratePerServer = ratePerServer;
    random = new SplittableRandom(plan.seed() + 1);
    sizeRandom = new SplittableRandom(plan.seed() + 10);
    streamRandom = new SplittableRandom(plan.seed() + 11);
    peers = plan.peers();
    for (int i = 0; i < plan.readers() + plan.writers(); i++) {
      servers.add(new ModelServer(i, i < plan.readers(), net, plan.gateways()));
    }
    for (int g = 0; g < plan.gateways(); g++) {
      discoveries.add(new Discovery(net));
    }
    sendHeartbeat();
  }

  private static Integer decrement(int count, int minusOne) {
    return count == 1 ? null : count - 1;
  }

  /**
   * Whether a release is deferred because a running read or waiting write of the req needs the state, and the servers of this plan
   * spare such attempts.
   */
  private boolean releaseDeferred(String id) {
    return peers.releaseSparesWrites() && waitingWrites.containsKey(id) || peers.releaseSparesReads() && runningReads.containsKey(id);
  }

  /**
   * Carries out a deferred release after an attempt has ended, unless another attempt still defers it or the servers of this plan
   * keep what a release spared.
   */
  private void runDeferredRelease(String id) {
    if (!releaseDeferred(id) && deferredReleases.remove(id) && !peers.keepsSpared()) {
      servers.forEach(m -> m.release(id, false));
    }
  }

  private void sendHeartbeat() {
    discoveries.forEach(d -> d.write("\n"));
    loop.after(HEARTBEAT_INTERVAL, this::sendHeartbeat);
  }

  static String gatewayName(int gateway) {
    return "g" + gateway;
  }

  /** One model server: a reader or a writer. */
  final class ModelServer {
    final int number;
    final boolean reader;
    private final List<HttpServer> listeners = new ArrayList<>();
    private final Set<String> held = new HashSet<>();
    private final Deque<Duration> coldAttempts = new ArrayDeque<>();
    int[] proxyPorts;
    String health = "up";
    Instant startedWallClock;
    private Duration startedAt;
    Duration hangsUntil = Duration.ZERO;
    private int generation;

    ModelServer(int number, boolean reader, Net net, int gateways) throws IOException {
      this.number = number;
      this.reader = reader;
      proxyPorts = new int[gateways];
      for (int g = 0; g < gateways; g++) {
        int gateway = g;
        listeners.add(HttpServer.open(loop, net, new InetSocketAddress("127.0.0.1", 0), ServerLimits.DEFAULT,
            (x, decoded) -> handle(x, gateway)));
      }
    }

    InetSocketAddress address(int gateway) {
      return listeners.get(gateway).address();
    }

    /** Restarts the server cold: its held state is lost. */
    void restart() {
      generation++;
      List.copyOf(held).forEach(id -> release(id, true));
      startedWallClock = loop.wallClock();
      startedAt = loop.now();
      coldAttempts.clear();
      judge.audit.started(loop.now(), number, startedWallClock);
    }

    private void handle(Exchange exchange, int gateway) {
      String path = exchange.request().path();
      if (path.startsWith("/kv/leases/")) {
        lease(exchange, gateway, path.substring("/kv/leases/".length()));
      } else if (path.equals("/alive") || path.equals("/metrics/load")) {
        String load = "{\"outstanding\":" + held.size() + ",\"backlog\":0,\"x0\":0.1,\"x1\":0}";
        exchange.respond(settings.probes() ? 200 : 404, JSON, load.getBytes(StandardCharsets.UTF_8));
      } else if (exchange.request().header("req-id") == null) {
        exchange.respond(404, JSON, NONE);
      } else {
        chat(exchange, gateway, exchange.request().header("req-id"));
      }
    }

    /** Serves a reservation call, or the call that releases everything that servers hold for a req. */
    private void lease(Exchange exchange, int gateway, String id) {
      if (exchange.request().method().equals("DELETE")) {
        if (releaseDeferred(id)) {
          deferredReleases.add(id);
        } else if (!plantedFaults.contains(PlantedFault.RELEASE_IGNORED)) {
          servers.forEach(m -> m.release(id, false));
        }
        exchange.respond(204, JSON, NONE);
      } else if (!runningReads.containsKey(id)) {
        answerUnknownRead(exchange, gateway, id);
      } else if (random.nextDouble() < NO_ROOM_SHARE) {
        exchange.respond(409, JSON, NONE);
      } else {
        hold(gateway, id);
        exchange.respond(200, JSON, "{}".getBytes(StandardCharsets.UTF_8));
      }
    }

    /** Answers a reservation call for which no read is running: 204 after a delay. The room may be held nevertheless. */
    private void answerUnknownRead(Exchange exchange, int gateway, String id) {
      boolean holds = random.nextDouble() < UNKNOWN_READ_HOLD_SHARE;
      loop.after(UNKNOWN_READ_DELAY, () -> {
        if (holds) {
          hold(gateway, id);
        }
        exchange.respond(204, JSON, NONE);
      });
    }

    private void hold(int gateway, String id) {
      if (held.add(id)) {
        judge.audit.holds(loop.now(), number, gatewayName(gateway), id);
      }
    }

    private void release(String id, boolean fetched) {
      if (held.remove(id)) {
        judge.audit.freed(loop.now(), number, id, fetched);
      }
    }

    /**
     * Records that an attempt has ended at its server, whether or not the gateway can learn of the end: what it left is held from then on.
     */
    private void recordAttemptEnd(String id) {
      judge.audit.ended(loop.now(), number, id);
    }

    private void chat(Exchange exchange, int gateway, String id) {
      Duration now = loop.now();
      onAttempt.accept(id);
      judge.checkAttempt(now, id, Long.parseLong(exchange.request().headers().getOrDefault("req-deadline-ms", "0")),
          delayed.test(gateway, number));
      judge.audit.forward(now, number, gatewayName(gateway), id, id, reader);
      checkColdOverload(now);
      if (peers.odd() > 0 && random.nextDouble() < peers.odd()) {
        fail(exchange, gateway, id);
      } else if (reader) {
        runningReads.merge(id, 1, Integer::sum);
        awaitTurn(exchange, id, generation, hangsUntil, new WaitCallbacks(() -> read(exchange, gateway, id, generation), () -> {
          finishRead(exchange, gateway, id, Outcome.LOST);
          exchange.terminate();
        }));
      } else {
        write(exchange, id, now);
      }
    }

    /** Callbacks of a waiting attempt: its turn has come, or its server has noticed that it was abandoned. */
    private record WaitCallbacks(Runnable onTurn, Runnable onAbandoned) {}

    /** Outcome of a read. */
    private enum Outcome { READ, LOST }

    /** Declines or fails an attempt. A failed read may leave its state held. */
    private void fail(Exchange exchange, int gateway, String id) {
      boolean fails = random.nextDouble() < FAILURE_SHARE_OF_ODD;
      if (fails && reader && random.nextDouble() < FAILED_READ_STATE_SHARE) {
        completedReads.add(id);
        hold(gateway, id);
      }
      recordAttemptEnd(id);
      exchange.respond(fails ? 500 : 503, fails ? JSON : DECLINED, NONE);
    }

    /** Processes a read. A read that the gateway has closed completes nevertheless if the server hasn't noticed the close by then. */
    private void read(Exchange exchange, int gateway, String id, int startGeneration) {
      Duration[] closedAt = new Duration[1];
      exchange.onDisconnect(() -> closedAt[0] = loop.now());
      loop.after(Duration.ofMillis(20 + random.nextInt(60)), () -> {
        boolean justClosed = closedAt[0] != null
            && loop.now().minus(closedAt[0]).compareTo(drawCloseDetectionDelay().plus(CLOSE_RACE_WINDOW)) < 0;
        boolean ends = generation == startGeneration && (closedAt[0] == null || justClosed);
        finishRead(exchange, gateway, id, ends ? Outcome.READ : Outcome.LOST);
        if (generation == startGeneration) {
          exchange.respond(202, JSON, "{\"cached_tokens\":128}".getBytes(StandardCharsets.UTF_8));
        } else {
          exchange.terminate();
        }
      });
    }

    private void finishRead(Exchange exchange, int gateway, String id, Outcome outcome) {
      runningReads.merge(id, -1, SoakBackends::decrement);
      if (outcome == Outcome.READ) {
        completedReads.add(id);
        hold(gateway, id);
      }
      runDeferredRelease(id);
      recordAttemptEnd(id);
    }

    /** Waits for the write's turn, for some writes a long time, and then fetches the state from its reader. */
    private void write(Exchange exchange, String id, Duration arrivedAt) {
      int startGeneration = generation;
      boolean slow = random.nextDouble() < peers.waiting();
      Duration slowUntil = slow ? loop.now().plusMillis(random.nextLong(peers.longestWait().toMillis())) : Duration.ZERO;
      waitingWrites.merge(id, 1, Integer::sum);
      awaitTurn(exchange, id, startGeneration, slowUntil.compareTo(hangsUntil) > 0 ? slowUntil : hangsUntil, new WaitCallbacks(() -> {
        waitingWrites.merge(id, -1, SoakBackends::decrement);
        fetch(exchange, id, startGeneration, arrivedAt);
      }, () -> {
        waitingWrites.merge(id, -1, SoakBackends::decrement);
        runDeferredRelease(id);
        recordAttemptEnd(id);
        exchange.terminate();
      }));
    }

    /** Waits until the given time, or until the attempt was abandoned or the server has restarted, and calls back. */
    private void awaitTurn(Exchange exchange, String id, int startGeneration, Duration until, WaitCallbacks callbacks) {
      if (closedByGateway(exchange) || generation != startGeneration) {
        Duration detectionDelay = generation != startGeneration ? Duration.ZERO : drawCloseDetectionDelay();
        judge.audit.allowLateClose(id, detectionDelay);
        loop.after(detectionDelay, callbacks.onAbandoned);
      } else if (loop.now().compareTo(until) >= 0) {
        callbacks.onTurn.run();
      } else {
        loop.after(POLL_INTERVAL, () -> awaitTurn(exchange, id, startGeneration, until, callbacks));
      }
    }

    /** Draws the delay after which the server notices that an attempt was closed. */
    private Duration drawCloseDetectionDelay() {
      return Duration.ofMillis(random.nextLong(peers.closeSeenWithin().toMillis() + 1));
    }

    /**
     * Whether the gateway has closed the attempt. Closes of silenced connections count as well: the gateway has no other way to
     * end such an attempt.
     */
    private boolean closedByGateway(Exchange exchange) {
      int port = ((InetSocketAddress) exchange.connection().getPeerAddress()).getPort();
      return !exchange.isOpen() || silenceState.apply(port) == FaultProxy.SilenceState.CLOSED_BY_GATEWAY;
    }

    /**
     * Fetches the held state and streams the answer, or answers 410 if the req was read but its state is no longer held.
     *
     * @param arrivedAt when the attempt arrived: the window for repeats is one of sends, however long the server lets an attempt wait
     */
    private void fetch(Exchange exchange, String id, int startGeneration, Duration arrivedAt) {
      boolean stateHeld = servers.stream().anyMatch(m -> m.reader && m.held.contains(id));
      if (!stateHeld && completedReads.contains(id)) {
        recordAttemptEnd(id);
        exchange.respond(410, DECLINED, NONE);
        return;
      }
      StreamFault fault = streamRandom.nextDouble() < peers.oddStreams()
          ? StreamFault.values()[streamRandom.nextInt(StreamFault.values().length)] : null;
      boolean keepsState = fault != null && !fault.goesOn && streamRandom.nextDouble() < KEPT_STATE_SHARE;
      if (!keepsState) {
        servers.forEach(m -> m.release(id, true));
      }
      judge.audit.ran(arrivedAt, number, id, id, exchange.request().header("idempotency-key"));
      loop.after(Duration.ofMillis((stateHeld ? 15 : 70) + random.nextInt(30)), () -> {
        if (exchange.isOpen() && generation == startGeneration) {
          exchange.begin(200, Map.of("content-type", "text/event-stream"));
        }
        new Stream(exchange, id, startGeneration, fault, keepsState).writeEvent(0);
      });
    }

    private String content() {
      return "w".repeat(sizeRandom.nextDouble() < longEvents ? 1 + sizeRandom.nextInt(MAX_CONTENT_BYTES) : 1);
    }

    /** One answer that the server writes, with a fault in its midst or without one. */
    private final class Stream {
      private static final int EVENTS_BEFORE_FAULT = 4;

      private final Exchange exchange;
      private final String id;
      private final int startGeneration;
      private final StreamFault fault;
      private final boolean keepsState;
      private final StreamRecord streamRecord;

      Stream(Exchange exchange, String id, int startGeneration, StreamFault fault, boolean keepsState) {
        this.exchange = exchange;
        this.id = id;
        this.startGeneration = startGeneration;
        this.fault = fault;
        this.keepsState = keepsState;
        int port = ((InetSocketAddress) exchange.connection().getPeerAddress()).getPort();
        streamRecord = new StreamRecord(loop.now(), () -> silenceState.apply(port) != FaultProxy.SilenceState.NONE);
      }

      private boolean isOver() {
        if (exchange.isOpen() && generation == startGeneration) {
          return false;
        }
        streamRecord.endedByServer |= generation != startGeneration;
        recordAttemptEnd(id);
        exchange.terminate();
        return true;
      }

      private void writeEvent(int number) {
        if (isOver()) {
          return;
        } else if (number == 0) {
          judge.streamBegun(id, streamRecord);
          if (!keepsState) {
            servers.forEach(m -> m.release(id, true));  // the first event releases state that became held meanwhile
          }
        }
        if (fault == StreamFault.HUGE_CHUNK_AT_FIRST) {
          exchange.write(": spoilt from its first chunk\n");
          writeFault(0);
        } else if (fault != null && number == EVENTS_BEFORE_FAULT) {
          writeFault(0);
        } else if (number < EVENTS_PER_STREAM) {
          writeContent();
          loop.after(EVENT_INTERVAL, () -> writeEvent(number + 1));
        } else {
          writeLastEvents();
          end();
        }
      }

      private void writeContent() {
        streamRecord.lastEventAt = loop.now();
        Duration written = loop.now().minus(plantedFaults.contains(PlantedFault.OLD_EVENTS) ? PLANTED_EVENT_AGE : Duration.ZERO);
        exchange.write("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content() + "\"},\"finish_reason\":null}],\"at\":"
            + written.toNanos() / 1000 + "}\n\n");
      }

      private void writeLastEvents() {
        streamRecord.lastEventAt = loop.now();
        exchange.write("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":900,\"completion_tokens\":9,"
            + "\"prompt_tokens_details\":{\"cached_tokens\":128}}}\n\ndata: [DONE]\n\n");
      }

      private void end() {
        streamRecord.endedByServer = true;
        exchange.end();
        recordAttemptEnd(id);
      }

      /** Writes what belongs to the fault, and then goes on, or leaves the answer open. */
      private void writeFault(int next) {
        if (isOver()) {
          return;
        } else if (next == fault.writes().size()) {
          endFault();
          return;
        }
        StreamFault.Write write = fault.writes().get(next);
        whileOpen(loop.now().plus(write.pause()), () -> {
          boolean counts = fault.goesOn || write.form() == StreamFault.Form.EVENT;
          streamRecord.lastEventAt = counts ? loop.now() : streamRecord.lastEventAt;
          streamRecord.spoilt |= fault.spoilsAnswer();
          if (write.form() == StreamFault.Form.RAW) {
            exchange.connection().write(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, write.text()));
          } else {
            exchange.write(write.text());
          }
          writeFault(next + 1);
        });
      }

      private void endFault() {
        if (fault.goesOn) {
          writeEvent(EVENTS_BEFORE_FAULT + 1 < EVENTS_PER_STREAM ? EVENTS_BEFORE_FAULT + 1 : EVENTS_PER_STREAM);
        } else {
          if (fault == StreamFault.NO_LAST_CHUNK) {
            writeLastEvents();
          }
          whileOpen(loop.now().plus(LEFT_OPEN), this::end);
        }
      }

      /** Runs a task at a time unless the answer is over by then, which is noticed at once. */
      private void whileOpen(Duration at, Runnable task) {
        if (isOver()) {
          return;
        } else if (loop.now().compareTo(at) >= 0) {
          task.run();
        } else {
          Duration left = at.minus(loop.now());
          loop.after(left.compareTo(POLL_INTERVAL) < 0 ? left : POLL_INTERVAL, () -> whileOpen(at, task));
        }
      }
    }

    /**
     * Reports a server that has just started and gets far more load than it can take at this point of its slow start. The limit
     * adds a margin for random arrivals.
     */
    private void checkColdOverload(Duration now) {
      if (startedAt == null || now.minus(startedAt).compareTo(WARM_UP) > 0) {
        return;
      }
      coldAttempts.add(now);
      coldAttempts.removeIf(at -> now.minus(at).compareTo(OVERLOAD_WINDOW) > 0);
      double warmUpProgress = now.minus(startedAt).toMillis() / (double) WARM_UP.toMillis();
      double capacity = OVERLOAD_MULTIPLE * (START_CAPACITY + (1 - START_CAPACITY) * warmUpProgress) * ratePerServer
          * OVERLOAD_WINDOW.toMillis() / 1000;
      double limit = capacity + (capacity < 30 ? 3 * Math.sqrt(capacity) + 3 : 2 * Math.sqrt(capacity) + 2);
      if (coldAttempts.size() > limit) {
        judge.audit.tipped(now, number, OVERLOAD_WINDOW, coldAttempts.size() + " reqs, it can take " + Math.round(limit));
        coldAttempts.clear();
      }
    }

    private String json(int gateway) {
      return "{\"host\":\"s-" + number + "\",\"dial\":\"127.0.0.1:" + proxyPorts[gateway] + "\",\"site\":\"" + (number % 2 == 0 ? "a" : "b")
          + "\",\"class\":\"" + (reader ? "reading" : "writing") + "\",\"block\":" + number % 2 + ",\"health\":\"" + health
          + "\",\"share\":1.0,\"born_ms\":" + (startedWallClock == null ? 0 : startedWallClock.toEpochMilli()) + "}";
    }
  }

  /** The discovery service as one gateway sees it: a list and then updates on a long-lived response. */
  private final class Discovery {
    private final HttpServer server;
    private final List<Exchange> watches = new ArrayList<>();

    Discovery(Net net) throws IOException {
      server = HttpServer.open(loop, net, new InetSocketAddress("127.0.0.1", 0), ServerLimits.DEFAULT, (x, decoded) -> {
        x.begin(200, JSON);
        x.write(hosts(discoveries.indexOf(this)) + "\n");
        watches.add(x);
      });
    }

    void write(String text) {
      watches.removeIf(x -> !x.isOpen());
      watches.forEach(x -> x.write(text));
    }
  }

  InetSocketAddress discoveryAddress(int gateway) {
    return discoveries.get(gateway).server.address();
  }

  /** The list of model servers with the ports that a gateway uses, in the format of discovery. */
  String hosts(int gateway) {
    return "{\"seq\":" + sequence + ",\"whole\":true,\"hosts\":[" + String.join(",", servers.stream().map(m -> m.json(gateway)).toList())
        + "]}";
  }

  /** Sends the current state of a server to all gateways. */
  void publish(ModelServer server) {
    sequence++;
    for (int g = 0; g < discoveries.size(); g++) {
      discoveries.get(g).write("{\"seq\":" + sequence + ",\"whole\":false,\"hosts\":[" + server.json(g) + "]}\n");
    }
  }

  void close() {
    servers.forEach(m -> m.listeners.forEach(HttpServer::closeNow));
    discoveries.forEach(d -> d.server.closeNow());
  }
}
