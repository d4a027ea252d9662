package gapproxy.sim;

import gapproxy.config.Config;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import java.util.function.BiConsumer;

/** Where a {@link Scenario} runs: on virtual time with an in-memory network, or on real sockets. */
public interface Environment {
  /** One running gateway. */
  interface RunningGateway {
    InetSocketAddress address();

    /** Number of open reqs. */
    int openReqs();

    /** Number of internal faults, see {@link gapproxy.gateway.Gateway#internalFaults}. */
    long internalFaults();

    /** Number of pending timers without those of open connections, or 0 if unknown. */
    int timers();

    /** Number of open connections, or 0 if unknown. */
    int connections();

    /** The stages of its open reqs. */
    Set<String> stages();

    /** Pauses the gateway for a span, as a long garbage collection does. */
    void pause(Duration span);

    /** Moves its wall clock ahead or back. */
    void adjustWallClock(Duration by);

    /** Ends the process at once, without a graceful stop. */
    void kill();
  }

  /** The loop of engines, list service and clients. */
  Loop loop();

  /** The network of a process other than a gateway. */
  Net net(String process);

  /** The port that a gateway listens on; 0 for any. */
  int port(int gateway);

  /** Whether a kind of fault can be injected here. */
  boolean supports(String kind);

  /** The directory in which gateways store their last server list. */
  Path stateDir();

  /**
   * Starts a gateway.
   *
   * @param watcher called for each event of a req, with the stage that the req was in and the event
   */
  RunningGateway start(Config config, long seed, BiConsumer<String, String> watcher) throws IOException;

  /**
   * Begins or ends a fault of the network.
   *
   * @param gateway name of the affected gateway
   * @param engine address of the affected engine, or null
   */
  void setNetworkFault(Plan.Fault f, String gateway, InetSocketAddress engine, boolean on);

  /** Truncates all stored files to a share of their bytes. */
  void truncateFiles(double part);
}
