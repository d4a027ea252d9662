package gapproxy.cli;

import gapproxy.config.Config;
import gapproxy.daemon.Demo;
import gapproxy.daemon.Logs;
import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the demo until the process is stopped. */
@Command(name = "demo", description = "Runs a gateway, a list service and five emulated engines on loopback.")
final class DemoCommand implements Callable<Integer> {
  @Option(names = "--port", defaultValue = "8080", paramLabel = "N",
      description = "Port of the gateway; 0 selects any free port (default: ${DEFAULT-VALUE}).")
  private int port;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (port < 0 || port > 65535) {
      throw new Main.CommandFailedException("--port: must be 0 to 65535");
    }
    Logs.configure(new Config.Log("text", "warn"));
    Demo demo;
    try {
      demo = new Demo(port);
    } catch (IOException e) {
      throw new Main.CommandFailedException("can't listen on 127.0.0.1:" + port + ": " + e.getMessage());
    }
    Exit.onShutdownSignal(demo::close);
    String url = "http://127.0.0.1:" + demo.address().getPort();
    System.out.println("listening on " + url);
    System.out.println("curl -N -i " + url + "/v1/chat/completions -H 'content-type: application/json' "
        + "-d '{\"model\":\"demo\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Write a flood warning.\"}]}'");
    new CountDownLatch(1).await();
    return 0;
  }
}
