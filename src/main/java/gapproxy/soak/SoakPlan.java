package gapproxy.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The plan of one soak run: its settings and its faults, all drawn from one seed.
 *
 * @param gateways number of gateway processes
 * @param readers number of prefill servers
 * @param writers number of decode servers
 * @param length time during which clients send reqs
 * @param settings of the gateways
 * @param peers what model servers do where the protocol leaves it open
 * @param troubles the faults, in the order in which they begin
 */
public record SoakPlan(long seed, int gateways, int readers, int writers, Duration length, Settings settings, Peers peers,
    List<Trouble> troubles) {
  /**
   * Kinds of faults. A kind that is named SERVERS_ or DISCOVERY_ and then like a {@code FaultProxy.Mode} applies this mode to the
   * connections of some servers, or of some gateways to discovery. GATEWAY_HELD_UP suspends and resumes processes repeatedly.
   */
  public enum Kind {
    GATEWAY_TERM, GATEWAY_KILL, GATEWAY_RELOAD, GATEWAY_HELD_UP, SERVERS_LATE, SERVERS_SILENT, SERVERS_RESET, SERVERS_HALF_CLOSE,
    SERVERS_TRICKLE, SERVERS_CUT_AFTER_REQUEST, SERVERS_JUNK_AT_REST, SERVERS_DRAIN, SERVERS_RESTART, DISCOVERY_SILENT, DISCOVERY_LATE,
    DISCOVERY_RESET, CLIENTS_LEAVE, CLIENTS_STOP_MIDWAY, CLIENTS_BURST, CLIENTS_TRICKLE,
    /** New connections carry nothing for up to one second. */
    SERVERS_CONNECT_LATE,
    /** Connections that are open at one moment fall silent for good; new ones work. */
    CONNECTIONS_SILENT,
    /** Connections fall silent for good, one after another. */
    CONNECTIONS_SILENT_SINGLY,
    /** Decode servers alone fall silent, among them servers that hold reservations. */
    DECODE_SERVERS_SILENT,
    /** Four in five servers of one role fall silent together, three times. */
    ROLE_SILENT,
    /** Clients open many connections and send nothing. */
    CLIENTS_CROWD,
    /**
     * Connections that are open at one moment lose everything that servers send on them, for good; what gateways send still
     * arrives.
     */
    ANSWERS_SILENT,
    /** Servers accept attempts and don't start them, while they answer everything else. */
    SERVERS_HANG,
    /** Request bodies of up to the longest size that the protocol permits. */
    SIZES_LONG_BODIES,
    /** Events of up to tens of kilobytes. */
    SIZES_LONG_EVENTS,
    /** Clients stop reading for up to 1.7 seconds. */
    SIZES_SLOW_READERS,
    /** Clients stop one byte before the end of a body of maximum length and keep the connection open. */
    SIZES_UNFINISHED_BODIES,
    /** Request bodies of up to the longest size, which some servers turn away before they have read them. */
    SIZES_DECLINED_EARLY;

    boolean affectsSizes() {
      return name().startsWith("SIZES_");
    }

    boolean affectsServers() {
      return name().startsWith("SERVERS_");
    }

    boolean affectsGateways() {
      return name().startsWith("GATEWAY_");
    }
  }

  /**
   * One fault of the plan.
   *
   * @param at time at which it begins, counted from the start of the clients
   * @param span time for which it lasts
   * @param share of the possible targets that it affects
   */
  public record Trouble(Kind kind, Duration at, Duration span, double share) {
    @Override
    public String toString() {
      return String.format("%6.2f s  %-26s for %5.2f s, share %.2f", at.toMillis() / 1000.0, kind, span.toMillis() / 1000.0, share);
    }
  }

  /**
   * The settings that vary between plans.
   *
   * @param release time within which a held resource must be released
   * @param window in which reqs of a keyed class may be repeated
   * @param probes whether gateways may probe model servers
   * @param copies whether a hedged attempt may run beside another
   * @param idle keep-alive time of model servers
   * @param longestBudget longest time budget of any req; the time that a gateway gets to stop follows from it
   */
  public record Settings(Duration release, Duration window, boolean probes, boolean copies, Duration idle, Duration longestBudget) {
    private static final Duration MAX_COUNTED_BUDGET = Duration.ofSeconds(3), KILL_MARGIN = Duration.ofMillis(700);

    /** Time from SIGTERM to the earliest kill. */
    Duration killedAfter() {
      return (longestBudget.compareTo(MAX_COUNTED_BUDGET) > 0 ? MAX_COUNTED_BUDGET : longestBudget).plus(KILL_MARGIN);
    }
  }

  /**
   * What model servers do where the protocol leaves it open.
   *
   * @param releaseSparesWrites whether a release spares the state that a write waiting at a server needs
   * @param releaseSparesReads whether a release spares what is held for a req while a read of it is still running at a server
   * @param keepsSpared whether what a release spared stays held after the attempt that needs it has ended; otherwise it is released
   *     then
   * @param closeSeenWithin longest delay until a server notices that an attempt was closed
   * @param waiting share of writes that a server keeps waiting before it begins them
   * @param longestWait longest time that such a write waits
   * @param odd share of attempts that are declined or fail; some failed reads leave state held
   * @param oddStreams share of answers in whose midst the server does one of the {@link StreamFault}s; some of those that it doesn't end
   *     leave the state held
   */
  public record Peers(boolean releaseSparesWrites, boolean releaseSparesReads, boolean keepsSpared, Duration closeSeenWithin,
      double waiting, Duration longestWait, double odd, double oddStreams) {
    private static final Duration[] CLOSE_DETECTION_DELAYS = {Duration.ZERO, Duration.ofMillis(200), Duration.ofSeconds(1)};
    private static final double[] WAITING_SHARES = {0.06, 0.2}, ODD_SHARES = {0, 0.06}, ODD_STREAM_SHARES = {0, 0.05, 0.15};
    private static final int[] LONGEST_WAITS_MS = {1500, 4000};

    /** Draws the behaviour of the model servers from the seed. */
    public static Peers draw(long seed) {
      SplittableRandom random = new SplittableRandom(seed + 5);
      return new Peers(random.nextInt(4) > 0, random.nextBoolean(), random.nextInt(4) > 0,
          CLOSE_DETECTION_DELAYS[random.nextInt(CLOSE_DETECTION_DELAYS.length)],
          WAITING_SHARES[random.nextInt(WAITING_SHARES.length)],
          Duration.ofMillis(LONGEST_WAITS_MS[random.nextInt(LONGEST_WAITS_MS.length)]), ODD_SHARES[random.nextInt(ODD_SHARES.length)],
          ODD_STREAM_SHARES[random.nextInt(ODD_STREAM_SHARES.length)]);
    }
  }

  // time without faults at the beginning, so that all servers are warm and connected first
  private static final Duration WARM_UP = Duration.ofSeconds(4);
  // time without new faults at the end, so that delayed effects show before the run is over
  private static final Duration COOL_DOWN = Duration.ofSeconds(3);
  private static final Duration TROUBLE_INTERVAL = Duration.ofMillis(3500);
  private static final double SIZE_TROUBLE_SHARE = 0.4;  // probability of a fault of each size kind per TROUBLE_INTERVAL
  private static final int[] MEMORY_MB = {96, 128, 160, 192};
  private static final int NON_HEAP_MB = 66;
  private static final int[] RELEASES_MS = {250, 500, 500, 1000}, BUDGETS_MS = {1000, 2200, 4000};

  /** Draws a plan from a seed. */
  public static SoakPlan draw(long seed, int gateways, Duration length) {
    SplittableRandom random = new SplittableRandom(seed);
    Settings settings = new Settings(Duration.ofMillis(RELEASES_MS[random.nextInt(RELEASES_MS.length)]),
        Duration.ofMillis(random.nextBoolean() ? 600 : 1500), random.nextInt(4) > 0, random.nextBoolean(),
        Duration.ofMillis(random.nextBoolean() ? 2500 : 15000), Duration.ofMillis(BUDGETS_MS[random.nextInt(BUDGETS_MS.length)]));
    List<Trouble> troubles = new ArrayList<>();
    List<Kind> remainingKinds = new ArrayList<>();
    for (Duration at = WARM_UP; at.compareTo(length.minus(COOL_DOWN)) < 0; at = at.plus(TROUBLE_INTERVAL)) {
      int count = 2 + random.nextInt(2);
      for (int i = 0; i < count; i++) {
        if (remainingKinds.isEmpty()) {
          remainingKinds.addAll(Stream.of(Kind.values()).filter(k -> !k.affectsSizes()).toList());
        }
        Kind kind = remainingKinds.remove(random.nextInt(remainingKinds.size()));
        Duration begins = at.plusMillis(random.nextInt(800));
        troubles.add(new Trouble(kind, begins, Duration.ofMillis(500 + random.nextInt(2500)), 0.15 + 0.5 * random.nextDouble()));
      }
    }
    troubles.addAll(drawSizeTroubles(seed, length));
    troubles.addAll(drawEarlyDeclines(seed, length));
    troubles.sort(Comparator.comparing(Trouble::at));
    return new SoakPlan(seed, gateways, 6, 6, length, settings, Peers.draw(seed), List.copyOf(troubles));
  }

  /**
   * Draws the faults of the size kinds from a separate random generator, so that the other faults of a seed don't depend on them.
   */
  private static List<Trouble> drawSizeTroubles(long seed, Duration length) {
    SplittableRandom random = new SplittableRandom(seed + 6);
    List<Kind> kinds = Stream.of(Kind.values()).filter(kind -> kind.affectsSizes() && kind != Kind.SIZES_DECLINED_EARLY).toList();
    List<Trouble> troubles = new ArrayList<>();
    for (Duration at = WARM_UP; at.compareTo(length.minus(COOL_DOWN)) < 0; at = at.plus(TROUBLE_INTERVAL)) {
      for (Kind kind : kinds) {
        if (random.nextDouble() < SIZE_TROUBLE_SHARE) {
          troubles.add(new Trouble(kind, at.plusMillis(random.nextInt(800)), Duration.ofMillis(1000 + random.nextInt(2000)),
              0.3 + 0.6 * random.nextDouble()));
        }
      }
    }
    return troubles;
  }

  /** Draws the faults of one more kind, apart from the others for the same reason. */
  private static List<Trouble> drawEarlyDeclines(long seed, Duration length) {
    SplittableRandom random = new SplittableRandom(seed + 12);
    List<Trouble> troubles = new ArrayList<>();
    for (Duration at = WARM_UP; at.compareTo(length.minus(COOL_DOWN)) < 0; at = at.plus(TROUBLE_INTERVAL)) {
      if (random.nextDouble() < SIZE_TROUBLE_SHARE) {
        troubles.add(new Trouble(Kind.SIZES_DECLINED_EARLY, at.plusMillis(random.nextInt(800)), Duration.ofMillis(1000 + random.nextInt(2000)),
            0.1 + 0.3 * random.nextDouble()));
      }
    }
    return troubles;
  }

  /** Limit of resident memory of each gateway, in MB. */
  int memoryMb() {
    return MEMORY_MB[new SplittableRandom(seed + 7).nextInt(MEMORY_MB.length)];
  }

  /** Heap size that fits the memory limit, in MB. */
  int heapMb() {
    return Math.min(GatewayProcess.HEAP_MB, memoryMb() - NON_HEAP_MB);
  }

  /** The pairs of fault kinds that overlap in time. */
  public Set<String> overlappingPairs() {
    Set<String> pairs = new TreeSet<>();
    for (Trouble a : troubles) {
      for (Trouble b : troubles) {
        boolean overlap = a.at().compareTo(b.at().plus(b.span())) < 0 && b.at().compareTo(a.at().plus(a.span())) < 0;
        if (overlap && a.kind().compareTo(b.kind()) < 0) {
          pairs.add(a.kind() + "+" + b.kind());
        }
      }
    }
    return pairs;
  }

  /** This plan with only the faults of the given numbers, to find out which of them cause a failure. */
  public SoakPlan only(Set<Integer> numbers) {
    List<Trouble> some = new ArrayList<>();
    for (int i = 0; i < troubles.size(); i++) {
      if (numbers.contains(i)) {
        some.add(troubles.get(i));
      }
    }
    return new SoakPlan(seed, gateways, readers, writers, length, settings, peers, List.copyOf(some));
  }

  /** The plan as readable text. */
  public String describe() {
    StringBuilder b = new StringBuilder("seed " + seed + ", " + gateways + " gateways, " + readers + " prefill and " + writers
        + " decode servers, " + length.toSeconds() + " s, " + settings + "\n" + peers + "\n");
    for (int i = 0; i < troubles.size(); i++) {
      b.append(String.format("%3d  %s%n", i, troubles.get(i)));
    }
    return b.toString();
  }
}
