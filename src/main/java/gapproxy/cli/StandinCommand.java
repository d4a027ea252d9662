package gapproxy.cli;

import gapproxy.audit.Traffic;
import gapproxy.config.Config;
import gapproxy.daemon.Logs;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.standin.Fleet;
import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs emulated engines and a list service for a gateway that is started separately. */
@Command(name = "standin", description = {"Runs emulated engines and a list service on loopback, to test a gateway against.",
    "The kinds of servers are reader and writer; the zones are zone0, zone1 and so on."})
final class StandinCommand implements Callable<Integer> {
  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;
  @Option(names = "--zones", defaultValue = "1", description = "Number of zones (default: ${DEFAULT-VALUE}).")
  private int zones;
  @Option(names = "--readers", defaultValue = "2", description = "Number of readers in each zone (default: ${DEFAULT-VALUE}).")
  private int readers;
  @Option(names = "--writers", defaultValue = "3", description = "Number of writers in each zone (default: ${DEFAULT-VALUE}).")
  private int writers;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (zones < 1 || zones > 8 || readers < 0 || readers > 64 || writers < 1 || writers > 64) {
      throw new CommandLine.ParameterException(spec.commandLine(),
          "--zones: must be 1 to 8; --readers: must be 0 to 64; --writers: must be 1 to 64");
    }
    Logs.configure(new Config.Log("text", "warn"));
    LiveLoop loop = new LiveLoop("engines");
    LiveNet net = new LiveNet("engines-net", 2);
    IOException[] failed = new IOException[1];
    loop.runAndWait(() -> {
      try {
        Fleet fleet = new Fleet(new Fleet.Size(zones, 1, readers, writers, 1), loop, net, new Traffic() {}, 1,
            "standin" + loop.wallClock().toEpochMilli());
        Exit.onShutdownSignal(() -> loop.runAndWait(fleet::close));
        System.out.println("list http://127.0.0.1:" + fleet.listService.address().getPort() + "/v1/servers");
        fleet.engines().forEach(e -> System.out.println(e.spec.kind() + " " + e.spec.id() + " in " + e.spec.zone() + " at http://127.0.0.1:"
            + e.address().getPort()));
      } catch (IOException e) {
        failed[0] = e;
      }
    });
    if (failed[0] != null) {
      throw failed[0];
    }
    new CountDownLatch(1).await();
    return 0;
  }
}
