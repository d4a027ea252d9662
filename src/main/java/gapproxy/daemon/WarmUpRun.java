package gapproxy.daemon;

import gapproxy.http.BufferedResponseListener;
import gapproxy.http.Exchange;
import gapproxy.http.HttpClient;
import gapproxy.platform.PlatformNode;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.standin.PlatformSite;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Sends some requests through a gateway on loopback while the build records which classes a gateway loads, for the JVM's class data sharing
 * archive. Without the archive, a gateway that restarts on a fraction of a core spends its first seconds loading classes from the jar.
 * The same holds for the classes that only a fault needs: without them in the archive, the first requests that meet a silent server are
 * answered late. So the run includes requests that are not answered, broken off, refused and given up.
 */
public final class WarmUpRun implements AutoCloseable {
  private static final int REQUEST_COUNT = 40, FAILING_COUNT = 24;
  private static final Duration TIMEOUT = Duration.ofSeconds(1), INTERVAL = Duration.ofMillis(10);
  private static final long ANSWERED_TIMEOUT_S = 20, FAILING_TIMEOUT_S = 5;
  private static final int BUDGET_MS = 5000, FAILING_BUDGET_MS = 300, MAX_ANSWER_BYTES = 1 << 20;
  private static final int LONG_BODY_BYTES = 256 << 10, LONG_PROMPT_TOKENS = 65_536, SHORT_PROMPT_TOKENS = 200, PROMPT_TOKENS = 900;
  private static final String CHAT_PATH = "/v1/chat/completions", ID_HEADER = "req-id";

  /** What becomes of a request that is not served. Its name is the beginning of the request's id. */
  private enum Failing {
    /** The model server does not answer. */
    UNANSWERED,
    /** The model server closes the connection without an answer. */
    BROKEN,
    /** The model server declines the request. */
    DECLINED,
    /** The client closes the connection before it has an answer. */
    LEFT,
    /** The gateway refuses the request, since its kind is not in the settings. */
    INVALID,
    /** The gateway refuses the request, since nothing is served under its path. */
    UNKNOWN_PATH
  }

  private final LiveLoop loop = new LiveLoop("platform");
  private final LiveNet net = new LiveNet("platform-net", 1);
  private final HttpClient http = new HttpClient(loop, net, TIMEOUT);
  private PlatformSite site;
  private byte[] config;
  private PlatformNode node;

  private WarmUpRun() throws IOException {}

  /** Starts a gateway, sends the requests, reloads the configuration and stops it; returns whether every sound one was answered in full. */
  public static boolean run() throws IOException, PlatformNode.InvalidConfigException, InterruptedException {
    try (WarmUpRun run = new WarmUpRun()) {
      run.start();
      boolean answered = run.sendSoundRequests();
      run.sendFailingRequests();
      run.reloadAndStop();
      return answered;
    }
  }

  private void start() throws IOException, PlatformNode.InvalidConfigException, InterruptedException {
    loop.runAndWait(() -> {
      try {
        site = new PlatformSite(loop, net, 2, 2, Duration.ofMillis(2), 4);
        config = site.config("127.0.0.1:0").getBytes(StandardCharsets.UTF_8);
        site.interceptor = (server, exchange) -> intercept(exchange);
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    });
    if (config == null) {
      throw new IOException("no free port on loopback");
    }
    node = PlatformNode.start(config);
  }

  /** Lets requests fail at the model server; returns whether the request was one of these. */
  private static boolean intercept(Exchange exchange) {
    String id = exchange.request().header(ID_HEADER);
    if (id == null || !exchange.request().path().equals(CHAT_PATH)) {
      return false;
    } else if (id.startsWith(Failing.BROKEN.name())) {
      exchange.terminate();
      return true;
    } else if (id.startsWith(Failing.DECLINED.name())) {
      exchange.respond(503, Map.of("srv-declined", "1"), new byte[0]);
      return true;
    }
    return id.startsWith(Failing.UNANSWERED.name()) || id.startsWith(Failing.LEFT.name());
  }

  private boolean sendSoundRequests() throws InterruptedException {
    CountDownLatch remaining = new CountDownLatch(REQUEST_COUNT);
    loop.execute(() -> {
      for (int i = 0; i < REQUEST_COUNT; i++) {
        int number = i;
        loop.after(INTERVAL.multipliedBy(i), () -> sendUntilAnswered(number, remaining));
      }
    });
    return remaining.await(ANSWERED_TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Sends a request again until it is answered or the run is over: a slow answer on a busy machine must not fail the build. */
  private void sendUntilAnswered(int number, CountDownLatch remaining) {
    byte[] body = ("{\"model\":\"talk\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Text " + number + "\"}]}")
        .getBytes(StandardCharsets.UTF_8);
    Map<String, String> headers = headers("rehearsal-" + number, Integer.toHexString(number % REQUEST_COUNT / 2 + 1), BUDGET_MS, PROMPT_TOKENS);
    http.call(node.address(), "POST", CHAT_PATH, headers, body, TIMEOUT,
        new BufferedResponseListener(MAX_ANSWER_BYTES, (status, answerHeaders, answer, failure, why) -> {
      if (status == 200) {
        remaining.countDown();
      } else {
        sendUntilAnswered(number + REQUEST_COUNT, remaining);
      }
    }));
  }

  private static Map<String, String> headers(String id, String session, int budgetMs, int promptTokens) {
    return Map.of(ID_HEADER, id, "req-kind", "talk", "req-owner", "town", "req-key", session, "req-deadline-ms", Integer.toString(budgetMs),
        "req-extra", "prefix=5c,prompt_len=" + promptTokens + ",prefix_len=" + Math.min(400, promptTokens) + ",max_out=80");
  }

  private void sendFailingRequests() throws InterruptedException {
    CountDownLatch remaining = new CountDownLatch(FAILING_COUNT);
    loop.execute(() -> {
      for (int i = 0; i < FAILING_COUNT; i++) {
        int number = i;
        loop.after(INTERVAL.multipliedBy(i), () -> sendFailing(number, remaining));
      }
    });
    remaining.await(FAILING_TIMEOUT_S, TimeUnit.SECONDS);
  }

  private void sendFailing(int number, CountDownLatch remaining) {
    Failing failing = Failing.values()[number % Failing.values().length];
    boolean longPrompt = number / Failing.values().length % 2 == 0;
    Map<String, String> headers = new HashMap<>(headers(failing.name() + "-" + number, Integer.toHexString(number), FAILING_BUDGET_MS,
        longPrompt ? LONG_PROMPT_TOKENS : SHORT_PROMPT_TOKENS));
    if (failing == Failing.INVALID) {
      headers.put("req-kind", "unknown");
    }
    HttpClient.Call call = http.call(node.address(), "POST", failing == Failing.UNKNOWN_PATH ? "/unknown" : CHAT_PATH, headers,
        new byte[LONG_BODY_BYTES], TIMEOUT,
        new BufferedResponseListener(MAX_ANSWER_BYTES, (status, answerHeaders, answer, failure, why) -> remaining.countDown()));
    if (failing == Failing.LEFT) {
      loop.after(INTERVAL.multipliedBy(5), () -> {
        call.cancel();
        remaining.countDown();
      });
    }
  }

  private void reloadAndStop() throws IOException, PlatformNode.InvalidConfigException, InterruptedException {
    node.reload(config);
    CountDownLatch stopped = new CountDownLatch(1);
    node.stop(stopped::countDown);
    stopped.await(5, TimeUnit.SECONDS);
  }

  @Override
  public void close() {
    if (node != null) {
      node.close();
    }
    if (site != null) {
      loop.runAndWait(site::close);
    }
    loop.close();
    net.close();
  }
}
