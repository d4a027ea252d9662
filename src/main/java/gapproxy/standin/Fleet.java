package gapproxy.standin;

import gapproxy.audit.Traffic;
import gapproxy.list.ServerList;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** A set of emulated engines with their list service, on one loop. */
public final class Fleet {
  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

  /**
   * Size of a fleet.
   *
   * @param zones zones of the fleet
   * @param cells cells in each zone
   * @param readers readers in each cell
   * @param writers writers in each cell
   * @param speedFactor factor by which the engines are faster than the defaults
   */
  public record Size(int zones, int cells, int readers, int writers, double speedFactor) {
    /** The fleet of the demo. */
    public static final Size DEMO = new Size(1, 1, 2, 3, 1);
  }

  private final Loop loop;
  private final Net net;
  private final Traffic traffic;
  private final TreeMap<Long, Engine> engines = new TreeMap<>();
  private final TreeMap<Long, ServerList.State> states = new TreeMap<>();
  public final ListService listService;
  private final SplittableRandom random;

  /**
   * Starts all engines, warm, and lists them as ready. Must be called on the loop.
   *
   * @param epoch identifier of the list's version history, different at each start
   */
  public Fleet(Size size, Loop loop, Net net, Traffic traffic, long seed, String epoch) throws IOException {
    this.loop = loop;
    this.net = net;
    this.traffic = traffic;
    random = new SplittableRandom(seed);
    listService = new ListService(loop, traffic, epoch);
    listService.start(net, ANY_PORT);
    long id = 1;
    for (int z = 0; z < size.zones; z++) {
      for (int c = 0; c < size.cells; c++) {
        for (int i = 0; i < size.readers + size.writers; i++) {
          boolean reader = i < size.readers;
          Engine.Spec spec = reader
              ? new Engine.Spec(id++, "zone" + z, "cell" + c, "reader", "read", 6, 30, 250_000, 40_000 * size.speedFactor,
                  Duration.ofMillis(10), 0.3, Duration.ofSeconds(4), 60 * size.speedFactor, 4, Duration.ofSeconds(1))
              : new Engine.Spec(id++, "zone" + z, "cell" + c, "writer", "write", 64, 32, 200_000, 12_000 * size.speedFactor,
                  Duration.ofNanos((long) (8e6 / size.speedFactor)), 0.3, Duration.ofSeconds(4), 60 * size.speedFactor, 4,
                  Duration.ofSeconds(1));
          startEngine(spec);
        }
      }
    }
  }

  private void startEngine(Engine.Spec spec) throws IOException {
    Engine engine = new Engine(spec, loop, net, ANY_PORT, engines, random.split(), traffic);
    engine.start(false);
    publishState(engine, ServerList.State.READY);
  }

  /** Sets an engine's state in the list; gateways see the change after {@link ListService#delay}. */
  public void publishState(Engine engine, ServerList.State state) {
    states.put(engine.spec.id(), state);
    listService.setEntry(engine.entry(state));
  }

  public Collection<Engine> engines() {
    return engines.values();
  }

  public Engine engine(long id) {
    return engines.get(id);
  }

  /** Returns the state of each engine that was last published in the list, by engine id. */
  public Map<Long, ServerList.State> states() {
    return states;
  }

  /** Crashes an engine and restarts it cold after the given time; the list shows both changes. */
  public void restart(Engine engine, Duration down) {
    engine.kill();
    publishState(engine, ServerList.State.GONE);
    loop.after(down, () -> {
      try {
        engine.start(true);
        publishState(engine, ServerList.State.READY);
      } catch (IOException io) {
        loop.after(Duration.ofMillis(100), () -> restart(engine, Duration.ZERO));
      }
    });
  }

  /** Replaces an engine by another machine with the same id; the list never shows the old one as gone. */
  public void replace(Engine engine) {
    try {
      engine.replace();
      publishState(engine, ServerList.State.READY);
    } catch (IOException io) {
      throw new java.io.UncheckedIOException(io);
    }
  }

  public void close() {
    engines.values().forEach(Engine::kill);
    listService.close();
  }
}
