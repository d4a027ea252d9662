package gapproxy.gateway;

import gapproxy.runtime.Loop;
import gapproxy.trace.Metrics;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes the calls that release what a {@link HeldResourceLedger} says may be held. A round of calls ends with the first acknowledgement.
 * Without one it continues for half a minute, after which servers expire their held resources by themselves. Until a resource is released
 * or expires, it takes memory from all other reqs of its server.
 */
final class Releases {
  private static final Logger LOG = LoggerFactory.getLogger(Releases.class);
  /** How many slower tries follow those within the release time; they cover half a minute at a release time of one second. */
  private static final int LATER_TRIES = 75;
  /** Consecutive failed calls after which a server counts as unreachable; the second of them opens a new connection. */
  private static final int UNREACHABLE_AFTER_FAILURES = 2;

  /** Receives the outcome of release calls. */
  interface Listener {
    /**
     * A server acknowledged a release.
     *
     * @param releaseStartedAt when the release was started
     */
    void releaseAcknowledged(HeldResourceLedger ledger, Duration releaseStartedAt, InetSocketAddress server);

    /** A server that had not answered does so again. */
    void serverReachable(InetSocketAddress server);

    /** No more calls are in flight for a ledger: one was acknowledged, or the ledger no longer waits for an unreachable server. */
    void ended(HeldResourceLedger ledger);

    /** A release failed for so long that it is given up. */
    void releaseGivenUp(HeldResourceLedger ledger);
  }

  private final Servers servers;
  private final Function<InetSocketAddress, List<List<InetSocketAddress>>> otherServers;
  private final Loop loop;
  private final Duration releaseTime, tryInterval;
  private final Metrics metrics;
  private final Listener listener;
  private final Map<InetSocketAddress, UnresponsiveServer> unresponsiveServers = new HashMap<>();
  private final Map<HeldResourceLedger, ReleaseRound> rounds = new HashMap<>();
  private Acknowledgement lastAcknowledgement;

  /** The last release that a server acknowledged. */
  private record Acknowledgement(InetSocketAddress server, Duration at) {}

  /**
   * @param otherServers returns, for a server, the others that can release in its place what is held under an id that the client gave;
   * those that one network partition would cut off together form a group
   */
  Releases(Servers servers, Loop loop, Duration releaseTime, Function<InetSocketAddress, List<List<InetSocketAddress>>> otherServers,
      Metrics metrics, Listener listener) {
    this.servers = servers;
    this.otherServers = otherServers;
    this.loop = loop;
    this.releaseTime = releaseTime;
    this.metrics = metrics;
    this.listener = listener;
    tryInterval = releaseTime.dividedBy(ReleaseFanOutPolicy.WAVES_IN_TIME + 1);
  }

  /**
   * Starts a round of calls unless one is in progress. A ledger that needs nothing but the acknowledgement of an unreachable server starts
   * no round; it waits until that server answers.
   */
  void begin(HeldResourceLedger ledger) {
    if (ledger.releaseInProgress) {
      return;
    }
    ledger.releaseInProgress = true;
    boolean waitsForServerOnly = ledger.releaseCoversAll() && ledger.mayActUntil().compareTo(ledger.lastReleaseStartedAt()) <= 0;
    UnresponsiveServer unreachableServer = waitsForServerOnly
        ? ledger.serversToRelease().stream().map(unresponsiveServers::get).filter(s -> s != null && s.unreachable())
            .findFirst().orElse(null)
        : null;
    if (unreachableServer != null) {
      unreachableServer.add(ledger);
    } else {
      ReleaseRound round = new ReleaseRound(ledger);
      rounds.put(ledger, round);
      round.begin();
    }
  }

  /** Makes no further calls for a ledger, since what it records is of use again. Calls in flight can't be taken back. */
  void cancel(HeldResourceLedger ledger) {
    ReleaseRound round = rounds.get(ledger);
    if (round != null) {
      round.done = true;
      endRound(ledger);
    }
  }

  /** Ends the wait for unreachable servers, since something new may be held under the ledger's id. */
  void resume(HeldResourceLedger ledger) {
    List.copyOf(unresponsiveServers.values()).forEach(s -> s.remove(ledger));
  }

  /** Ends all waits for an address that is no longer in use. */
  void forgetServer(InetSocketAddress address) {
    UnresponsiveServer server = unresponsiveServers.remove(address);
    if (server != null) {
      server.removeAll().forEach(this::endRound);
    }
  }

  private ReleaseCall call(HeldResourceLedger ledger, InetSocketAddress address, Duration timeout, boolean newConnection,
      Consumer<Boolean> callback) {
    Duration startedAt = loop.now();
    boolean repeated = ledger.lastReleaseStartedAt() != null && ledger.mayHoldBesidesAttempts();
    ReleaseCall call = new ReleaseCall(address, newConnection || repeated || unresponsiveServers.containsKey(address), startedAt);
    LOG.atDebug().addKeyValue("request_id", ledger.id).addKeyValue("server", address).log("release sent");
    servers.release(address, ledger.id, timeout, call.newConnection, acknowledged -> {
      call.ended(acknowledged, loop.now());
      LOG.atDebug().addKeyValue("request_id", ledger.id).addKeyValue("call", call).log("release answered");
      metrics.release(acknowledged);
      if (acknowledged) {
        serverAcknowledged(address);
        listener.releaseAcknowledged(ledger, startedAt, address);
      } else if (!heardSince(address, startedAt)) {
        unresponsiveServers.computeIfAbsent(address, UnresponsiveServer::new).recordFailure(startedAt);
      }
      callback.accept(acknowledged);
    });
    return call;
  }

  private boolean isUnreachable(InetSocketAddress address) {
    UnresponsiveServer server = unresponsiveServers.get(address);
    return server != null && server.unreachable() && !heardSince(address, server.lastFailedAt);
  }

  private boolean heardSince(InetSocketAddress from, Duration startedAt) {
    Duration lastHeardAt = servers.lastReceivedAt(from);
    return lastHeardAt != null && lastHeardAt.compareTo(startedAt) > 0;
  }

  private void serverAcknowledged(InetSocketAddress by) {
    UnresponsiveServer server = unresponsiveServers.remove(by);
    lastAcknowledgement = new Acknowledgement(by, loop.now());
    if (server != null) {
      listener.serverReachable(by);
      server.removeAll().forEach(this::endRound);
    }
  }

  /**
   * Makes waves of release calls until one call is acknowledged.
   *
   * <p>The waves within the release time overlap, and each call may take the whole release time: otherwise an engine that is slow to accept
   * connections would see only calls that are abandoned too early. Later calls follow one another until a server answers again. Every second
   * call opens a new connection, since all open ones may have stopped carrying data at the same moment while new ones work.
   *
   * <p>The other servers are called in rotation over their groups, in each group the one that is most likely reachable first: a partition
   * cuts off many servers at once, and the server that holds the state is one of them.
   */
  private final class ReleaseRound {
    private final HeldResourceLedger ledger;
    private final List<ReleaseCall> callsMade = new ArrayList<>();
    /**
     * The servers that the ledger names for the release, see {@link HeldResourceLedger#serversToRelease}. Where any server can release, the
     * one that is most likely reachable comes first, since a server that has not answered may be the one that is cut off.
     */
    private final List<InetSocketAddress> ownServers;
    private boolean done;
    private int waves, othersCalled;

    ReleaseRound(HeldResourceLedger ledger) {
      this.ledger = ledger;
      Set<InetSocketAddress> ordered = new LinkedHashSet<>();
      if (ledger.releasableAnywhere) {
        ordered.addAll(servers.mostReachableFirst(ledger.servers()).subList(0, 1));
      }
      ordered.addAll(ledger.serversToRelease());
      ownServers = List.copyOf(ordered);
    }

    void begin() {
      ownServers.stream().skip(1).filter(ownServer -> !ledger.releasableAnywhere || ledger.needsAcknowledgementOf(ownServer, loop.now()))
          .filter(ownServer -> !passesOver(ownServer)).forEach(ownServer -> callInTime(ownServer, false));
      next();
    }

    /** Whether a server is not called within the release time, as it is known to be unreachable and others can release in its place. */
    private boolean passesOver(InetSocketAddress ownServer) {
      return ledger.releasableAnywhere && isUnreachable(ownServer) && !otherServers.apply(ownServer).isEmpty();
    }

    private void next() {
      if (done) {
        return;
      }
      waves++;
      if (waves <= ReleaseFanOutPolicy.WAVES_IN_TIME) {
        callInTime();
        loop.after(tryInterval, this::next);
        return;
      } else if (waves == ReleaseFanOutPolicy.WAVES_IN_TIME + 1 && !ledger.releaseOverdue) {
        reportOverdue();
      } else if (waves > ReleaseFanOutPolicy.WAVES_IN_TIME + LATER_TRIES) {
        done = true;
        giveUp(ledger);
        return;
      }
      call(ledger, laterTarget(), tryInterval.multipliedBy(2), waves % 2 == 0, this::answered);
      loop.after(tryInterval.multipliedBy(2), this::next);
    }

    /** Makes the calls of one wave within the release time. */
    private void callInTime() {
      InetSocketAddress ownServer = ownServers.get(0);
      List<List<InetSocketAddress>> groups = ledger.releasableAnywhere ? otherServers.apply(ownServer) : List.of();
      boolean passedOver = passesOver(ownServer);
      if (waves == 1 && !passedOver || groups.isEmpty()) {
        callInTime(ownServer, waves % 2 == 0);
      }
      int others = groups.isEmpty() ? 0 : ReleaseFanOutPolicy.otherServers(new ReleaseFanOutPolicy.Wave(waves, passedOver));
      int known = groups.stream().mapToInt(List::size).sum();
      for (int i = 0; i < others && othersCalled < 2 * known && !done; i++) {
        callInTime(otherTarget(groups), callsMade.size() % 2 == 1);
      }
    }

    private void callInTime(InetSocketAddress target, boolean newConnection) {
      callsMade.add(call(ledger, target, releaseTime, newConnection, this::answered));
    }

    private void reportOverdue() {
      ledger.releaseOverdue = true;
      metrics.lateRelease();
      LOG.atWarn().addKeyValue("request_id", ledger.id).addKeyValue("held_at", ownServers.get(0)).addKeyValue("calls", callsMade.size())
          .addKeyValue("may_hold", ledger.describe(loop.now())).addKeyValue("made", callsMade)
          .log("no server acknowledged the release in time; retrying at longer intervals");
    }

    private void answered(boolean acknowledged) {
      if (acknowledged && !done) {
        done = true;
        if (waves > 1) {
          LOG.atWarn().addKeyValue("request_id", ledger.id).addKeyValue("made", callsMade).log("the first call of a release was not acknowledged");
        }
        endRound(ledger);
      }
    }

    /**
     * Selects the server for the next call to another one than the holding server: the one that acknowledged a release last, if that was
     * within the release time, and then one after the other, rotating over their groups.
     */
    private InetSocketAddress otherTarget(List<List<InetSocketAddress>> groups) {
      boolean recent = lastAcknowledgement != null && loop.now().minus(lastAcknowledgement.at).compareTo(releaseTime) < 0
          && groups.stream().anyMatch(group -> group.contains(lastAcknowledgement.server));
      int index = othersCalled++;
      if (recent && index == 0) {
        return lastAcknowledgement.server;
      }
      return targetAt(groups, recent ? index - 1 : index);
    }

    private InetSocketAddress targetAt(List<List<InetSocketAddress>> groups, int index) {
      List<InetSocketAddress> group = servers.mostReachableFirst(groups.get(index % groups.size()));
      return group.get(index / groups.size() % group.size());
    }

    /** Selects the server for a later, slower call: in turns the holding server and one of the others, if these can release the id. */
    private InetSocketAddress laterTarget() {
      InetSocketAddress ownServer = ownServers.get(0);
      List<List<InetSocketAddress>> groups = ledger.releasableAnywhere && waves % 2 == 0 ? otherServers.apply(ownServer) : List.of();
      return groups.isEmpty() ? ownServer : targetAt(groups, othersCalled++);
    }
  }

  /** One call that releases what is held under an id, for logs. */
  private static final class ReleaseCall {
    private final InetSocketAddress server;
    private final boolean newConnection;
    private final Duration startedAt;
    private Duration endedAt;
    private boolean acknowledged;

    ReleaseCall(InetSocketAddress server, boolean newConnection, Duration startedAt) {
      this.server = server;
      this.newConnection = newConnection;
      this.startedAt = startedAt;
    }

    void ended(boolean isAcknowledged, Duration now) {
      acknowledged = isAcknowledged;
      endedAt = now;
    }

    @Override
    public String toString() {
      return server + (newConnection ? " on a new connection" : " on a pooled connection") + " at " + startedAt.toMillis() + " ms: "
          + (endedAt == null ? "no answer yet"
              : (acknowledged ? "acknowledged" : "failed") + " after " + endedAt.minus(startedAt).toMillis() + " ms");
    }
  }

  /** A server that does not answer, and the ledgers that wait until it does. One call at a time is made on behalf of all of them. */
  private final class UnresponsiveServer {
    private final InetSocketAddress address;
    private final Set<HeldResourceLedger> waitingLedgers = new LinkedHashSet<>();
    private Loop.Timer timer;
    private Duration lastFailedAt = Duration.ZERO, lastCountedAt = Duration.ZERO;
    private int failures, calls;

    UnresponsiveServer(InetSocketAddress address) {
      this.address = address;
    }

    /** Records a call that got no answer. Calls that were in flight at the same time count as one failure. */
    void recordFailure(Duration startedAt) {
      lastFailedAt = loop.now();
      if (failures == 0 || startedAt.compareTo(lastCountedAt) >= 0) {
        failures++;
        lastCountedAt = lastFailedAt;
      }
    }

    boolean unreachable() {
      return failures >= UNREACHABLE_AFTER_FAILURES;
    }

    void add(HeldResourceLedger ledger) {
      // A shutdown does not wait for a server that cannot be reached.
      ledger.releaseOverdue = true;
      waitingLedgers.add(ledger);
      calls = 0;
      if (timer == null) {
        next();
      }
    }

    void remove(HeldResourceLedger ledger) {
      if (waitingLedgers.remove(ledger)) {
        endRound(ledger);
      }
    }

    private void next() {
      timer = null;
      if (unresponsiveServers.get(address) != this || waitingLedgers.isEmpty()) {
        return;
      }
      calls++;
      if (calls > LATER_TRIES) {
        removeAll().forEach(Releases.this::giveUp);
        return;
      }
      timer = loop.after(tryInterval.multipliedBy(2), this::next);
      call(waitingLedgers.iterator().next(), address, tryInterval.multipliedBy(2), true, acknowledged -> { });
    }

    List<HeldResourceLedger> removeAll() {
      List<HeldResourceLedger> all = List.copyOf(waitingLedgers);
      waitingLedgers.clear();
      return all;
    }
  }

  private void endRound(HeldResourceLedger ledger) {
    rounds.remove(ledger);
    ledger.releaseInProgress = false;
    listener.ended(ledger);
  }

  private void giveUp(HeldResourceLedger ledger) {
    LOG.atWarn().addKeyValue("engine", ledger.serversToRelease()).addKeyValue("id", ledger.id)
        .log("giving up a release: no server acknowledged it");
    rounds.remove(ledger);
    ledger.releaseInProgress = false;
    listener.releaseGivenUp(ledger);
  }
}
