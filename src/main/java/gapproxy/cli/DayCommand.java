package gapproxy.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gapproxy.audit.Audit;
import gapproxy.config.Config;
import gapproxy.config.ConfigException;
import gapproxy.daemon.Logs;
import gapproxy.day.Day;
import gapproxy.day.Script;
import gapproxy.day.SocketReplay;
import gapproxy.sim.Plan;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs scripted fault scenarios ("days") against real gateways, and compares simulated plans with their replay over sockets. */
@Command(name = "day", description = {
    "Runs a scripted day of faults against real gateways and checks the five rules on the observed traffic.",
    "Exit code 0 only if no rule was broken and reqs were accepted."})
final class DayCommand implements Callable<Integer> {
  private static final int MAX_VIOLATIONS_SHOWN = 20;

  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;
  @Parameters(arity = "0..1", paramLabel = "NAME|FILE", description = "A built-in day, or a script file.")
  private String name;
  @Option(names = "--list", description = "Prints the names of the built-in days.")
  private boolean list;
  @Option(names = "--seed", defaultValue = "1", description = "Seed of the traffic (default: ${DEFAULT-VALUE}).")
  private long seed;
  @Option(names = "--seconds", defaultValue = "0", description = "Length of the day, overriding the script.")
  private double seconds;
  @Option(names = "--json", description = "Prints the result as one line of JSON.")
  private boolean json;
  @Option(names = "--in-process", description = "Runs the gateways in this process instead of separate processes.")
  private boolean inside;

  @Option(names = "--plan", paramLabel = "FILE", split = ",", description = {
      "Replays simulation plans (see sim replay) over sockets and compares",
      "the outcome of each req with the simulation; exit code 0 only if all agree."})
  private List<Path> plans = List.of();

  /** Compares the simulation of each plan with its replay over sockets; returns the exit code. */
  private int comparePlans() throws IOException {
    Logs.configure(new Config.Log("text", "error"));
    int differ = 0;
    for (Path file : plans) {
      Path dir = Files.createTempDirectory("gapproxy-plan");
      try {
        SocketReplay.Comparison comparison = SocketReplay.compare(Plan.parse(Files.readString(file), file.toString()), dir);
        differ += comparison.differences().size();
        System.out.printf("%s: of %d reqs %d agree, %d differ, %d were left by their client on one ground only%n", file.getFileName(),
            comparison.reqs(), comparison.reqs() - comparison.differences().size() - comparison.leftOnOneSide(),
            comparison.differences().size(), comparison.leftOnOneSide());
        comparison.differences().forEach(d -> System.out.println("  " + d));
      } catch (ConfigException | IllegalArgumentException e) {
        throw new Main.CommandFailedException(file + ": " + e.getMessage());
      } finally {
        try (Stream<Path> left = Files.walk(dir)) {
          left.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        }
      }
    }
    return differ == 0 ? 0 : 1;
  }

  @Override
  public Integer call() throws IOException {
    if (!plans.isEmpty()) {
      return comparePlans();
    }
    if (list) {
      Script.names().forEach(System.out::println);
      return 0;
    }
    if (name == null) {
      throw new CommandLine.ParameterException(spec.commandLine(), "missing the name of a day or a script file");
    }
    if (!(seconds >= 0 && seconds <= 86400)) {
      throw new CommandLine.ParameterException(spec.commandLine(), "--seconds: must be a number from 0 to 86400");
    }
    Script script;
    try {
      script = Script.find(name);
    } catch (ConfigException e) {
      throw new Main.CommandFailedException(e.getMessage());
    }
    Logs.configure(new Config.Log("text", "error"));
    Day.Result result = new Day(script, seed, seconds, inside).run();
    if (json) {
      System.out.println(toJson(result));
    } else {
      printResult(result);
    }
    return result.passed() ? 0 : 1;
  }

  private static ObjectNode toJson(Day.Result result) {
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode root = mapper.createObjectNode().put("day", result.name()).put("seed", result.seed()).put("seconds", result.seconds())
        .put("good", result.passed()).put("taken", result.audit().taken()).put("unfinished", result.audit().unfinished())
        .put("service", result.inTimeShare()).put("first_token_p50_ms", result.firstTokenP50Ms())
        .put("first_token_p99_ms", result.firstTokenP99Ms())
        .put("remote", result.remoteReads()).put("local", result.localReads()).put("longest_held_ms", result.audit().longestHeldMs())
        .put("stopped_well", result.stoppedCleanly());
    root.set("ends", mapper.valueToTree(result.audit().ends()));
    ObjectNode broken = root.putObject("broken");
    for (int i = 1; i <= 5; i++) {
      broken.put("rule" + i, result.audit().counts()[i]);
    }
    var first = root.putArray("first");
    result.audit().violations().stream().limit(MAX_VIOLATIONS_SHOWN).forEach(b ->
        first.addObject().put("rule", b.rule()).put("at_ms", b.at().toMillis()).put("what", b.description()));
    return root;
  }

  private static void printResult(Day.Result result) {
    Audit.Report report = result.audit();
    System.out.printf("day %s, seed %d, %.0f s: %s%n", result.name(), result.seed(), result.seconds(),
        result.passed() ? "all rules kept" : report.taken() == 0 ? "no req was taken" : !report.passed() ? "rules broken"
            : "a gateway did not stop well");
    System.out.printf("taken %d, ends %s, unfinished %d%n", report.taken(), new java.util.TreeMap<>(report.ends()), report.unfinished());
    System.out.printf("service %.3f, first token p50 %.1f ms, p99 %.1f ms; read remotely %d, at the writer %d%n",
        result.inTimeShare(), result.firstTokenP50Ms(), result.firstTokenP99Ms(), result.remoteReads(), result.localReads());
    System.out.printf("longest held with no forward out %d ms%n", report.longestHeldMs());
    for (int i = 1; i <= 5; i++) {
      if (report.counts()[i] > 0) {
        System.out.printf("rule %d broken %d times%n", i, report.counts()[i]);
      }
    }
    report.violations().stream().limit(MAX_VIOLATIONS_SHOWN).forEach(b ->
        System.out.printf("  rule %d at %.3f s: %s%n", b.rule(), b.at().toMillis() / 1000.0, b.description()));
  }
}
