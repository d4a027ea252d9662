package gapproxy.gateway;

import gapproxy.engine.EngineFailure;
import gapproxy.http.BufferedResponseListener;
import gapproxy.http.HttpClient;
import gapproxy.runtime.ManualLoop;
import gapproxy.runtime.Net;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Simulated model servers on virtual time that hold states and reservations. Depending on a seed, messages, answers and closes are delayed
 * by up to a second, lost, or cut off together with their server. The servers record what they hold, and report a violation if something
 * stays held past the release time; that time runs from the last outcome or hold while no attempt of the req is in flight.
 */
final class FakeHoldingServers implements Servers {
  private static final Duration MAX_DELAY = Duration.ofSeconds(1), READ_WAIT = Duration.ofMillis(300), SLACK = Duration.ofMillis(300),
      MIN_PARTITION = Duration.ofSeconds(1);
  /** With more consecutive failures of release calls, no gateway could release in time. */
  private static final int MAX_CONSECUTIVE_FAILED_RELEASES = 2;

  /** How these servers behave where the protocol leaves it open. */
  record Behavior(boolean releaseSparesWaitingWrites, boolean releaseSparesActiveReads, boolean keepsSparedState, boolean closesArriveLate,
      double lossProbability, double delayProbability, double readErrorProbability, double writeWaitProbability,
      double partitionWhileWaitingProbability) {
    /** Draws a random behavior. */
    static Behavior draw(SplittableRandom random) {
      return new Behavior(random.nextInt(4) > 0, random.nextBoolean(), random.nextInt(4) > 0, random.nextBoolean(), random.nextInt(3) * 0.1,
          random.nextInt(3) * 0.1, random.nextInt(2) * 0.08, random.nextInt(3) * 0.3,
          random.nextInt(2) * 0.3);
    }
  }

  /** The state of one req at all servers. */
  private static final class ReqState {
    /** By server port: since when the server holds a resource, or since the last attempt was over if that was later. */
    final Map<Integer, Duration> heldSinceByPort = new HashMap<>();
    /** Attempts that have arrived and are not over. */
    final Set<Object> activeAttempts = new HashSet<>();
    /** Writes that have arrived and wait for their state. */
    final Set<Object> waitingWrites = new HashSet<>();
    int activeReads, releaseCalls, consecutiveFailedReleases;
    boolean readFinished, releaseSpared;
  }

  /** One attempt on its own connection. */
  private static final class SimulatedAttempt {
    final int port;
    boolean closed, cutOff;
    /** Whether its answer is lost. */
    boolean responseLost;
    Runnable onClose = () -> { };

    SimulatedAttempt(int port) {
      this.port = port;
    }
  }

  private final ManualLoop loop;
  private final SplittableRandom random;
  private final Behavior behavior;
  private final Duration releaseTime;
  private final Map<String, ReqState> reqStates = new HashMap<>();
  private final Map<Integer, Duration> partitionedUntil = new HashMap<>();
  /** By server port: when data last arrived from the server. */
  private final Map<Integer, Duration> lastHeardByPort = new HashMap<>();
  final List<String> violations = new ArrayList<>();

  FakeHoldingServers(ManualLoop loop, SplittableRandom random, Behavior behavior, Duration releaseTime) {
    this.loop = loop;
    this.random = random;
    this.behavior = behavior;
    this.releaseTime = releaseTime;
  }

  int maxReleaseCalls() {
    return reqStates.values().stream().mapToInt(reqState -> reqState.releaseCalls).max().orElse(0);
  }

  /**
   * Cuts a server off from the gateway unless a server is cut off already. Its open connections are silent until the partition ends, and
   * are then reset.
   */
  void partition(int port, Duration duration) {
    if (partitionedUntil.keySet().stream().allMatch(cutOffPort -> partitionRemaining(cutOffPort) == null)) {
      partitionedUntil.put(port, loop.now().plus(duration));
    }
  }

  /** Checks how long the resources that are still held have been held. */
  void checkRemaining() {
    reqStates.forEach((id, reqState) -> List.copyOf(reqState.heldSinceByPort.keySet()).forEach(port -> checkHeldTime(id, reqState, port)));
  }

  private Duration partitionRemaining(int port) {
    Duration until = partitionedUntil.get(port);
    return until == null || until.compareTo(loop.now()) <= 0 ? null : until.minus(loop.now());
  }

  private Duration randomMillis(int max) {
    return Duration.ofNanos(random.nextLong(max * 1_000_000L) + 1000);
  }

  private Duration randomLatency() {
    return random.nextDouble() < behavior.delayProbability ? randomMillis((int) MAX_DELAY.toMillis()) : randomMillis(5);
  }

  // Held resources

  private void startHolding(String id, int port) {
    ReqState reqState = reqStates.get(id);
    reqState.heldSinceByPort.putIfAbsent(port, loop.now());
  }

  private void checkHeldTime(String id, ReqState reqState, int port) {
    Duration since = reqState.heldSinceByPort.get(port);
    if (since != null && reqState.activeAttempts.isEmpty() && loop.now().minus(since).compareTo(releaseTime.plus(SLACK)) > 0) {
      violations.add(id + " at " + port + " was held " + loop.now().minus(since).toMillis() + " ms until " + loop.now().toMillis() + " ms");
    }
  }

  private void releaseAll(String id) {
    ReqState reqState = reqStates.get(id);
    List.copyOf(reqState.heldSinceByPort.keySet()).forEach(port -> checkHeldTime(id, reqState, port));
    reqState.heldSinceByPort.clear();
    reqState.releaseSpared = false;
  }

  private void attemptArrived(String id, Object attempt) {
    ReqState reqState = reqStates.get(id);
    reqState.heldSinceByPort.keySet().forEach(port -> checkHeldTime(id, reqState, port));
    reqState.activeAttempts.add(attempt);
  }

  private void attemptOver(String id, Object attempt) {
    ReqState reqState = reqStates.get(id);
    reqState.waitingWrites.remove(attempt);
    if (reqState.activeAttempts.remove(attempt) && reqState.activeAttempts.isEmpty()) {
      reqState.heldSinceByPort.replaceAll((port, since) -> loop.now());
    }
    if (reqState.releaseSpared && reqState.waitingWrites.isEmpty() && !behavior.keepsSparedState) {
      releaseAll(id);
    }
  }

  /** Finishes an attempt. It is over for its server even if its answer is lost. */
  private void finishAttempt(String id, SimulatedAttempt attempt, Runnable callback) {
    attemptOver(id, attempt);
    if (!attempt.closed && !attempt.responseLost && partitionRemaining(attempt.port) == null) {
      loop.after(randomMillis(3), () -> {
        if (!attempt.closed) {
          lastHeardByPort.put(attempt.port, loop.now());
          callback.run();
        }
      });
    }
  }

  // Calls

  private HttpClient.Call call(SimulatedAttempt attempt, String id) {
    Net net = new Net() {
      @Override
      public Port listen(InetSocketAddress address, Supplier<List<org.glassfish.grizzly.filterchain.Filter>> filters) {
        throw new UnsupportedOperationException();
      }

      @Override
      public void connect(InetSocketAddress address, Supplier<List<org.glassfish.grizzly.filterchain.Filter>> filters,
          ConnectListener listener) {
        listener.connecting(() -> close(attempt));
      }

      @Override
      public void setReading(org.glassfish.grizzly.Connection<?> connection, boolean enabled) {
      }
    };
    return new HttpClient(new ManualLoop(), net, Duration.ofSeconds(1)).call(new InetSocketAddress("127.0.0.1", 9), "GET", "/", Map.of(),
        new byte[0], Duration.ofDays(1), new BufferedResponseListener(1, (status, headers, body, failure, reason) -> { }));
  }

  /** Closes an attempt on the gateway's side. Its server sees the close at once, late, or when the server can be reached again. */
  private void close(SimulatedAttempt attempt) {
    attempt.closed = true;
    Duration cutRemaining = partitionRemaining(attempt.port);
    Duration closeDelay = (cutRemaining == null ? Duration.ZERO : cutRemaining)
        .plus(behavior.closesArriveLate ? randomMillis((int) MAX_DELAY.toMillis()) : randomMillis(2));
    loop.after(closeDelay, () -> attempt.onClose.run());
  }

  /** Sends an attempt. It is lost on a silent connection or in a partition, or arrives after a delay. */
  private HttpClient.Call send(InetSocketAddress address, String id, SendListener listener, BiConsumer<SimulatedAttempt, ReqState> arrived,
      Consumer<EngineFailure> broken) {
    SimulatedAttempt attempt = new SimulatedAttempt(address.getPort());
    ReqState reqState = reqStates.computeIfAbsent(id, i -> new ReqState());
    boolean lost = random.nextDouble() < behavior.lossProbability;
    attempt.responseLost = random.nextDouble() < behavior.lossProbability;
    Duration delay = randomLatency();
    loop.after(randomMillis(2), () -> {
      if (attempt.closed || !listener.shouldSend()) {
        return;
      }
      listener.sent();
      Duration cutRemaining = partitionRemaining(attempt.port);
      // A connection to a server that is cut off is reset when the partition ends.
      if (cutRemaining != null) {
        loop.after(cutRemaining.plus(randomMillis(50)), () -> {
          if (!attempt.closed) {
            broken.accept(new EngineFailure(EngineFailure.Kind.BROKEN, 0, new byte[0], "reset after a cut"));
          }
        });
      } else if (!lost) {
        loop.after(delay, () -> {
          boolean closedFirst = attempt.closed && !behavior.closesArriveLate;
          if (!closedFirst && partitionRemaining(attempt.port) == null) {
            attemptArrived(id, attempt);
            arrived.accept(attempt, reqState);
          }
        });
      }
    });
    return call(attempt, id);
  }

  @Override
  public HttpClient.Call read(InetSocketAddress address, String id, ClientReq client, Duration timeout, ReadListener listener) {
    return send(address, id, listener, (attempt, reqState) -> {
      if (random.nextDouble() < behavior.readErrorProbability) {
        boolean leavesState = random.nextBoolean();
        if (leavesState) {
          reqState.readFinished = true;
          startHolding(id, attempt.port);
        }
        finishAttempt(id, attempt, () -> listener.failed(leavesState ? new EngineFailure(EngineFailure.Kind.ERROR, 500, new byte[0], "500")
            : new EngineFailure(EngineFailure.Kind.FULL, 503, new byte[0], "declined")));
        return;
      }
      reqState.activeReads++;
      loop.after(randomMillis(120), () -> {
        reqState.activeReads--;
        reqState.readFinished = true;
        startHolding(id, attempt.port);
        finishAttempt(id, attempt, () -> listener.readDone("", 0, 900));
      });
    }, listener::failed);
  }

  @Override
  public HttpClient.Call write(InetSocketAddress address, String id, ClientReq client, Duration timeout, String reservationId,
      Object state, WriteListener listener) {
    return send(address, id, listener, (attempt, reqState) -> {
      reqState.waitingWrites.add(attempt);
      boolean[] started = new boolean[1];
      attempt.onClose = () -> {
        if (!started[0]) {
          started[0] = true;
          attemptOver(id, attempt);
        }
      };
      boolean waits = random.nextDouble() < behavior.writeWaitProbability;
      if (waits && random.nextDouble() < behavior.partitionWhileWaitingProbability) {
        loop.after(randomMillis(300), () -> partition(attempt.port, MIN_PARTITION.plus(randomMillis(3000))));
      }
      loop.after(waits ? randomMillis(4000) : randomMillis(10), () -> {
        if (started[0]) {
          return;
        }
        started[0] = true;
        reqState.waitingWrites.remove(attempt);
        if (state != null && reqState.heldSinceByPort.isEmpty()) {
          finishAttempt(id, attempt, () -> listener.failed(new EngineFailure(EngineFailure.Kind.NO_STATE, 410, new byte[0], "no state")));
          return;
        }
        // The write has consumed the held state.
        releaseAll(id);
        finishAttempt(id, attempt, () -> {
          listener.chunk("first", true);
          listener.done();
        });
      });
    }, listener::failed);
  }

  @Override
  public void reserve(InetSocketAddress address, String id, ClientReq client, Duration timeout, ReservationListener listener) {
    int port = address.getPort();
    ReqState reqState = reqStates.computeIfAbsent(id, i -> new ReqState());
    boolean lost = random.nextDouble() < behavior.lossProbability || partitionRemaining(port) != null;
    boolean[] done = new boolean[1];
    Consumer<ReservationResult> answer = result -> loop.after(randomMillis(3), () -> {
      if (!done[0]) {
        done[0] = true;
        listener.answered(result);
      }
    });
    loop.after(timeout, () -> {
      if (!done[0]) {
        done[0] = true;
        listener.answered(ReservationResult.UNANSWERED);
      }
    });
    if (!listener.shouldSend() || lost) {
      return;
    }
    loop.after(randomLatency(), () -> {
      if (reqState.activeReads > 0) {
        boolean room = random.nextInt(10) > 0;
        if (room) {
          startHolding(id, port);
        }
        answer.accept(room ? ReservationResult.HELD : ReservationResult.NOT_HELD);
      } else {
        boolean holds = random.nextBoolean();
        loop.after(READ_WAIT, () -> {
          if (holds) {
            startHolding(id, port);
          }
          answer.accept(ReservationResult.NOT_KNOWN);
        });
      }
    });
  }

  @Override
  public void release(InetSocketAddress address, String id, Duration timeout, boolean newConnection, ReleaseListener listener) {
    ReqState reqState = reqStates.computeIfAbsent(id, i -> new ReqState());
    reqState.releaseCalls++;
    boolean cutOff = partitionRemaining(address.getPort()) != null;
    boolean fails = !cutOff && reqState.consecutiveFailedReleases < MAX_CONSECUTIVE_FAILED_RELEASES
        && random.nextDouble() < behavior.lossProbability + behavior.delayProbability;
    reqState.consecutiveFailedReleases = fails || cutOff ? reqState.consecutiveFailedReleases + 1 : 0;
    boolean[] done = new boolean[1];
    loop.after(timeout, () -> {
      if (!done[0]) {
        done[0] = true;
        listener.releaseEnded(false);
      }
    });
    // A call on a new connection is never lost unless the server is cut off; only open connections stop carrying data.
    if (cutOff || fails && !newConnection && random.nextBoolean()) {
      return;
    }
    loop.after(fails ? randomMillis((int) MAX_DELAY.toMillis()) : randomMillis(5), () -> {
      boolean spares = behavior.releaseSparesWaitingWrites && !reqState.waitingWrites.isEmpty()
          || behavior.releaseSparesActiveReads && reqState.activeReads > 0;
      reqState.releaseSpared |= spares;
      if (!spares) {
        releaseAll(id);
      }
      loop.after(randomMillis(5), () -> {
        if (!done[0]) {
          done[0] = true;
          lastHeardByPort.put(address.getPort(), loop.now());
          listener.releaseEnded(true);
        }
      });
    });
  }

  @Override
  public void probe(InetSocketAddress address, BiConsumer<double[], EngineFailure> listener) {
    boolean answers = partitionRemaining(address.getPort()) == null;
    loop.after(answers ? randomMillis(5) : Duration.ofMillis(250), () -> listener.accept(new double[4],
        answers ? null : new EngineFailure(EngineFailure.Kind.NO_CONNECTION, 0, new byte[0], "cut off")));
  }

  @Override
  public Duration lastReceivedAt(InetSocketAddress from) {
    return lastHeardByPort.get(from.getPort());
  }

  @Override
  public boolean reservationProvesRead() {
    return true;
  }

  @Override
  public void forget(InetSocketAddress address) {
  }

  @Override
  public void close() {
  }
}
