package gapproxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.api.Settings.Role;
import gapproxy.engine.EngineFailure;
import gapproxy.http.HttpClient;
import gapproxy.runtime.LiveLoop;
import gapproxy.trace.Metrics;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;

/** Which servers are called for a release, and in which order, while a partition cuts some of them off. */
class ReleasesTest {
  private static final Duration RELEASE_TIME = Duration.ofMillis(200);

  private final Metrics metrics = new Metrics();

  private Releases releases(Servers servers, LiveLoop loop, List<List<InetSocketAddress>> others) {
    return new Releases(servers, loop, RELEASE_TIME, server -> others, metrics, new Releases.Listener() {
      @Override
      public void releaseAcknowledged(HeldResourceLedger ledger, Duration releaseStartedAt, InetSocketAddress server) {
      }

      @Override
      public void serverReachable(InetSocketAddress server) {
      }

      @Override
      public void ended(HeldResourceLedger ledger) {
      }

      @Override
      public void releaseGivenUp(HeldResourceLedger ledger) {
      }
    });
  }

  /** A ledger with an entry for server 1, which has not answered the call that caused the entry. */
  private static HeldResourceLedger ledger(LiveLoop loop) {
    Req req = new Req(1, "r", new GatewayHarness.FakeReq("x", Duration.ofSeconds(1)), loop.now());
    HeldResourceLedger ledger = new HeldResourceLedger(req, "x", true);
    ledger.recordMayHold(new Fleet.Server(GatewayHarness.entry(1, "reading", "READY", null), 0, 0, Role.READ, null), loop.now(),
        loop.now(), false);
    return ledger;
  }

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  /** Servers of which only number 6 can be reached. The higher a server's number, the more recently it was heard from. */
  private static final class PartitionedServers implements Servers {
    private final List<Integer> calledPorts = new ArrayList<>();
    private final List<Boolean> newConnectionFlags = new ArrayList<>();
    private final CountDownLatch releaseReached = new CountDownLatch(1);

    @Override
    public List<InetSocketAddress> mostReachableFirst(List<InetSocketAddress> addresses) {
      return addresses.stream().sorted((a, b) -> b.getPort() - a.getPort()).toList();
    }

    @Override
    public void release(InetSocketAddress address, String id, Duration timeout, boolean newConnection, ReleaseListener listener) {
      calledPorts.add(address.getPort());
      newConnectionFlags.add(newConnection);
      if (address.getPort() == 6) {
        releaseReached.countDown();
        listener.releaseEnded(true);
      }
    }

    @Override
    public HttpClient.Call read(InetSocketAddress address, String id, ClientReq client, Duration timeout, ReadListener listener) {
      throw new UnsupportedOperationException();
    }

    @Override
    public HttpClient.Call write(InetSocketAddress address, String id, ClientReq client, Duration timeout, String reservationId,
        Object state,
        WriteListener listener) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void probe(InetSocketAddress address, BiConsumer<double[], EngineFailure> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void reserve(InetSocketAddress address, String id, ClientReq client, Duration timeout, ReservationListener listener) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void forget(InetSocketAddress address) {
    }

    @Override
    public void close() {
    }
  }

  /**
   * The most recently heard servers are cut off together with the one that holds the state. A server in another zone can be reached and
   * must be called in time.
   */
  @Test
  void releaseReachesAnotherZoneWhenRecentlyHeardServersAreCutOff() throws Exception {
    LiveLoop loop = new LiveLoop("held");
    PartitionedServers servers = new PartitionedServers();
    Releases releases = releases(servers, loop, List.of(List.of(address(9), address(8), address(7)), List.of(address(6), address(2))));
    loop.execute(() -> releases.begin(ledger(loop)));
    boolean inTime = servers.releaseReached.await(RELEASE_TIME.toMillis(), TimeUnit.MILLISECONDS);
    List<Integer> calledPorts = new ArrayList<>();
    loop.runAndWait(() -> calledPorts.addAll(servers.calledPorts));
    loop.close();
    assertEquals(List.of(1, 9, 6), calledPorts);
    assertEquals(List.of(false, true, false), servers.newConnectionFlags,
        "every second call opens a connection, as all open ones may have stopped carrying data at once");
    assertEquals(true, inTime);
  }

  @Test
  void mostRecentlyHeardServerReleasesForCutOffServer() throws Exception {
    LiveLoop loop = new LiveLoop("held");
    PartitionedServers servers = new PartitionedServers();
    List<InetSocketAddress> others = List.of(address(2), address(3), address(4), address(5), address(6));
    Releases releases = releases(servers, loop, List.of(others));
    loop.execute(() -> releases.begin(ledger(loop)));
    boolean inTime = servers.releaseReached.await(RELEASE_TIME.toMillis(), TimeUnit.MILLISECONDS);
    List<Integer> calledPorts = new ArrayList<>();
    loop.runAndWait(() -> calledPorts.addAll(servers.calledPorts));
    loop.close();
    assertEquals(List.of(1, 6), calledPorts);
    assertEquals(true, inTime);
  }

  /** Four calls, one after another, all went to servers that could not be reached. */
  @Test
  void releaseReachesTheLastServersThatAreLeftInTime() throws Exception {
    LiveLoop loop = new LiveLoop("held");
    PartitionedServers servers = new PartitionedServers();
    List<List<InetSocketAddress>> others = List.of(List.of(address(9), address(8)), List.of(address(5)), List.of(address(4)),
        List.of(address(3)), List.of(address(6)));
    Releases releases = releases(servers, loop, others);
    loop.execute(() -> releases.begin(ledger(loop)));
    boolean inTime = servers.releaseReached.await(RELEASE_TIME.toMillis(), TimeUnit.MILLISECONDS);
    List<Integer> calledPorts = new ArrayList<>();
    loop.runAndWait(() -> calledPorts.addAll(servers.calledPorts));
    loop.close();
    assertEquals(List.of(1, 9, 5, 4, 3, 6), calledPorts);
    assertEquals(true, inTime);
  }

  /** The first call went to the server that had not answered, though the state was held by one that answered a moment before. */
  @Test
  void releaseCallsTheServerFirstThatWasHeardLast() throws Exception {
    LiveLoop loop = new LiveLoop("held");
    PartitionedServers servers = new PartitionedServers();
    Releases releases = releases(servers, loop, List.of(List.of(address(9))));
    loop.execute(() -> {
      HeldResourceLedger ledger = ledger(loop);
      ledger.recordMayHold(new Fleet.Server(GatewayHarness.entry(6, "reading", "READY", null), 0, 0, Role.READ, null), loop.now(),
          loop.now().plusSeconds(1), true);
      releases.begin(ledger);
    });
    boolean inTime = servers.releaseReached.await(RELEASE_TIME.toMillis(), TimeUnit.MILLISECONDS);
    List<Integer> calledPorts = new ArrayList<>();
    loop.runAndWait(() -> calledPorts.addAll(servers.calledPorts));
    loop.close();
    assertEquals(6, calledPorts.get(calledPorts.size() - 1));
    assertEquals(true, inTime);
    assertTrue(calledPorts.size() <= 2, "called " + calledPorts);
  }
}
