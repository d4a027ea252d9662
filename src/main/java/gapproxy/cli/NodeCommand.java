package gapproxy.cli;

import gapproxy.daemon.Logs;
import gapproxy.daemon.WarmUpRun;
import gapproxy.platform.PlatformNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sun.misc.Signal;

/** Runs a gateway on the platform: SIGHUP reloads its configuration, SIGUSR1 logs a report, SIGTERM stops it. */
@Command(name = "node", description = "Runs a gateway on the platform, configured by the file named in LB_CONFIG.")
final class NodeCommand implements Callable<Integer> {
  static final String DEFAULT_LOG_LEVEL = "warn";
  private static final int MAX_RELOAD_ATTEMPTS = 20;
  private static final long RELOAD_RETRY_DELAY_MS = 100;

  @Option(names = "--log-level", defaultValue = NodeCommand.DEFAULT_LOG_LEVEL, paramLabel = "LEVEL",
      description = "Default: ${DEFAULT-VALUE}.")
  private String level = DEFAULT_LOG_LEVEL;

  @Option(names = "--rehearse", description = "Sends some reqs on loopback and exits, to record the class list for the build.")
  private boolean rehearse;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (rehearse) {
      Logs.configurePlain(level);
      try {
        if (!WarmUpRun.run()) {
          throw new Main.CommandFailedException("not every req of the warm-up run was answered");
        }
        return 0;
      } catch (PlatformNode.InvalidConfigException e) {
        throw new Main.CommandFailedException(e.getMessage());
      }
    }
    return serve(level);
  }

  /**
   * Runs the gateway until it is stopped. {@link Main#main} calls this directly, because parsing the command line with picocli takes as
   * long as the rest of the start-up.
   */
  static int serve(String level) throws IOException, InterruptedException {
    String named = System.getenv("LB_CONFIG");
    if (named == null || named.isEmpty()) {
      throw new Main.CommandFailedException("the environment variable LB_CONFIG is not set");
    }
    Path file = Path.of(named);
    Logs.configurePlain(level);
    Exit.installUncaughtExceptionHandler();
    CountDownLatch started = new CountDownLatch(1);
    CountDownLatch stopped = new CountDownLatch(1);
    PlatformNode[] node = new PlatformNode[1];
    handleSignals(file, started, stopped, node);
    try {
      node[0] = PlatformNode.open(Files.readAllBytes(file), Exit::exitAfterFatalError);
    } catch (PlatformNode.InvalidConfigException e) {
      throw new Main.CommandFailedException(file + ": " + e.getMessage());
    } catch (IOException e) {
      throw new Main.CommandFailedException("can't start from " + file + ": " + e.getMessage());
    }
    started.countDown();
    node[0].awaitFirstList();
    stopped.await();
    Logs.flushAndStop();
    return 0;
  }

  /**
   * Installs the signal handlers before the gateway starts: its port is open before the first server list arrives, and a signal without
   * a handler would end the process along with its open reqs. Each signal is handled on its own thread and waits until start-up is
   * complete.
   */
  private static void handleSignals(Path file, CountDownLatch started, CountDownLatch stopped, PlatformNode[] node) {
    Signal.handle(new Signal("HUP"), s -> {
      try {
        started.await();
        reload(file, node[0]);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    Signal.handle(new Signal("USR1"), s -> {
      try {
        started.await();
        node[0].report();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    Signal.handle(new Signal("TERM"), s -> {
      try {
        started.await();
        node[0].stop(stopped::countDown);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
  }

  /**
   * Reloads the configuration, with retries: the file may be only partly written when the signal arrives, and no second signal follows.
   * Synchronized, and each call reads the file again, so that the contents read for an earlier signal are never applied after those of a
   * later one.
   */
  private static synchronized void reload(Path file, PlatformNode node) throws InterruptedException {
    String lastError = "";
    for (int i = 0; i < MAX_RELOAD_ATTEMPTS; i++) {
      try {
        node.updateDiscovery(Files.readAllBytes(file));
        return;
      } catch (PlatformNode.InvalidConfigException | IOException e) {
        lastError = e.getMessage();
        TimeUnit.MILLISECONDS.sleep(RELOAD_RETRY_DELAY_MS);
      }
    }
    // The logger is obtained only here, because a logger in a static field would initialize logging before it is configured.
    LoggerFactory.getLogger(NodeCommand.class).atError()
        .addKeyValue("file", file).addKeyValue("why", lastError)
        .log("the new configuration is invalid; keeping the old one");
  }
}
