package gapproxy.day;

import gapproxy.audit.Traffic;
import gapproxy.http.ServerSentEventParser;
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
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import jdk.jfr.consumer.RecordedEvent;
import jdk.jfr.consumer.RecordingFile;
import org.HdrHistogram.Histogram;

/** Measures a gateway's overhead: sends the same load to the same engines directly and through a gateway process, alternately. */
public final class Overhead implements AutoCloseable {
  private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
  private static final int WRITERS = 4;
  private static final Set<String> IDLE_NATIVE_FRAMES = Set.of("EPoll.wait", "Unsafe.park", "Object.wait"); // waiting, without CPU use
  private static final int RELAY_ROUNDS = 5, RELAY_STREAMS = 100, RELAY_ANSWER_TOKENS = 5000;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

  private final LiveLoop engineLoop = new LiveLoop("engines");
  private final LiveLoop loop = new LiveLoop("clients");
  private final LiveNet net = new LiveNet("overhead-net", 4);
  private final HttpClient http = new HttpClient(loop, net, Duration.ofSeconds(20));
  private final TreeMap<Long, Engine> engines = new TreeMap<>();
  private final List<InetSocketAddress> engineAddresses = new ArrayList<>();
  private final SplittableRandom random;
  private final Path dir = Files.createTempDirectory("gapproxy-overhead");
  private final Process gateway;
  private final InetSocketAddress gatewayAddress;
  private final Supplier<InetSocketAddress> gatewayTarget = this::gatewayAddress;
  private final boolean profile;
  private ListService list;
  private int nextEngineIndex;

  /**
   * Starts the engines, the list service and the gateway process.
   *
   * @param heap    maximum heap of the gateway, such as {@code 1g}
   * @param profile whether to profile the gateway with JDK Flight Recorder
   */
  public Overhead(long seed, String heap, boolean profile) throws IOException {
    this.profile = profile;
    random = new SplittableRandom(seed);
    IOException[] failed = new IOException[1];
    engineLoop.runAndWait(() -> {
      try {
        list = new ListService(engineLoop, new Traffic() {}, "overhead");
        list.start(net, ANY_PORT);
        for (long id = 1; id <= WRITERS; id++) {
          Engine e = new Engine(new Engine.Spec(id, "zone0", "cell0", "writer", "write", 100_000, 100_000,
              Integer.MAX_VALUE / 2, 1e7, Duration.ofMillis(10), 1, Duration.ofMillis(1), 1e6, 100, Duration.ofSeconds(1)),
              engineLoop, net, ANY_PORT, engines, random.split(), new Traffic() {});
          e.start(false);
          list.setEntry(e.entry(ServerList.State.READY));
          engineAddresses.add(e.address());
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
    Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx" + heap, "-cp",
        System.getProperty("java.class.path"), "gapproxy.cli.Main", "serve", "--config", file.toString())
        .redirectError(ProcessBuilder.Redirect.INHERIT).start();
    String line = process.inputReader().readLine();
    if (line == null || !line.startsWith("listening on ")) {
      process.destroyForcibly();
      throw new IOException("the gateway did not start");
    }
    gateway = process;
    gatewayAddress = new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
  }

  private InetSocketAddress gatewayAddress() {
    return gatewayAddress;
  }

  private InetSocketAddress nextEngineAddress() {
    return engineAddresses.get(nextEngineIndex++ % engineAddresses.size());
  }

  /**
   * Sends one streamed req. Must be called on the clients' loop.
   *
   * @param answer length of the answer in tokens
   * @param first called at the first token
   * @param end called at the end, with whether the stream was complete
   * @param each called for each event
   */
  private void sendReq(InetSocketAddress to, int answer, Runnable first, Consumer<Boolean> end, Runnable each) {
    byte[] body = ("{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"A short prompt. "
        + "[[answer=" + answer + "]]\"}]}").getBytes(StandardCharsets.UTF_8);
    boolean[] seen = new boolean[2];
    ServerSentEventParser events = new ServerSentEventParser(1 << 20, data -> {
      if (!seen[0] && data.contains("\"w0\"")) {
        seen[0] = true;
        first.run();
      }
      seen[1] |= data.equals("[DONE]");
      each.run();
    });
    http.call(to, "POST", "/v1/chat/completions", Map.of("content-type", "application/json"), body, CONNECT_TIMEOUT,
        new HttpClient.Listener() {
          @Override
          public void head(int status, Map<String, String> headers) {}

          @Override
          public void data(byte[] bytes) {
            events.feed(bytes);
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

  /**
   * Measures the time to the first token, in microseconds, under open-loop load. The time counts from when a req was due, not from when it
   * was sent.
   */
  private Histogram firstTokens(Supplier<InetSocketAddress> to, double rate, Duration span) throws InterruptedException {
    Histogram histogram = new Histogram(TimeUnit.MINUTES.toMicros(1), 3);
    int n = (int) (rate * span.toMillis() / 1000);
    CountDownLatch remaining = new CountDownLatch(n);
    loop.execute(() -> sendAtRate(to, rate, n, loop.now(), histogram, remaining));
    if (!remaining.await(span.toMillis() + 20_000, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException(remaining.getCount() + " reqs did not end in time");
    }
    return histogram;
  }

  private void sendAtRate(Supplier<InetSocketAddress> to, double rate, int reqsLeft, Duration dueAt, Histogram histogram,
      CountDownLatch remaining) {
    if (reqsLeft == 0) {
      return;
    }
    sendReq(to.get(), 3, () -> histogram.recordValue(Math.max(0, loop.now().minus(dueAt).toNanos() / 1000)),
        well -> remaining.countDown(), () -> { });
    Duration nextDueAt = dueAt.plusNanos((long) (-Math.log(1 - random.nextDouble()) / rate * 1e9));
    loop.after(nextDueAt.minus(loop.now()), () -> sendAtRate(to, rate, reqsLeft - 1, nextDueAt, histogram, remaining));
  }

  /** Returns the events per second that all streams receive together when the engines write as fast as they can. */
  private double relayEventsPerSecond(Supplier<InetSocketAddress> to, int streams, int answer) throws InterruptedException {
    engineLoop.runAndWait(() -> engines.values().forEach(e -> e.faults.slowdownFactor = 1e-9));
    long[] events = new long[1];
    CountDownLatch remaining = new CountDownLatch(streams);
    long begun = System.nanoTime();
    loop.execute(() -> {
      for (int i = 0; i < streams; i++) {
        sendReq(to.get(), answer, () -> { }, well -> remaining.countDown(), () -> events[0]++);
      }
    });
    boolean all = remaining.await(60, TimeUnit.SECONDS);
    double seconds = (System.nanoTime() - begun) / 1e9;
    engineLoop.runAndWait(() -> engines.values().forEach(e -> e.faults.slowdownFactor = 1));
    if (!all) {
      throw new IllegalStateException("streams did not end within 60 s");
    }
    return events[0] / seconds;
  }

  private Duration gatewayCpuTime() {
    return gateway.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /** Runs a {@code jcmd} command on the gateway's JVM and returns its output. */
  private String jcmd(String... arguments) throws IOException, InterruptedException {
    List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
        Long.toString(gateway.pid())));
    command.addAll(List.of(arguments));
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    if (process.waitFor() != 0) {
      throw new IOException("jcmd " + arguments[0] + ": " + output);
    }
    return output;
  }

  /** Returns the CPU time in milliseconds of the gateway's loop, the one thread that all its streams share. */
  private double loopCpuMillis() throws IOException, InterruptedException {
    Matcher matcher = Pattern.compile("(?m)^\"overhead\" .*cpu=([0-9.]+)ms").matcher(jcmd("Thread.print"));
    if (!matcher.find()) {
      throw new IOException("the gateway's loop is missing from its thread dump");
    }
    return Double.parseDouble(matcher.group(1));
  }

  /** Returns the bytes of heap in use after a full garbage collection. */
  private long heapBytesInUse() throws IOException, InterruptedException {
    jcmd("GC.run");
    long kibibytes = 0;
    Matcher matcher = Pattern.compile("(?m)^ *(?:garbage-first|def new|tenured).*used (\\d+)K").matcher(jcmd("GC.heap_info"));
    while (matcher.find()) {
      kibibytes += Long.parseLong(matcher.group(1));
    }
    return kibibytes << 10;
  }

  /** Runs a measurement while JDK Flight Recorder profiles the gateway's process, and prints the most frequent methods. */
  private void runProfiled(String name, Consumer<String> out, MeasuredRun part) throws IOException, InterruptedException {
    if (!profile) {
      part.run();
      return;
    }
    jcmd("JFR.start", "name=part", "settings=profile");
    part.run();
    Path file = dir.resolve("part.jfr");
    jcmd("JFR.dump", "name=part", "filename=" + file);
    jcmd("JFR.stop", "name=part");
    Map<String, Integer> tops = new HashMap<>();
    Map<String, Integer> ours = new HashMap<>();
    int[] all = new int[1];
    try (RecordingFile f = new RecordingFile(file)) {
      while (f.hasMoreEvents()) {
        RecordedEvent e = f.readEvent();
        String type = e.getEventType().getName();
        if ((type.equals("jdk.ExecutionSample") || type.equals("jdk.NativeMethodSample")) && e.getStackTrace() != null) {
          List<String> frames = e.getStackTrace().getFrames().stream().map(x -> x.getMethod().getType().getName()
              .replaceFirst(".*\\.", "") + "." + x.getMethod().getName()).toList();
          if (IDLE_NATIVE_FRAMES.contains(frames.get(0))) {
            continue;
          }
          all[0]++;
          tops.merge(frames.get(0), 1, Integer::sum);
          e.getStackTrace().getFrames().stream().map(x -> x.getMethod().getType().getName() + "." + x.getMethod().getName())
              .filter(x -> x.startsWith("gapproxy.") && !x.contains("$$Lambda")).distinct().forEach(x -> ours.merge(x, 1, Integer::sum));
        }
      }
    }
    Files.delete(file);
    out.accept("profile of %s, %d samples; by top frame: %s; under our own methods: %s".formatted(name, all[0],
        mostFrequent(tops, all[0]), mostFrequent(ours, all[0])));
  }

  private static String mostFrequent(Map<String, Integer> counts, int all) {
    return counts.entrySet().stream().sorted(Map.Entry.<String, Integer>comparingByValue().reversed()).limit(16)
        .map(e -> "%s %.1f%%".formatted(e.getKey(), 100.0 * e.getValue() / Math.max(1, all))).collect(Collectors.joining(", "));
  }

  /** A measurement that can be profiled. */
  private interface MeasuredRun {
    void run() throws IOException, InterruptedException;
  }

  /** The measurements: time to the first token, relayed events per second, and the cost of open streams. */
  public enum Measure { FIRST, RELAY, OPEN }

  /** Runs the selected measurements and prints one line for each result. */
  public void run(Consumer<String> out, Set<Measure> what, int streams) throws IOException, InterruptedException {
    Duration span = Duration.ofSeconds(5);
    firstTokens(this::nextEngineAddress, 200, span);  // warms up the engines, then the gateway
    firstTokens(gatewayTarget, 500, span);
    if (what.contains(Measure.FIRST)) {
      for (double rate : new double[] {50, 200, 1000}) {
        Histogram directLatency = firstTokens(this::nextEngineAddress, rate, span);
        Histogram gatewayLatency = firstTokens(gatewayTarget, rate, span);
        out.accept("first token at %.0f reqs/s: direct p50 %.2f p99 %.2f ms, through p50 %.2f p99 %.2f ms, added p50 %.2f p99 %.2f ms"
            .formatted(rate, ms(directLatency, 50), ms(directLatency, 99), ms(gatewayLatency, 50), ms(gatewayLatency, 99),
                ms(gatewayLatency, 50) - ms(directLatency, 50), ms(gatewayLatency, 99) - ms(directLatency, 99)));
      }
      if (profile) {
        runProfiled("500 short reqs/s", out, () -> firstTokens(gatewayTarget, 500, Duration.ofSeconds(10)));
      }
    }
    if (what.contains(Measure.RELAY)) {
      measureRelay(out);
    }
    if (what.contains(Measure.OPEN)) {
      runProfiled("open streams", out, () -> measureOpenStreams(out, streams));
    }
  }

  /** Measures relaying directly and through the gateway in alternating rounds, so that other load on the machine affects both alike. */
  private void measureRelay(Consumer<String> out) throws IOException, InterruptedException {
    relayEventsPerSecond(gatewayTarget, 50, 2000);
    double direct = 0, through = 0;
    Duration used = Duration.ZERO;
    double onLoop = 0;
    for (int i = 0; i < RELAY_ROUNDS; i++) {
      direct += relayEventsPerSecond(this::nextEngineAddress, RELAY_STREAMS, RELAY_ANSWER_TOKENS) / RELAY_ROUNDS;
      Duration before = gatewayCpuTime();
      double loopBefore = loopCpuMillis();
      through += relayEventsPerSecond(gatewayTarget, RELAY_STREAMS, RELAY_ANSWER_TOKENS) / RELAY_ROUNDS;
      used = used.plus(gatewayCpuTime().minus(before));
      onLoop += loopCpuMillis() - loopBefore;
    }
    double events = (double) RELAY_ROUNDS * RELAY_STREAMS * RELAY_ANSWER_TOKENS;
    out.accept(("relay, mean of %d rounds: direct %.0f events/s, through %.0f events/s, ratio %.2f; gateway CPU %.2f us an event, "
        + "%.2f of it on its loop").formatted(RELAY_ROUNDS, direct, through, through / direct, used.toNanos() / 1e3 / events,
        onLoop * 1e3 / events));
    if (profile) {
      runProfiled("relay", out, () -> relayEventsPerSecond(gatewayTarget, RELAY_STREAMS, RELAY_ANSWER_TOKENS * RELAY_ROUNDS));
    }
  }

  private static double ms(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1000.0;
  }

  /** Measures CPU and heap with many concurrent streams, each of which gets a token every half second. */
  private void measureOpenStreams(Consumer<String> out, int streams) throws IOException, InterruptedException {
    long empty = heapBytesInUse();
    engineLoop.runAndWait(() -> engines.values().forEach(e -> e.faults.slowdownFactor = 50));
    CountDownLatch first = new CountDownLatch(streams);
    CountDownLatch remaining = new CountDownLatch(streams);
    int[] completed = new int[1];
    int answer = 30 + streams / 250; // long enough that the first streams are still open when the last one starts
    loop.execute(() -> {
      for (int i = 0; i < streams; i++) {
        loop.after(Duration.ofMillis(i), () -> sendReq(gatewayAddress, answer, first::countDown, w -> {
          completed[0] += w ? 1 : 0;
          remaining.countDown();
        }, () -> { }));
      }
    });
    boolean begun = first.await(streams + 5000, TimeUnit.MILLISECONDS);
    long missing = first.getCount();
    Duration before = gatewayCpuTime();
    Thread.sleep(3000);
    Duration used = gatewayCpuTime().minus(before);
    long full = heapBytesInUse();
    long openWhenMeasured = remaining.getCount();
    remaining.await(120, TimeUnit.SECONDS);
    out.accept(("%d streams open at once: %s, %d open when measured, ended well %d; gateway CPU %.2f cores at %.0f tokens/s; "
        + "heap in use after a collection %.1f MiB, %.1f MiB before them, %.1f KiB a stream").formatted(streams,
        begun ? "all began" : missing + " did not begin", openWhenMeasured, completed[0], used.toMillis() / 3000.0, openWhenMeasured * 2.0,
        full / 1048576.0, empty / 1048576.0, (full - empty) / 1024.0 / Math.max(1, openWhenMeasured)));
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
    engineLoop.runAndWait(() -> {
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
