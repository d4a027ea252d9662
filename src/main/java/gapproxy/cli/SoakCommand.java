package gapproxy.cli;

import gapproxy.config.Config;
import gapproxy.daemon.Logs;
import gapproxy.soak.Soak;
import gapproxy.soak.SoakPlan;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs soak tests: many gateway processes under overlapping faults. */
@Command(name = "soak", description = {
    "Runs gateway processes on loopback under overlapping faults generated from a seed, and checks the traffic.",
    "Exit code 0 if no violation was found, 1 if one was, 3 if the harness failed in a run and no other run found a violation."})
final class SoakCommand implements Callable<Integer> {
  // Exit codes: a run found a violation; the harness failed in a run, so that the run shows nothing about the gateways.
  private static final int EXIT_FOUND = 1, EXIT_NO_VERDICT = 3;

  @Option(names = "--seed", defaultValue = "1", description = "Seed of the first plan (default: ${DEFAULT-VALUE}).")
  private long seed;
  @Option(names = "--runs", defaultValue = "1", description = "Number of plans to run, with consecutive seeds (default: ${DEFAULT-VALUE}).")
  private int runs;
  @Option(names = "--gateways", defaultValue = "24", description = "Number of gateway processes (default: ${DEFAULT-VALUE}).")
  private int gateways;
  @Option(names = "--seconds", defaultValue = "60", description = "Seconds during which clients send reqs (default: ${DEFAULT-VALUE}).")
  private int seconds;
  @Option(names = "--only", split = ",", paramLabel = "N", description = "Runs only the faults of the plan with these numbers.")
  private Set<Integer> only = Set.of();
  @Option(names = "--plan", description = "Prints the plan without running it.")
  private boolean plan;
  @Option(names = "--shim", defaultValue = "", paramLabel = "SPEC", description = {
      "Faults to inject into system calls of the gateways, as CALL=WHAT/EVERY@SIDE or",
      "clock=SECONDS/AFTER, separated by commas; needs a C compiler."})
  private String shim;
  @Option(names = "--logs", paramLabel = "DIR", description = "Directory in which to keep the logs and configurations of the gateways.")
  private Path logs;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Logs.configure(new Config.Log("text", "error"));
    Set<String> pairs = new TreeSet<>();
    int failedRuns = 0;
    int invalidRuns = 0;
    for (int i = 0; i < runs; i++) {
      SoakPlan soakPlan = SoakPlan.draw(seed + i, gateways, Duration.ofSeconds(seconds));
      soakPlan = only.isEmpty() ? soakPlan : soakPlan.only(only);
      System.out.print(soakPlan.describe());
      pairs.addAll(soakPlan.overlappingPairs());
      if (!plan) {
        Soak.Result result = runSoak(soakPlan);
        invalidRuns += result.valid() ? 0 : 1;
        failedRuns += result.valid() && !result.passed() ? 1 : 0;
      }
    }
    System.out.printf("%d runs, %d with finds, %d without a verdict, %d pairs of troubles%n", plan ? 0 : runs, failedRuns, invalidRuns,
          pairs.size());
    return failedRuns > 0 ? EXIT_FOUND : invalidRuns > 0 ? EXIT_NO_VERDICT : 0;
  }

  private Soak.Result runSoak(SoakPlan soakPlan) throws IOException, InterruptedException {
    Path dir = logs == null ? Files.createTempDirectory("gapproxy-soak") : Files.createDirectories(logs.resolve("seed-" + soakPlan.seed()));
    try (Soak soak = new Soak(soakPlan, dir, shim)) {
      Soak.Result result = soak.run();
      if (!result.valid()) {
        System.out.printf("seed %d: NO VERDICT, %s%n", soakPlan.seed(), result.harnessFault());
        return result;
      }
      System.out.printf("seed %d: %s; asked %d %s; streams %d, late %d, late under trouble %d, broken off %d; longest held %d ms (%s); "
          + "injected %d, by the shim %d; harness late by up to %d ms; killed while stopping %d%n",
          soakPlan.seed(), result.passed() ? "nothing found" : "FOUND", result.requests(), result.outcomes(), result.verdict().streams(),
          result.verdict().lateStreams(), result.verdict().excusedStreams(), result.verdict().brokenStreams(),
          result.verdict().report().longestHeldMs(), result.verdict().report().longestHeldBy(), result.injectedFaults(),
          result.shimFaults(), result.latenessMs(), result.killedWhileStopping());
      result.violations().forEach(b -> System.out.println("  by the traffic: " + b));
      result.unconfirmedReleases().stream().limit(20).forEach(c -> System.out.println("  not confirmed: " + c));
      result.reportedByGateways().stream().limit(20).forEach(c -> System.out.println("  by a gateway:   " + c));
      return result;
    }
  }
}
