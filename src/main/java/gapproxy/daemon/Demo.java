package gapproxy.daemon;

import gapproxy.audit.Traffic;
import gapproxy.config.Config;
import gapproxy.config.ConfigException;
import gapproxy.config.ConfigReader;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.standin.Fleet;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * Runs a gateway, a list service and five emulated engines in one process, so that a user can send requests to a gateway by hand.
 * The engines and the list service share one loop; the gateway has its own.
 */
public final class Demo implements AutoCloseable {
  private final LiveLoop engineLoop = new LiveLoop("engines");
  private final LiveNet net = new LiveNet("engines-net", 2);
  private final Fleet fleet;
  private final Node node;

  /**
   * Starts all parts and waits until the gateway has received its first server list.
   *
   * @param port of the gateway on loopback; 0 selects any free port
   * @throws IOException if a port can't be bound or the first server list does not arrive within 5 s
   */
  public Demo(int port) throws IOException {
    Fleet[] created = new Fleet[1];
    IOException[] failed = new IOException[1];
    engineLoop.runAndWait(() -> {
      try {
        created[0] = new Fleet(Fleet.Size.DEMO, engineLoop, net, new Traffic() {}, 1, "demo");
      } catch (IOException e) {
        failed[0] = e;
      }
    });
    if (failed[0] != null) {
      throw failed[0];
    }
    fleet = created[0];
    InetSocketAddress list = fleet.listService.address();
    String configJson = """
        {"name": "demo", "listen": {"port": %d}, "zones": ["zone0"],
         "groups": [{"name": "demo", "models": ["demo"]}],
         "kinds": [{"name": "reader", "role": "read", "memory_tokens": 250000},
                   {"name": "writer", "role": "write", "memory_tokens": 200000}],
         "list": {"url": "http://127.0.0.1:%d/v1/servers"}}
        """.formatted(port, list.getPort());
    Config config;
    try {
      config = ConfigReader.parse(configJson, "demo");
    } catch (ConfigException e) {
      throw new IllegalStateException(e);
    }
    Node started = null;
    try {
      started = Node.start(config);
    } finally {
      if (started == null) {
        closeEngines();
      }
    }
    node = started;
    awaitList();
  }

  /** Waits until the gateway is ready: a req that arrives before the first server list would be pushed back. */
  private void awaitList() throws IOException {
    boolean[] ready = new boolean[1];
    for (int i = 0; i < 500 && !ready[0]; i++) {
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
      node.loop().runAndWait(() -> ready[0] = node.gateway().ready());
    }
    if (!ready[0]) {
      close();
      throw new IOException("the server list did not arrive within 5 s");
    }
  }

  /** The address at which the gateway listens. */
  public InetSocketAddress address() {
    return node.address();
  }

  private void closeEngines() {
    engineLoop.runAndWait(() -> {
      if (fleet != null) {
        fleet.close();
      }
    });
    engineLoop.close();
    net.close();
  }

  @Override
  public void close() {
    node.stop();
    closeEngines();
  }
}
