package gapproxy.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gapproxy.config.Config;
import gapproxy.config.ConfigException;
import gapproxy.daemon.Logs;
import gapproxy.sim.Coverage;
import gapproxy.sim.SequenceDiagram;
import gapproxy.sim.Plan;
import gapproxy.sim.Shrinker;
import gapproxy.sim.Simulation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the deterministic simulation: single seeds, plans from files, and ranges of seeds. */
@Command(name = "sim", description = "Simulates gateways in virtual time, with faults generated from seeds.",
    subcommands = {SimCommand.Run.class, SimCommand.Replay.class, SimCommand.Shrink.class, SimCommand.Trace.class,
        SimCommand.Sweep.class, SimCommand.Cover.class})
final class SimCommand {
  /** Runs one seed. */
  @Command(name = "run", description = "Runs one seed; exit code 0 only if no check failed.")
  static final class Run implements Callable<Integer> {
    @Option(names = "--seed", required = true)
    private long seed;
    @Option(names = "--trace", description = "Prints what happened, in order.")
    private boolean trace;

    @Override
    public Integer call() {
      Logs.configure(new Config.Log("text", "error"));
      return printVerdict(new Simulation(seed, trace).run());
    }
  }

  /** Prints a run's timeline, if it was traced, its summary and its failures; returns the exit code. */
  private static int printVerdict(Simulation.Verdict verdict) {
    verdict.timeline().forEach(System.out::println);
    System.out.printf("seed %d: %s; %d steps, %.1f s simulated, %d reqs, ends %s, faults %s, trace %08x%n", verdict.seed(),
        verdict.passed() ? "held" : "broken", verdict.steps(), verdict.span().toMillis() / 1000.0, verdict.taken(),
        new TreeMap<>(verdict.ends()), verdict.faults(), verdict.traceChecksum());
    verdict.failures().forEach(f -> System.out.println("  " + f));
    return verdict.passed() ? 0 : 1;
  }

  /** Runs a plan from a file. */
  @Command(name = "replay", description = "Runs a plan from a file; exit code 0 only if no check failed.")
  static final class Replay implements Callable<Integer> {
    @CommandLine.Parameters(paramLabel = "FILE")
    private Path file;
    @Option(names = "--trace", description = "Prints what happened, in order.")
    private boolean trace;

    @Override
    public Integer call() {
      Logs.configure(new Config.Log("text", "error"));
      try {
        return printVerdict(new Simulation(Plan.parse(Files.readString(file), file.toString()), trace).run());
      } catch (ConfigException e) {
        throw new Main.CommandFailedException(e.getMessage());
      } catch (IOException e) {
        throw new Main.CommandFailedException(file + ": failed to read the file");
      }
    }
  }

  /** Searches for the smallest plan that reproduces the failure of a seed. */
  @Command(name = "shrink", description = "Prints the smallest plan found that still reproduces the failure of a seed.")
  static final class Shrink implements Callable<Integer> {
    @CommandLine.Parameters(paramLabel = "SEED")
    private long seed;

    @Override
    public Integer call() {
      Logs.configure(new Config.Log("text", "error"));
      Plan smallest = Shrinker.shrink(Plan.of(seed), p -> new Simulation(p, false).run().failures());
      if (smallest == null) {
        throw new Main.CommandFailedException("seed " + seed + " holds: there is nothing to shrink");
      }
      System.out.println(smallest.json());
      return 0;
    }
  }

  /** Runs one seed and prints its events, on request also as a sequence diagram. */
  @Command(name = "trace", description = "Prints the events of a seed's run, in order; exit code 0 only if no check failed.")
  static final class Trace implements Callable<Integer> {
    @CommandLine.Parameters(paramLabel = "SEED")
    private long seed;
    @Option(names = "--html", paramLabel = "FILE", description = "Also writes the events to this file, as a sequence diagram.")
    private Path html;

    @Override
    public Integer call() {
      Logs.configure(new Config.Log("text", "error"));
      Simulation.Verdict v = new Simulation(seed, true).run();
      if (html != null) {
        try {
          Files.writeString(html, SequenceDiagram.render(v));
        } catch (IOException e) {
          throw new Main.CommandFailedException(html + ": failed to write the file");
        }
      }
      return printVerdict(v);
    }
  }

  /** Options for a range of seeds {@code A..B} and for how many of them run in parallel. */
  private static final class SeedRange {
    @CommandLine.Spec(CommandLine.Spec.Target.MIXEE)
    private CommandLine.Model.CommandSpec spec;
    @Option(names = "--seeds", required = true, paramLabel = "A..B", description = "First and last seed.")
    private String seeds;
    @Option(names = "--jobs", description = "Seeds to run in parallel (default: one per processor).")
    private int jobs = Runtime.getRuntime().availableProcessors();

    LongStream all() {
      String[] ends = seeds.split("\\.\\.", -1);
      if (ends.length != 2 || !ends[0].matches("\\d{1,18}") || !ends[1].matches("\\d{1,18}")
          || Long.parseLong(ends[0]) > Long.parseLong(ends[1]) || jobs < 1 || jobs > 1024) {
        throw new CommandLine.ParameterException(spec.commandLine(), "--seeds: must be A..B with A not above B; --jobs: must be 1 to 1024");
      }
      return LongStream.rangeClosed(Long.parseLong(ends[0]), Long.parseLong(ends[1]));
    }

    void run(LongStream seeds, LongConsumer each) throws Exception {
      ForkJoinPool pool = new ForkJoinPool(jobs);
      try {
        pool.submit(() -> seeds.parallel().forEach(each)).get();
      } finally {
        pool.shutdownNow();
      }
    }
  }

  private static String version() {
    return new Main.VersionProvider().getVersion()[0];
  }

  /** Runs a range of seeds and prints a summary. */
  @Command(name = "sweep",
      description = "Runs a range of seeds and prints a summary as one line of JSON; exit code 0 only if no check failed.")
  static final class Sweep implements Callable<Integer> {
    @CommandLine.Mixin
    private SeedRange range;

    @Override
    public Integer call() throws Exception {
      LongStream all = range.all();
      long count = range.all().count();
      Logs.configure(new Config.Log("text", "error"));
      long startNanos = System.nanoTime();
      AtomicLong steps = new AtomicLong();
      AtomicLong millis = new AtomicLong();
      AtomicLong broken = new AtomicLong();
      AtomicLong faults = new AtomicLong();
      AtomicLong traces = new AtomicLong();
      AtomicLong done = new AtomicLong();
      Map<String, Long> kinds = new TreeMap<>();
      range.run(all, seed -> {
        Simulation.Verdict v;
        try {
          v = new Simulation(seed, false).run();
        } catch (RuntimeException e) {
          broken.incrementAndGet();
          System.err.println("seed " + seed + ": " + e + "; repeat with: sim run --seed " + seed);
          return;
        }
        steps.addAndGet(v.steps());
        millis.addAndGet(v.span().toMillis());
        // The sum doesn't depend on the order in which the seeds finish.
        traces.addAndGet(v.traceChecksum() * (seed + 1));
        faults.addAndGet(v.faults().values().stream().mapToInt(i -> i).sum());
        synchronized (kinds) {
          v.ends().forEach((k, root) -> kinds.merge(k, root, Long::sum));
        }
        if (!v.passed()) {
          broken.incrementAndGet();
          System.err.println("seed " + seed + ": " + v.failures().get(0) + "; version " + version() + ", repeat with: sim trace " + seed);
        }
        if (done.incrementAndGet() % 1000 == 0) {
          System.err.println(done.get() + " of " + count + " seeds");
        }
      });
      ObjectNode root = new ObjectMapper().createObjectNode().put("version", version()).put("seeds", count).put("violations", broken.get())
          .put("steps", steps.get()).put("faults", faults.get()).put("seconds", (System.nanoTime() - startNanos) / 1e9)
          .put("simulated_seconds", millis.get() / 1000.0).put("trace", Long.toHexString(traces.get()));
      root.putPOJO("ends", kinds);
      System.out.println(new ObjectMapper().writeValueAsString(root));
      return broken.get() == 0 ? 0 : 1;
    }
  }

  /** Runs a range of seeds, then plans aimed at what the seeds missed, and prints the coverage of faults and stages. */
  @Command(name = "cover", description = "Runs a range of seeds, then plans aimed at the pairs of fault and stage that they missed, "
      + "and prints the coverage as JSON; exit code 0 only if no check failed.")
  static final class Cover implements Callable<Integer> {
    /** Plans aimed at each pair of fault and stage that the range of seeds did not reach. */
    private static final int PLANS_PER_GAP = 20;
    @CommandLine.Mixin
    private SeedRange range;

    @Override
    public Integer call() throws Exception {
      LongStream all = range.all();
      Logs.configure(new Config.Log("text", "error"));
      Coverage coverage = new Coverage();
      AtomicLong broken = new AtomicLong();
      range.run(all, seed -> broken.addAndGet(runAndCountViolation(Plan.of(seed), coverage)));
      List<Coverage.Gap> gaps = coverage.gaps();
      int missedBefore = coverage.missedEvents().size();
      range.run(LongStream.range(0, gaps.size()), i -> {
        Coverage.Gap gap = gaps.get((int) i);
        for (int seed = 0; seed < PLANS_PER_GAP; seed++) {
          broken.addAndGet(runAndCountViolation(Plan.aimed(seed, gap.kind(), gap.stage()), coverage));
        }
      });
      ObjectMapper json = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
      ObjectNode root = json.createObjectNode().put("version", version()).put("violations", broken.get())
          .put("pairs_of_fault_and_stage", coverage.pairCount()).put("not_reached_by_seeds", gaps.size())
          .put("not_reached_when_aimed_at", coverage.gaps().size()).put("events_missed_by_seeds", missedBefore);
      root.putPOJO("events_missed", coverage.missedEvents()).putPOJO("faults_missed", coverage.gaps())
          .putPOJO("reached", coverage.counts());
      System.out.println(json.writeValueAsString(root));
      return broken.get() == 0 ? 0 : 1;
    }

    /** Runs a plan and adds its coverage; returns 1 if a check failed, and 0 otherwise. */
    private static int runAndCountViolation(Plan plan, Coverage coverage) {
      Simulation.Verdict v = new Simulation(plan, false).run();
      coverage.add(v.coverage());
      if (!v.passed()) {
        System.err.println(v.failures().get(0) + "; repeat with sim replay of\n" + plan.json());
      }
      return v.passed() ? 0 : 1;
    }
  }
}
