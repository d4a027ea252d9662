package gapproxy.day;

import gapproxy.config.Config;
import gapproxy.config.ConfigException;
import gapproxy.config.ConfigReader;
import gapproxy.daemon.Node;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts the gateways of a day: as separate processes, or within this process for tests, where starting processes would take too long. */
interface GatewayLauncher {
  /** A gateway that has been started. */
  interface RunningGateway {
    InetSocketAddress address();

    /** Ends the gateway at once, as a crash would. */
    void kill();

    /** Shuts the gateway down and waits for its end; returns whether it ended in time and, as a process, with exit code 0. */
    boolean stop();
  }

  /**
   * Starts a gateway.
   *
   * @param settings the gateway's configuration as JSON
   * @throws IOException if the gateway does not start
   */
  RunningGateway start(String name, String settings) throws IOException;

  /** Runs gateways in this process. */
  final class InProcess implements GatewayLauncher {
    @Override
    public RunningGateway start(String name, String settings) throws IOException {
      Config config;
      try {
        config = ConfigReader.parse(settings, name);
      } catch (ConfigException e) {
        throw new IOException(e);
      }
      Node node = Node.start(config);
      return new RunningGateway() {
        @Override
        public InetSocketAddress address() {
          return node.address();
        }

        @Override
        public void kill() {
          node.close();
        }

        @Override
        public boolean stop() {
          node.stop();
          return true;
        }
      };
    }
  }

  /** Runs gateways as separate processes, by the {@code serve} command of this program. */
  final class SeparateProcesses implements GatewayLauncher {
    private static final int STOP_TIMEOUT_SECONDS = 20;
    private final Path dir;

    SeparateProcesses(Path dir) {
      this.dir = dir;
    }

    @Override
    public RunningGateway start(String name, String settings) throws IOException {
      Path file = dir.resolve(name + ".json");
      Files.writeString(file, settings);
      Process process = new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-Xmx512m", "-cp", System.getProperty("java.class.path"), "gapproxy.cli.Main", "serve", "--config",
          file.toString())).redirectError(ProcessBuilder.Redirect.appendTo(dir.resolve(name + ".log").toFile())).start();
      BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      String line = out.readLine();
      if (line == null || !line.startsWith("listening on http://")) {
        process.destroyForcibly();
        throw new IOException("gateway " + name + " did not start: " + line);
      }
      int colon = line.lastIndexOf(':');
      InetSocketAddress address = new InetSocketAddress(line.substring("listening on http://".length(), colon),
          Integer.parseInt(line.substring(colon + 1)));
      return new RunningGateway() {
        @Override
        public InetSocketAddress address() {
          return address;
        }

        @Override
        public void kill() {
          process.destroyForcibly();
          await();
        }

        @Override
        public boolean stop() {
          process.destroy();
          return await() && process.exitValue() == 0;
        }

        private boolean await() {
          try {
            boolean ended = process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (!ended) {
              process.destroyForcibly();
            }
            return ended;
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
          }
        }
      };
    }
  }
}
