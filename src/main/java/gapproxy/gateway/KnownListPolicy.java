package gapproxy.gateway;

import java.time.Duration;

/**
 * Decides when a gateway that has just started may use the server list of an earlier run. Discovery's current list counts as told from the
 * first moment of a new process, so by the old list it might send to a server that drains, also while discovery is down. A gateway without
 * a list serves nobody, so it does not wait for longer than it may take to become ready.
 */
public final class KnownListPolicy {
  /** How long discovery may take for the first list: an outage of 8 s and the call after it. A restarted gateway has 10 s to become ready. */
  private static final Duration MAX_WAIT_FOR_DISCOVERY = Duration.ofMillis(8700);

  private KnownListPolicy() {}

  /** How long after the start the old list must not be used unless discovery has answered. */
  public static Duration maxWaitForDiscovery() {
    return MAX_WAIT_FOR_DISCOVERY;
  }
}
