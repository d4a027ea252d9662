package gapproxy.api;

import java.time.Duration;
import java.util.List;

/**
 * The settings that the decision module reads, decoded once at the gateway's start.
 *
 * @param gateways the number of gateways that share the fleet
 * @param zone the gateway's own zone
 * @param tick the timer resolution; attempts time out at least one tick before the req's deadline
 * @param groups the endpoint groups; an accepted req gives its group by the index
 * @param customers the customers with a share of their own; an accepted req gives its customer by the index
 * @param overShareFactor what importance is multiplied by for reqs beyond their customer's share
 * @param kinds the kinds of servers; an entry of the server list gives its kind by the index
 * @param writersRead whether writers can also read prompts
 * @param holdAhead whether room at the writer is reserved before the read
 * @param listOnRequest whether the server list has to be requested
 * @param listRequestDeadline within which time a failed list request has to be repeated
 */
public record Settings(
    int gateways,
    int zone,
    Duration tick,
    List<EndpointGroup> groups,
    List<Customer> customers,
    double overShareFactor,
    List<ServerKind> kinds,
    boolean writersRead,
    boolean holdAhead,
    SlowStartLimit slowStart,
    boolean listOnRequest,
    Duration listRequestDeadline,
    Reports reports,
    Limits limits) {

  /** Whether a req may be executed more than once: always, with an idempotency key, or never. */
  public enum Repeat { REPLAYABLE, KEYED, NON_REPLAYABLE }

  /** Within which servers duplicates of a keyed req are dropped. */
  public enum Scope {
    ALL, ZONE, CELL;

    /** Whether a duplicate at one of these servers is recognized at the other. */
    public boolean covers(Event.Line a, Event.Line b) {
      return this == ALL || (this == ZONE ? a.zone() == b.zone() : a.cell() == b.cell());
    }
  }

  /**
   * The settings of an endpoint group.
   *
   * @param idempotencyWindow how long after an attempt its duplicates are dropped
   * @param responseTarget the target time to the first token for an empty prompt
   * @param targetPer1000 what is added to the response target for every 1000 prompt tokens
   */
  public record EndpointGroup(Repeat repeat, Scope scope, Duration idempotencyWindow, double importance,
      Duration responseTarget, Duration targetPer1000) {}

  /** A customer's share of the capacity, in reqs per second over all gateways. */
  public record Customer(double reqsPerSecond) {}

  /** Whether a server reads prompts, writes answers or does both. */
  public enum Role { READ, WRITE, BOTH }

  /** A kind of server; {@code memoryTokens} is 0 if unknown. */
  public record ServerKind(Role role, double memoryTokens) {}

  /**
   * Limits for servers that have just started.
   *
   * @param leastCapacity the capacity at the start, as a fraction of that of a warm server
   * @param warmWithin how long a server counts as cold
   * @param overloadMultiple the multiple of a cold server's capacity that overloads it
   * @param overloadWindow the time over which the load of a cold server counts
   */
  public record SlowStartLimit(double leastCapacity, Duration warmWithin, double overloadMultiple, Duration overloadWindow) {}

  /** Where load reports come from: with each response, only in reply to probes, or nowhere. */
  public enum Source { WITH_ANSWERS, BY_PROBE, NONE }

  /**
   * The column numbers of load figures in a report, -1 for a figure that is not reported.
   *
   * @param outstanding reqs at the server
   * @param queued reqs waiting at the server
   * @param slotUtilization the share of slots in use
   * @param memoryUtilization the share of memory in use
   * @param queuedKiloTokens prompt tokens waiting to be read, in thousands
   */
  public record Reports(Source source, int outstanding, int queued, int slotUtilization, int memoryUtilization, int queuedKiloTokens) {}

  /**
   * What the platform permits.
   *
   * @param maxForwards attempts per req
   * @param cancel whether running attempts may be cancelled
   * @param concurrentForwards whether a req may have several attempts running at once
   * @param probes whether servers may be probed
   * @param retryAdvice whether a pushback may say when to retry
   * @param maxRetryAdvice the longest retry delay that a pushback may advise
   */
  public record Limits(int maxForwards, boolean cancel, boolean concurrentForwards, boolean probes, boolean retryAdvice,
      Duration maxRetryAdvice) {}
}
