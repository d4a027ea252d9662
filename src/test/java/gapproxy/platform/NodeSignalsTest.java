package gapproxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.standin.PlatformSite;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Signals to a gateway that runs as its own process, before its first server list and during a reload. */
class NodeSignalsTest {
  @TempDir
  private Path folder;

  /** Guards against a process that dies of SIGHUP, or doesn't end cleanly on SIGTERM, while discovery has not answered yet. */
  @Test
  void signalsBeforeFirstListAreHandled() throws Exception {
    LiveLoop loop = new LiveLoop("site");
    LiveNet net = new LiveNet("site-net", 1);
    PlatformSite[] site = new PlatformSite[1];
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    String[] config = new String[1];
    loop.runAndWait(() -> {
      try {
        site[0] = new PlatformSite(loop, net, 1, 1, Duration.ofMillis(2), 2);
        site[0].discoverySilent = true;
        config[0] = site[0].config("127.0.0.1:" + port);
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    });
    Path file = Files.writeString(folder.resolve("config.json"), config[0]);
    ProcessBuilder builder = new ProcessBuilder(ProcessHandle.current().info().command().orElse("java"), "-XX:TieredStopAtLevel=1", "-cp",
        System.getProperty("java.class.path"), "gapproxy.cli.Main", "node").redirectErrorStream(true);
    builder.environment().put("LB_CONFIG", file.toString());
    Process node = builder.start();
    try (Socket socket = connectWhenOpen(port)) {
      signal(node, "HUP");
      socket.getOutputStream().write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      assertEquals('H', socket.getInputStream().read(), "the process did not survive SIGHUP");
      signal(node, "TERM");
      assertTrue(node.waitFor(10, TimeUnit.SECONDS));
      assertEquals(0, node.exitValue(), new String(node.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
    } finally {
      node.destroyForcibly();
      loop.runAndWait(site[0]::close);
      loop.close();
      net.close();
    }
  }

  /**
   * Guards against a start that fails because the previous process still holds the port, and against a reload that is lost because the
   * file was half written when SIGHUP came: no further signal follows, so the gateway must read the file again.
   */
  @Test
  void busyPortAndHalfWrittenFileAreRetried() throws Exception {
    LiveLoop loop = new LiveLoop("site");
    LiveNet net = new LiveNet("site-net", 1);
    PlatformSite[] site = new PlatformSite[1];
    ServerSocket predecessor = new ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"));
    int port = predecessor.getLocalPort();
    String[] config = new String[1];
    loop.runAndWait(() -> {
      try {
        site[0] = new PlatformSite(loop, net, 1, 1, Duration.ofMillis(2), 2);
        config[0] = site[0].config("127.0.0.1:" + port);
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    });
    Path file = Files.writeString(folder.resolve("config.json"), config[0]);
    ProcessBuilder builder = new ProcessBuilder(ProcessHandle.current().info().command().orElse("java"), "-XX:TieredStopAtLevel=1", "-cp",
        System.getProperty("java.class.path"), "gapproxy.cli.Main", "node").redirectErrorStream(true);
    builder.environment().put("LB_CONFIG", file.toString());
    Process node = builder.start();
    try {
      assertTrue(!node.waitFor(1500, TimeUnit.MILLISECONDS), "the process gave up while the port was busy");
      predecessor.close();
      connectWhenOpen(port).close();
      int before = awaitWatchCalls(loop, site[0], 1);
      loop.runAndWait(() -> {
        try {
          site[0].startDiscovery();
          config[0] = site[0].config("127.0.0.1:" + port);
        } catch (IOException e) {
          throw new java.io.UncheckedIOException(e);
        }
      });
      Files.writeString(file, config[0].substring(0, config[0].length() / 2));
      signal(node, "HUP");
      new CountDownLatch(1).await(300, TimeUnit.MILLISECONDS);
      Files.writeString(file, config[0]);
      assertTrue(awaitWatchCalls(loop, site[0], before + 1) > before,
          () -> "the watch did not move to the new discovery address after " + before + " calls: " + outputSoFar(node));
    } finally {
      node.destroyForcibly();
      loop.runAndWait(site[0]::close);
      loop.close();
      net.close();
      predecessor.close();
    }
  }

  /** Waits up to three seconds for a number of watch calls, and returns how many the emulated discovery service has received. */
  private static int awaitWatchCalls(LiveLoop loop, PlatformSite site, int minimum) throws InterruptedException {
    int[] received = new int[1];
    for (int i = 0; i < 300 && received[0] < minimum; i++) {
      new CountDownLatch(1).await(10, TimeUnit.MILLISECONDS);
      loop.runAndWait(() -> received[0] = site.callCounts.getOrDefault("watch", 0));
    }
    return received[0];
  }

  private static String outputSoFar(Process process) {
    try {
      return new String(process.getInputStream().readNBytes(process.getInputStream().available()), StandardCharsets.UTF_8);
    } catch (IOException e) {
      return e.toString();
    }
  }

  /** Connects to the port, and retries until it is open. */
  private static Socket connectWhenOpen(int port) throws Exception {
    for (int i = 0; i < 4000; i++) {
      Socket socket = new Socket();
      try {
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setSoTimeout(5_000);
        return socket;
      } catch (IOException e) {
        socket.close();
        new CountDownLatch(1).await(5, TimeUnit.MILLISECONDS);
      }
    }
    throw new IOException("the port did not open");
  }

  private static void signal(Process process, String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }
}
