package gapproxy.soak;

import gapproxy.http.Exchange;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.standin.PlatformSite;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Plays scripted streams through one gateway process and measures how long each client waits after the last whole event of its server. The
 * process may be held up by SIGSTOP at times, and the servers' bytes may reach it late.
 */
final class SilentStreamPlay implements AutoCloseable {
  /**
   * One write of a model server.
   *
   * @param after time since the previous write
   * @param text what is written
   * @param form what the text is
   */
  record Step(Duration after, String text, Form form) {}

  /** What a {@link Step} writes. */
  enum Form {
    /** Text that completes an event, as a chunk. */
    EVENT,
    /** Any other text, as a chunk. */
    OTHER,
    /** Bytes that go around the chunked encoding. */
    RAW,
    /** Bytes that complete an event, in a chunk whose size was written by an earlier step. */
    RAW_EVENT,
    /** Bytes from the status line on, in place of the usual head and its chunks. */
    HEAD;

    private boolean completesEvent() {
      return this == EVENT || this == RAW_EVENT;
    }
  }

  /** What a model server writes; behind the last step it keeps the stream open, or ends it. */
  record Script(String name, List<Step> steps, boolean ends) {}

  /**
   * How one stream ended for its client.
   *
   * @param whole whether the answer came to its regular end
   * @param waited time from the server's last whole event to the client's end; zero if there was none
   * @param status of the response
   */
  record Outcome(String script, boolean whole, Duration waited, int attempts, int status) {}

  /** Whether the process is held up at times. */
  enum HoldUps { NONE, AT_TIMES }

  private static final Duration HOLD_UP = Duration.ofMillis(120);
  private static final int SHORTEST_PAUSE_MS = 200, PAUSE_RANGE_MS = 300, TRIES = 60, SOCKET_TIMEOUT_MS = 25_000;
  private static final long RETRY_MS = 100, START_INTERVAL_MS = 15;
  private static final int SERVERS_OF_ROLE = 4;

  private final LiveLoop loop = new LiveLoop("site");
  private final LiveNet net = new LiveNet("site-net", 2);
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Map<String, Long> lastEventNanos = new ConcurrentHashMap<>();
  private final Map<String, Integer> attempts = new ConcurrentHashMap<>();
  /** Answers whose heads were written as bytes. Used on the loop. */
  private final Set<Exchange> rawAnswers = new HashSet<>();
  private final GatewayProcess gateway;
  private final Duration late;
  private PlatformSite site;
  private volatile boolean closing;

  /** @param late how much later than written the bytes of model servers reach the gateway */
  SilentStreamPlay(Path dir, Duration late) throws IOException, InterruptedException {
    this.late = late;
    gateway = new GatewayProcess("n0", dir);
    loop.runAndWait(() -> {
      try {
        site = new PlatformSite(loop, net, SERVERS_OF_ROLE, SERVERS_OF_ROLE, Duration.ofMillis(5), 3);
        gateway.configure(site.config("127.0.0.1:" + gateway.port));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    });
    gateway.start();
    if (!gateway.awaitReady()) {
      throw new IOException("the gateway is not ready, see " + gateway.log());
    }
  }

  /** The outcomes of some scripts for which a condition holds, a line each. */
  static String wrongOutcomes(List<Outcome> outcomes, List<Script> scripts, Predicate<Outcome> wrong) {
    List<String> names = scripts.stream().map(Script::name).toList();
    return outcomes.stream().filter(o -> names.contains(o.script()) && wrong.test(o)).map(Outcome::toString)
        .collect(Collectors.joining("\n"));
  }

  GatewayProcess gateway() {
    return gateway;
  }

  /** Plays each script some times, all side by side, and returns the outcomes. */
  List<Outcome> play(List<Script> scripts, int copies, HoldUps holdUps, long seed) throws Exception {
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      if (model.reader || !exchange.request().path().startsWith("/v1/")) {
        return false;
      }
      String id = exchange.request().header("req-id");
      attempts.merge(id, 1, Integer::sum);
      write(exchange, id, scripts.get(Integer.parseInt(id.substring(1, id.indexOf('-')))), 0);
      return true;
    });
    if (holdUps == HoldUps.AT_TIMES) {
      threads.execute(() -> holdUpAtTimes(new SplittableRandom(seed)));
    }
    List<Future<Outcome>> pending = new ArrayList<>();
    for (int copy = 0; copy < copies; copy++) {
      for (int script = 0; script < scripts.size(); script++) {
        String id = "p" + script + "-" + copy;
        String name = scripts.get(script).name;
        pending.add(threads.submit(() -> request(id, name)));
        Thread.sleep(START_INTERVAL_MS);
      }
    }
    List<Outcome> outcomes = new ArrayList<>();
    for (Future<Outcome> outcome : pending) {
      outcomes.add(outcome.get());
    }
    return outcomes;
  }

  private void write(Exchange exchange, String id, Script script, int next) {
    if (!exchange.isOpen()) {
      return;
    } else if (next < script.steps.size()) {
      Step step = script.steps.get(next);
      loop.after(step.after, () -> {
        writeStep(exchange, id, step);
        write(exchange, id, script, next + 1);
      });
    } else if (script.ends) {
      loop.after(late, exchange::end);
    }
  }

  private void writeStep(Exchange exchange, String id, Step step) {
    if (step.form.completesEvent()) {
      lastEventNanos.put(id, System.nanoTime());
    }
    Runnable write = () -> {
      if (!exchange.hasBegun() && step.form != Form.HEAD && !rawAnswers.contains(exchange)) {
        exchange.begin(200, Map.of("content-type", "text/event-stream"));
      }
      if (step.form == Form.HEAD) {
        rawAnswers.add(exchange);
      }
      if (step.form != Form.EVENT && step.form != Form.OTHER) {
        exchange.connection().write(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, step.text));
      } else {
        exchange.write(step.text);
      }
    };
    if (late.isZero()) {
      write.run();
    } else {
      loop.after(late, write);
    }
  }

  private Outcome request(String id, String script) throws IOException, InterruptedException {
    for (int i = 0; i < TRIES; i++) {
      try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), gateway.port)) {
        socket.setSoTimeout(SOCKET_TIMEOUT_MS);
        String body = "{\"model\":\"talk\",\"stream\":true,\"messages\":[]}";
        socket.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id
            + "\r\nReq-Kind: talk\r\nReq-Owner: town\r\nReq-Key: " + Integer.toHexString(id.hashCode())
            + "\r\nReq-Deadline-Ms: 3000\r\nReq-Extra: prompt_len=900,max_out=80\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII));
        String answer = readToEnd(socket.getInputStream());
        long ended = System.nanoTime();
        // A server that has written no event has had its attempt as well: the answer is about that.
        if (answer.startsWith("HTTP/1.1 200") || attempts.containsKey(id) && !lastEventNanos.containsKey(id)) {
          return new Outcome(script, answer.contains("data: [DONE]") && answer.endsWith("\r\n0\r\n\r\n"),
              Duration.ofNanos(ended - lastEventNanos.getOrDefault(id, ended)), attempts.get(id), status(answer));
        }
      }
      Thread.sleep(RETRY_MS);  // pushed back
    }
    throw new IOException(id + " was refused each time");
  }

  private static int status(String answer) {
    return answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : 0;
  }

  /** Reads to the last chunk, the end of a response with a length, or the end of the connection. */
  private static String readToEnd(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    byte[] buffer = new byte[16 << 10];
    for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
      text.append(new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
      if (text.length() >= 5 && text.substring(text.length() - 5).equals("0\r\n\r\n") || !text.toString().startsWith("HTTP/1.1 200")) {
        break;
      }
    }
    return text.toString();
  }

  private void holdUpAtTimes(SplittableRandom random) {
    try {
      while (!closing) {
        Thread.sleep(SHORTEST_PAUSE_MS + random.nextInt(PAUSE_RANGE_MS));
        holdUp();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Something that is done to the process. */
  interface Action {
    void run() throws IOException, InterruptedException;
  }

  /** Does something to the process after a time, beside the play that is started next. */
  void after(Duration delay, Action action) {
    threads.submit(() -> {
      Thread.sleep(delay.toMillis());
      action.run();
      return null;
    });
  }

  /** Holds the process up once. */
  void holdUp() throws IOException, InterruptedException {
    gateway.signal("STOP");
    try {
      Thread.sleep(HOLD_UP.toMillis());
    } finally {
      gateway.signal("CONT");
    }
  }

  @Override
  public void close() throws InterruptedException {
    closing = true;
    threads.shutdownNow();
    threads.awaitTermination(5, TimeUnit.SECONDS);
    gateway.kill();
    gateway.releasePort();
    loop.runAndWait(site::close);
    loop.close();
    net.close();
  }
}
