package gapproxy.sim;

import gapproxy.audit.Traffic;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

/** Runs a scenario on virtual time and checks it after every step. The same plan always gives the same run. */
public final class Simulation {
  private static final Duration LIMIT = Duration.ofSeconds(60);

  /**
   * The result of a run.
   *
   * @param failures what failed; empty if the run passed
   * @param steps number of steps executed
   * @param span virtual time from the start to the end
   * @param taken number of reqs that clients sent, repeats included
   * @param ends number of reqs by how they ended, as their clients saw it
   * @param answers the final answers of each req, by the client's id of the req
   * @param faults number of injected faults by kind
   * @param coverage how often each pair of stage and event was reached
   * @param bytes number of bytes that the network delivered
   * @param traceChecksum checksum of the network traffic
   * @param timeline empty unless one was requested
   */
  public record Verdict(long seed, List<String> failures, long steps, Duration span, long taken, Map<String, Long> ends,
      Map<String, String> answers, Map<String, Integer> faults,
      Map<String, Long> coverage, long bytes, long traceChecksum, List<Timeline.Step> timeline) {
    public boolean passed() {
      return failures.isEmpty();
    }
  }

  private final SimEnvironment environment;
  private final Scenario scenario;

  /** The run of a seed; see {@link Plan#of}. */
  public Simulation(long seed, boolean withTimeline) {
    this(Plan.of(seed), withTimeline);
  }

  /** @param withTimeline whether a timeline is kept */
  public Simulation(Plan plan, boolean withTimeline) {
    this(plan, withTimeline, UnaryOperator.identity());
  }

  Simulation(Plan plan, boolean withTimeline, UnaryOperator<Traffic> trafficWrapper) {
    SplittableRandom random = new SplittableRandom(plan.seed());
    SplittableRandom trafficRandom = random.split();
    environment = new SimEnvironment(plan, random);
    scenario = new Scenario(plan, environment, trafficRandom, withTimeline, trafficWrapper);
  }

  /** Runs to the end or to the first step that violates a rule. */
  public Verdict run() {
    try {
      scenario.start();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    environment.scheduler.run(LIMIT, scenario::afterStep);
    return scenario.verdict(environment.scheduler.executedSteps(), environment.net.deliveredBytes, environment.net.traceChecksum());
  }
}
