package gapproxy.day;

import gapproxy.audit.Silent;
import gapproxy.http.EventStream;
import gapproxy.http.HttpClient;
import gapproxy.list.ServerList;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.standin.Engine;
import gapproxy.standin.ListService;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/** What a gateway costs: the same clients straight to the same engines and through a gateway process, by turns. */
public final class Overhead implements AutoCloseable {
  private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
  private static final int WRITERS = 4;
  private static final Duration CONNECT = Duration.ofSeconds(5);

  private final LiveLoop engineLoop = new LiveLoop("engines");
  private final LiveLoop loop = new LiveLoop("clients");
  private final LiveNet net = new LiveNet("overhead-net", 4);
  private final HttpClient http = new HttpClient(loop, net, Duration.ofSeconds(20));
  private final TreeMap<Long, Engine> engines = new TreeMap<>();
  private final List<InetSocketAddress> direct = new ArrayList<>();
  private final SplittableRandom chance;
  private final Path dir = Files.createTempDirectory("gapproxy-overhead");
  private final Process gateway;
  private final InetSocketAddress through;
  private ListService list;
  private int at;

  /** @param heap most heap of the gateway, as {@code 1g} */
  public Overhead(long seed, String heap) throws IOException {
    chance = new SplittableRandom(seed);
    IOException[] failed = new IOException[1];
    engineLoop.call(() -> {
      try {
        list = new ListService(engineLoop, new Silent(), "overhead");
        list.start(net, ANY);
        for (long id = 1; id <= WRITERS; id++) {
          Engine e = new Engine(new Engine.Spec(id, "zone0", "cell0", "writer", "write", 100_000, 100_000,
              Integer.MAX_VALUE / 2, 1e7, Duration.ofMillis(10), 1, Duration.ofMillis(1), 1e6, 100, Duration.ofSeconds(1)),
              engineLoop, net, ANY, engines, chance.split(), new Silent());
          e.start(false);
          list.set(e.entry(ServerList.State.READY));
          direct.add(e.address());
        }
      } catch (IOException e) {
        failed[0] = e;
      }
    });
    if (failed[0] != null) {
      throw failed[0];
    }
    Path file = dir.resolve("gateway.json");
    Files.writeString(file, """
        {"name": "overhead", "listen": {"port": 0}, "zones": ["zone0"],
         "groups": [{"name": "m", "models": ["m"], "response_target_ms": 20000, "deadline_ms": 60000}],
         "kinds": [{"name": "writer", "role": "write", "memory_tokens": 1000000000}],
         "list": {"url": "http://127.0.0.1:%d/v1/servers"}, "log": {"level": "warn"}}
        """.formatted(list.address().getPort()));
    Process p = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx" + heap, "-cp",
        System.getProperty("java.class.path"), "gapproxy.cli.Main", "serve", "--config", file.toString())
        .redirectError(ProcessBuilder.Redirect.INHERIT).start();
    String line = p.inputReader().readLine();
    if (line == null || !line.startsWith("listening on ")) {
      p.destroyForcibly();
      throw new IOException("the gateway did not start");
    }
    gateway = p;
    through = new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
  }

  private InetSocketAddress next() {
    return direct.get(at++ % direct.size());
  }

  /** One streamed req; on the clients' loop. */
  private void ask(InetSocketAddress to, int answer, Runnable first, Consumer<Boolean> end, Runnable each) {
    byte[] body = ("{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"A short prompt. "
        + "[[answer=" + answer + "]]\"}]}").getBytes(StandardCharsets.UTF_8);
    boolean[] seen = new boolean[2];
    EventStream events = new EventStream(1 << 20, data -> {
      if (!seen[0] && data.contains("\"w0\"")) {
        seen[0] = true;
        first.run();
      }
      seen[1] |= data.equals("[DONE]");
      each.run();
    });
    http.call(to, "POST", "/v1/chat/completions", Map.of("content-type", "application/json"), body, CONNECT,
        new HttpClient.Listener() {
          @Override
          public void head(int status, Map<String, String> headers) {}

          @Override
          public void data(byte[] bytes) {
            events.take(bytes);
          }

          @Override
          public void end() {
            end.accept(seen[1]);
          }

          @Override
          public void failed(HttpClient.Failure how, String why) {
            end.accept(false);
          }
        });
  }

  /** First tokens of an open loop: latency counts from when a req was due, not from when it could be sent. */
  private Histogram firstTokens(Supplier<InetSocketAddress> to, double rate, Duration span) throws InterruptedException {
    Histogram h = new Histogram(TimeUnit.MINUTES.toMicros(1), 3);
    int n = (int) (rate * span.toMillis() / 1000);
    CountDownLatch left = new CountDownLatch(n);
    loop.execute(() -> due(to, rate, n, loop.now(), h, left));
    if (!left.await(span.toMillis() + 20_000, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException(left.getCount() + " reqs have no end");
    }
    return h;
  }

  private void due(Supplier<InetSocketAddress> to, double rate, int n, Duration at, Histogram h, CountDownLatch left) {
    if (n == 0) {
      return;
    }
    ask(to.get(), 3, () -> h.recordValue(Math.max(0, loop.now().minus(at).toNanos() / 1000)), well -> left.countDown(), () -> { });
    Duration then = at.plusNanos((long) (-Math.log(1 - chance.nextDouble()) / rate * 1e9));
    loop.after(then.minus(loop.now()), () -> due(to, rate, n - 1, then, h, left));
  }

  /** Events a second that so many streams get when engines write as fast as they can. */
  private double relay(Supplier<InetSocketAddress> to, int streams, int answer) throws InterruptedException {
    engineLoop.call(() -> engines.values().forEach(e -> e.faults.slow = 1e-9));
    long[] events = new long[1];
    CountDownLatch left = new CountDownLatch(streams);
    long begun = System.nanoTime();
    loop.execute(() -> {
      for (int i = 0; i < streams; i++) {
        ask(to.get(), answer, () -> { }, well -> left.countDown(), () -> events[0]++);
      }
    });
    boolean all = left.await(60, TimeUnit.SECONDS);
    double seconds = (System.nanoTime() - begun) / 1e9;
    engineLoop.call(() -> engines.values().forEach(e -> e.faults.slow = 1));
    if (!all) {
      throw new IllegalStateException("streams did not end");
    }
    return events[0] / seconds;
  }

  private Duration cpu() {
    return gateway.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /** Prints what it finds, a line each. */
  public void run(Consumer<String> out, int streams) throws InterruptedException {
    Supplier<InetSocketAddress> gate = () -> through;
    Duration span = Duration.ofSeconds(5);
    firstTokens(this::next, 200, span);                       // both warm
    firstTokens(gate, 500, span);
    for (double rate : new double[] {50, 200, 1000}) {
      Histogram a = firstTokens(this::next, rate, span);
      Histogram b = firstTokens(gate, rate, span);
      out.accept("first token at %.0f reqs/s: direct p50 %.2f p99 %.2f ms, through p50 %.2f p99 %.2f ms, added p50 %.2f p99 %.2f ms"
          .formatted(rate, ms(a, 50), ms(a, 99), ms(b, 50), ms(b, 99), ms(b, 50) - ms(a, 50), ms(b, 99) - ms(a, 99)));
    }
    relay(gate, 50, 2000);
    double a = relay(this::next, 100, 5000);
    double b = relay(gate, 100, 5000);
    out.accept("relay: direct %.0f events/s, through %.0f events/s, ratio %.2f".formatted(a, b, b / a));
    open(out, streams);
  }

  private static double ms(Histogram h, double percentile) {
    return h.getValueAtPercentile(percentile) / 1000.0;
  }

  /** Many streams open at once, each a token every half second. */
  private void open(Consumer<String> out, int streams) throws InterruptedException {
    engineLoop.call(() -> engines.values().forEach(e -> e.faults.slow = 50));
    CountDownLatch first = new CountDownLatch(streams);
    CountDownLatch left = new CountDownLatch(streams);
    int[] well = new int[1];
    loop.execute(() -> {
      for (int i = 0; i < streams; i++) {
        loop.after(Duration.ofMillis(i), () -> ask(through, 30, first::countDown, w -> {
          well[0] += w ? 1 : 0;
          left.countDown();
        }, () -> { }));
      }
    });
    boolean begun = first.await(60, TimeUnit.SECONDS);
    Duration before = cpu();
    Thread.sleep(3000);
    Duration used = cpu().minus(before);
    left.await(120, TimeUnit.SECONDS);
    out.accept("%d streams open at once: %s, ended well %d; gateway CPU %.2f cores at %.0f tokens/s".formatted(streams,
        begun ? "all began" : first.getCount() + " did not begin", well[0], used.toMillis() / 3000.0, streams * 2.0));
  }

  @Override
  public void close() throws IOException {
    gateway.destroy();
    try {
      if (!gateway.waitFor(15, TimeUnit.SECONDS)) {
        gateway.destroyForcibly();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    engineLoop.call(() -> {
      engines.values().forEach(Engine::kill);
      list.close();
    });
    engineLoop.close();
    loop.close();
    net.close();
    Files.deleteIfExists(dir.resolve("gateway.json"));
    Files.deleteIfExists(dir);
  }
}
