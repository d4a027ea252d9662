package gapproxy.cli;

import gapproxy.config.Config;
import gapproxy.config.ConfigException;
import gapproxy.config.ConfigReader;
import gapproxy.daemon.Logs;
import gapproxy.daemon.Node;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a gateway from a configuration file. */
@Command(name = "serve", description = "Runs a gateway until it is stopped (SIGTERM or SIGINT).")
final class ServeCommand implements Callable<Integer> {
  @Option(names = "--config", required = true, paramLabel = "FILE", description = "Configuration file; `config schema` prints its schema.")
  private Path file;

  @Override
  public Integer call() throws InterruptedException, IOException {
    Config config;
    try {
      config = ConfigReader.read(file);
    } catch (ConfigException e) {
      throw new Main.CommandFailedException(e.getMessage());
    }
    Logs.configure(config.log());
    Node node;
    try {
      node = Node.start(config, null, 0, Exit::exitAfterFatalError);
    } catch (IOException e) {
      throw new Main.CommandFailedException("can't listen on " + config.listen().host() + ":" + config.listen().port() + ": "
          + e.getMessage());
    }
    CountDownLatch never = new CountDownLatch(1);
    Exit.onShutdownSignal(node::stop);
    System.out.println("listening on http://" + node.address().getHostString() + ":" + node.address().getPort());
    never.await();
    return 0;
  }
}
