package gapproxy.daemon;

import gapproxy.config.Config;
import gapproxy.gateway.Gateway;
import gapproxy.memory.MemoryBudget;
import gapproxy.openai.ChatRequest;
import gapproxy.runtime.LiveDisk;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Owns one gateway together with its event loop, network transport and disk access.
 * Methods that wait for the loop must not be called on it.
 */
public final class Node implements AutoCloseable {
  private final Config config;
  private final LiveLoop loop;
  private final LiveNet net;
  private final LiveDisk disk = new LiveDisk();
  private final Gateway gateway;
  private final CountDownLatch stopped = new CountDownLatch(1);
  private volatile InetSocketAddress address;

  private Node(Config config, Long seed, int socketBuffer, Runnable onFatal) throws IOException {
    this.config = config;
    loop = new LiveLoop(config.name(), cause -> onLoopFailure(onFatal));
    net = new LiveNet(config.name() + "-net", Math.max(2, Runtime.getRuntime().availableProcessors() / 2), socketBuffer);
    gateway = new Gateway(config, loop, net, disk, MemoryBudget.forHeap(), seed != null ? seed
        : loop.wallClock().toEpochMilli() * 31 + config.name().hashCode());
  }

  /**
   * Starts a gateway.
   *
   * @throws IOException if its port can't be bound
   */
  public static Node start(Config config) throws IOException {
    return start(config, null);
  }

  /** Runs when the loop has ended by an error: aborts all open reqs so that clients get an answer, then calls {@code onFatal}. */
  private void onLoopFailure(Runnable onFatal) {
    try {
      if (gateway != null) {
        gateway.abortAllReqs();
      }
    } finally {
      onFatal.run();
    }
  }

  /**
   * Starts a gateway with a given seed.
   *
   * @param seed for the random choices in routing decisions, or null for a different one at each start
   * @throws IOException if its port can't be bound
   */
  public static Node start(Config config, Long seed) throws IOException {
    return start(config, seed, 0, () -> { });
  }

  /**
   * Starts a gateway.
   *
   * @param seed for the random choices in routing decisions, or null for a different one at each start
   * @param socketBuffer size in bytes of the operating system's buffers of each connection, or 0 for the system default
   * @param onFatal called when the loop has ended by an error; it must end the process
   * @throws IOException if the gateway's port can't be bound
   */
  public static Node start(Config config, Long seed, int socketBuffer, Runnable onFatal) throws IOException {
    warmUp();
    Node node = new Node(config, seed, socketBuffer, onFatal);
    IOException[] failed = new IOException[1];
    node.loop.runAndWait(() -> {
      try {
        node.gateway.start();
        node.address = node.gateway.address();
      } catch (IOException e) {
        failed[0] = e;
      }
    });
    if (failed[0] != null) {
      node.closeResources();
      throw failed[0];
    }
    return node;
  }

  /** Loads the tokenizer's tables before the first req arrives: loading takes some hundred milliseconds, which that req would wait for. */
  private static void warmUp() {
    byte[] body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"Some text.\"}]}"
        .getBytes(java.nio.charset.StandardCharsets.UTF_8);
    ChatRequest.parse(body);
  }

  /** The address at which the gateway listens. */
  public InetSocketAddress address() {
    return address;
  }

  public Gateway gateway() {
    return gateway;
  }

  public LiveLoop loop() {
    return loop;
  }

  /** Returns the number of open reqs; waits for the loop. */
  public int openReqCount() {
    int[] open = new int[1];
    loop.runAndWait(() -> open[0] = gateway.openReqCount());
    return open[0];
  }

  /** Returns the number of internal faults, see {@link Gateway#internalFaults}; waits for the loop. */
  public long internalFaults() {
    long[] n = new long[1];
    loop.runAndWait(() -> n[0] = gateway.internalFaults());
    return n[0];
  }

  /** Shuts down gracefully; waits at most the configured stop time plus 5 s. */
  public void stop() {
    loop.execute(() -> gateway.stop(stopped::countDown));
    try {
      if (!stopped.await(config.limits().stopMs() + 5000L, TimeUnit.MILLISECONDS)) {
        org.slf4j.LoggerFactory.getLogger(Node.class).error("gateway did not stop within its stop time; closing it");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    closeResources();
  }

  /** Closes the gateway at once without finishing open reqs, as if the process had been killed. */
  @Override
  public void close() {
    loop.runAndWait(gateway::kill);
    closeResources();
  }

  private void closeResources() {
    loop.close();
    net.close();
    disk.close();
  }
}
