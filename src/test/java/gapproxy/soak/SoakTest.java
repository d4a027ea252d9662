package gapproxy.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.soak.SoakPlan.Kind;
import gapproxy.soak.SoakPlan.Trouble;
import java.nio.file.Path;
import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Short soaks: fixed plans with real processes, and planted faults that the judge must detect. A run mostly waits, so some run
 * concurrently; the class itself runs alone, and so do all other test classes.
 */
class SoakTest {
  private static final SoakPlan.Settings SETTINGS = new SoakPlan.Settings(Duration.ofMillis(500), Duration.ofMillis(600), true, true,
      Duration.ofMillis(2500), Duration.ofSeconds(4));

  @TempDir
  private Path dir;

  private static Trouble trouble(Kind kind, int atMs, int spanMs, double share) {
    return new Trouble(kind, Duration.ofMillis(atMs), Duration.ofMillis(spanMs), share);
  }

  private static SoakPlan plan(int gateways, int seconds, Trouble... troubles) {
    return new SoakPlan(1, gateways, 6, 6, Duration.ofSeconds(seconds), SETTINGS, SoakPlan.Peers.draw(1), List.of(troubles));
  }

  private Soak.Result run(SoakPlan plan, Set<PlantedFault> plantedFaults) throws Exception {
    try (Soak soak = new Soak(plan, dir, "", plantedFaults)) {
      return soak.run();
    }
  }

  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsFoundWhileServersFallSilentAndGatewaysStop() throws Exception {
    Soak.Result result = run(plan(4, 9, trouble(Kind.SERVERS_SILENT, 2000, 2000, 0.5), trouble(Kind.GATEWAY_TERM, 2500, 1, 0.9),
        trouble(Kind.CLIENTS_LEAVE, 2000, 4000, 0.4), trouble(Kind.SERVERS_CUT_AFTER_REQUEST, 5000, 2000, 0.3)), Set.of());
    assertEquals(List.of(), result.violations(), result.toString());
    assertTrue(result.passed(), result.toString());
  }

  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsFoundWhileDiscoveryMovesAndServersDrainAndRestart() throws Exception {
    Soak.Result result = run(plan(4, 9, trouble(Kind.GATEWAY_RELOAD, 2000, 1, 0.9), trouble(Kind.SERVERS_DRAIN, 2100, 2000, 0.6),
        trouble(Kind.SERVERS_RESTART, 3000, 1, 0.6), trouble(Kind.SERVERS_JUNK_AT_REST, 4000, 2000, 0.4),
        trouble(Kind.GATEWAY_KILL, 5000, 1, 0.6)), Set.of());
    assertEquals(List.of(), result.violations(), result.toString());
    assertTrue(result.passed(), result.toString());
  }

  /**
   * Guards against state and reservations held past the release time because of attempts on silenced connections: eight cases in
   * pre-production, each with one attempt whose bytes reached the port of its server but were neither read nor given up. An idle
   * connection falls silent for good while new ones work; a read or write is sent on it; room is held for the read although its
   * reservation call was answered 204, or the state of an earlier read is held. The cause was that an answer of the server on any
   * other connection counted as a sign of life of the attempt: 133 of 136 status queries to such servers were answered, and the
   * gateway released after 1.68 s what it had to release within 0.5 s. With whole servers silent nothing was held for longer than
   * 411 ms.
   */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsHeldForAttemptsOnConnectionsThatFellSilent() throws Exception {
    Soak.Result result = run(plan(4, 9, trouble(Kind.CONNECTIONS_SILENT, 2500, 1, 0.99), trouble(Kind.CONNECTIONS_SILENT, 4500, 1, 0.99),
        trouble(Kind.CONNECTIONS_SILENT_SINGLY, 5500, 3000, 0.99)), Set.of());
    assertEquals(List.of(), result.violations(), result.toString());
    assertTrue(result.passed(), result.toString());
  }

  /**
   * Releases spare what waiting attempts need, and servers keep it after those attempts have ended, whose close they notice late.
   * The gateway must release it again.
   */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void whatAReleaseLeftForAnAttemptIsReleasedWhenThatAttemptIsOver() throws Exception {
    SoakPlan.Settings settings = new SoakPlan.Settings(Duration.ofMillis(500), Duration.ofMillis(600), true, true, Duration.ofSeconds(15),
        Duration.ofSeconds(1));
    SoakPlan.Peers peers = new SoakPlan.Peers(true, true, true, Duration.ofSeconds(1), 0.3, Duration.ofSeconds(3), 0.03, 0);
    Soak.Result result = run(new SoakPlan(3, 4, 6, 6, Duration.ofSeconds(9), settings, peers, List.of(
        trouble(Kind.ANSWERS_SILENT, 2500, 1, 0.99), trouble(Kind.SERVERS_HANG, 4500, 2000, 0.5),
        trouble(Kind.DECODE_SERVERS_SILENT, 6500, 1500, 0.6))), Set.of());
    assertEquals(List.of(), result.violations(), result.toString());
    assertTrue(result.passed(), result.toString());
  }

  /**
   * The kill follows 1.7 s after SIGTERM, which is sent within a series of signals; held resources must be released within 0.25 s.
   */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsFoundWithShortDeadlinesACrowdAndSignalsInSeries() throws Exception {
    SoakPlan.Settings shortOnes = new SoakPlan.Settings(Duration.ofMillis(250), Duration.ofMillis(600), false, false,
        Duration.ofSeconds(15), Duration.ofSeconds(1));
    SoakPlan plan = new SoakPlan(2, 4, 6, 6, Duration.ofSeconds(9), shortOnes, SoakPlan.Peers.draw(2),
        List.of(trouble(Kind.CLIENTS_CROWD, 1500, 2000, 0.5),
        trouble(Kind.GATEWAY_TERM, 2500, 1, 0.99), trouble(Kind.ROLE_SILENT, 2500, 2500, 1),
        trouble(Kind.SERVERS_CONNECT_LATE, 5500, 1500, 0.4),
        trouble(Kind.GATEWAY_TERM, 6000, 1, 0.99)));
    Soak.Result result = run(plan, Set.of());
    assertEquals(List.of(), result.violations(), result.toString());
    assertTrue(result.passed(), result.toString());
  }

  private static SoakPlan oddStreamPlan(Trouble... troubles) {
    SoakPlan.Peers peers = new SoakPlan.Peers(true, true, true, Duration.ofMillis(200), 0.06, Duration.ofMillis(1500), 0, 0.5);
    return new SoakPlan(4, 4, 6, 6, Duration.ofSeconds(9), SETTINGS, peers, List.of(troubles));
  }

  /** Clients waited for longer than 5 s after the last event of a server that fell silent, and state was held after the cut. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsFoundWhileServersFallSilentInTheMidstOfAnswers() throws Exception {
    Soak.Result result = run(oddStreamPlan(trouble(Kind.GATEWAY_HELD_UP, 5000, 3000, 0.9), trouble(Kind.CLIENTS_LEAVE, 2000, 4000, 0.2),
        trouble(Kind.SERVERS_CONNECT_LATE, 1500, 1500, 0.5)),
        Set.of());
    assertEquals(List.of(), result.violations(), result.toString());
    assertTrue(result.passed(), result.toString());
    assertTrue(result.verdict().brokenStreams() > 0, "no answer was judged: " + result);
  }

  /** The fault of report 408915: the time runs from the last bytes of any kind, and 0.1 s is left. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void plantedCountFromLastBytesIsFound() throws Exception {
    Path classes = SourceMutation.compile(dir, List.of(
        new SourceMutation("gateway/StreamActivity.java", "    switch (content) {", "    eventReceived(arrival);\n    if (lastPartAt == null) {\n"
            + "      return;\n    }\n    switch (content) {"),
        new SourceMutation("gateway/StreamSilencePolicy.java", "RESERVE = Duration.ofMillis(170)", "RESERVE = Duration.ofMillis(100)")));
    try (Soak soak = new Soak(oddStreamPlan(), dir, "", Set.of())) {
      soak.overrideGatewayClasses(classes);
      assertFound(soak.run(), List.of(), List.of("after the last event of a running server"));
    }
  }

  /** A fault of report 1b814f: any size that a chunk states is believed. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void plantedBeliefInAnyChunkSizeIsFound() throws Exception {
    Path classes = SourceMutation.compile(dir, List.of(
        new SourceMutation("http/LengthLimits.java", "chunkBytes > maxStatedBytes", "chunkBytes > Long.MAX_VALUE - maxStatedBytes")));
    try (Soak soak = new Soak(oddStreamPlan(), dir, "", Set.of())) {
      soak.overrideGatewayClasses(classes);
      assertFound(soak.run(), List.of(), List.of("after the last event of a running server", "spoilt before its first event"));
    }
  }

  /** The other fault of that report: past the limit a rest in an event may be only half a second longer than the longest before. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void plantedToleranceOfUnevenRestsIsFound() throws Exception {
    Path classes = SourceMutation.compile(dir, List.of(
        new SourceMutation("gateway/StreamSilencePolicy.java", "return pastLimit ?", "return pastLimit && !pastLimit ?")));
    try (Soak soak = new Soak(oddStreamPlan(), dir, "", Set.of())) {
      soak.overrideGatewayClasses(classes);
      assertFound(soak.run(), List.of(), List.of("a stream was cut off"));
    }
  }

  /** The fault of review/10: an event may be completed however long it is. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void plantedEventWithoutBoundIsFound() throws Exception {
    Path classes = SourceMutation.compile(dir, List.of(
        new SourceMutation("gateway/StreamSilencePolicy.java", "activity.unfinishedBytes() <= maxUnfinishedBytes",
            "activity.unfinishedBytes() <= Long.MAX_VALUE - maxUnfinishedBytes")));
    try (Soak soak = new Soak(oddStreamPlan(), dir, "", Set.of())) {
      soak.overrideGatewayClasses(classes);
      assertFound(soak.run(), List.of(), List.of("after the last event of a running server"));
    }
  }

  private static SoakPlan earlyDeclinePlan() {
    SoakPlan.Peers peers = new SoakPlan.Peers(true, true, true, Duration.ofMillis(200), 0.06, Duration.ofMillis(1500), 0, 0);
    return new SoakPlan(5, 3, 6, 6, Duration.ofSeconds(9), SETTINGS, peers, List.of(trouble(Kind.SIZES_DECLINED_EARLY, 500, 8000, 0.5),
        trouble(Kind.CLIENTS_BURST, 500, 8000, 0.5)));
  }

  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void nothingIsFoundWhileServersTurnLongRequestsAwayBeforeTheyHaveReadThem() throws Exception {
    Soak.Result result = run(earlyDeclinePlan(), Set.of());
    assertEquals(List.of(), result.violations(), result.toString());
    assertTrue(result.passed(), result.toString());
    assertTrue(result.injectedFaults() > 0, "no request was turned away: " + result);
  }

  /** A fault of issue 71: connections are used again before their request was written. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void plantedReuseOfUnwrittenConnectionsIsFound() throws Exception {
    Path classes = SourceMutation.compile(dir, List.of(
        new SourceMutation("http/HttpClient.java", "      if (!requestWritten) {\n        connection.terminateSilently();",
            "      if (!requestWritten && closed) {\n        connection.terminateSilently();")));
    try (Soak soak = new Soak(earlyDeclinePlan(), dir, "", Set.of())) {
      soak.overrideGatewayClasses(classes);
      assertFound(soak.run(), List.of(), List.of("came behind one that had not been written"));
    }
  }

  /** Nothing is released when an answer breaks off after its first token. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void plantedTrustInFirstTokenIsFound() throws Exception {
    Path classes = SourceMutation.compile(dir, List.of(new SourceMutation("gateway/HeldResources.java",
        "if (!neverReachedServer && attempt.outcome != Outcome.DONE) {", "if (!neverReachedServer && !attempt.answerBegun) {")));
    try (Soak soak = new Soak(oddStreamPlan(), dir, "", Set.of())) {
      soak.overrideGatewayClasses(classes);
      assertFound(soak.run(), List.of(5), List.of());
    }
  }

  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void plantedFaultsAreFound() throws Exception {
    Soak.Result result = run(plan(3, 9, trouble(Kind.SERVERS_DRAIN, 1500, 5000, 0.99), trouble(Kind.GATEWAY_KILL, 4000, 1, 0.99),
        trouble(Kind.GATEWAY_KILL, 6500, 1, 0.99), trouble(Kind.SERVERS_CUT_AFTER_REQUEST, 1500, 7000, 0.5),
        trouble(Kind.SERVERS_RESTART, 2500, 1, 0.99)), EnumSet.allOf(PlantedFault.class));
    assertFound(result, List.of(1, 3, 5), List.of("after its client's close", "a server was told", "over 300 ms late"));
  }

  /** Runs apart from the other planted faults, since few reqs are executed twice while servers drain and gateways are killed. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void plantedSecondEffectsAreFound() throws Exception {
    Soak.Result result = run(plan(4, 9, trouble(Kind.CLIENTS_BURST, 500, 8500, 0.99),
        trouble(Kind.SERVERS_CUT_AFTER_REQUEST, 500, 8500, 0.5)),
        EnumSet.of(PlantedFault.EFFECT_MISNAMED));
    assertFound(result, List.of(2), List.of());
  }

  /** Runs apart from the other planted faults, since few servers would be overloaded during their start there. */
  @Test
  @Execution(ExecutionMode.CONCURRENT)
  void plantedWeakStartsAreFound() throws Exception {
    SoakPlan fewServers = new SoakPlan(1, 4, 2, 2, Duration.ofSeconds(9), SETTINGS, SoakPlan.Peers.draw(1), List.of(
        trouble(Kind.CLIENTS_BURST, 1000, 8000, 0.99), trouble(Kind.SERVERS_RESTART, 2500, 1, 0.99),
        trouble(Kind.SERVERS_RESTART, 4000, 1, 0.99),
        trouble(Kind.SERVERS_RESTART, 5500, 1, 0.99), trouble(Kind.SERVERS_RESTART, 7000, 1, 0.99)));
    Soak.Result result = run(fewServers, EnumSet.of(PlantedFault.WEAK_START));
    assertFound(result, List.of(4), List.of());
  }

  private static void assertFound(Soak.Result result, List<Integer> rules, List<String> others) {
    for (int rule : rules) {
      assertTrue(result.verdict().report().counts()[rule] > 0, "rule " + rule + " has no violation: " + result);
    }
    for (String what : others) {
      assertTrue(result.violations().stream().anyMatch(b -> b.contains(what)), what + " was not found: " + result.violations());
    }
  }
}
