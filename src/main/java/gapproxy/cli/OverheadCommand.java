package gapproxy.cli;

import gapproxy.config.Config;
import gapproxy.daemon.Logs;
import gapproxy.day.Overhead;
import java.io.IOException;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the latency, CPU and memory that a gateway adds. */
@Command(name = "overhead", description = "Measures a gateway's overhead: sends the same load to emulated engines directly and through it.")
final class OverheadCommand implements Callable<Integer> {
  @Option(names = "--streams", defaultValue = "2000",
      description = "Concurrent streams in the last measurement (default: ${DEFAULT-VALUE}).")
  private int streams;
  @Option(names = "--heap", defaultValue = "1g", description = "Maximum heap of the gateway (default: ${DEFAULT-VALUE}).")
  private String heap;
  @Option(names = "--only", split = ",", description = "Measurements to run: ${COMPLETION-CANDIDATES} (default: all).")
  private Set<Overhead.Measure> only = EnumSet.allOf(Overhead.Measure.class);
  @Option(names = "--profile", description = "Also profiles the gateway with JDK Flight Recorder.")
  private boolean profile;
  @Option(names = "--seed", defaultValue = "1", description = "Seed of the arrivals (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (streams < 1 || streams > 20_000 || !heap.matches("[1-9][0-9]{0,5}[kmgKMG]?")) {
      throw new Main.CommandFailedException("--streams: must be 1 to 20000; --heap: must be a size such as 512m or 1g");
    }
    Logs.configure(new Config.Log("text", "error"));
    try (Overhead overhead = new Overhead(seed, heap, profile)) {
      overhead.run(System.out::println, only, streams);
    }
    return 0;
  }
}
