package gapproxy.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gapproxy.audit.Traffic;
import gapproxy.http.ServerSentEventParser;
import gapproxy.http.HttpClient;
import gapproxy.openai.CompletionChunk;
import gapproxy.runtime.Loop;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** An emulated chat client: sends reqs, reads the answers, hangs up or retries as configured, and reports everything to the audit. */
public final class ChatClient {
  /**
   * A req to send.
   *
   * @param repeat how safe it is to repeat the req: replayable, keyed or non_replayable
   * @param budget how long the client waits for the first token
   * @param hangUpAfter time after sending at which the client hangs up, or null
   * @param hangUpAtPiece number of received content pieces at which the client hangs up, or 0
   * @param retries maximum number of retries after a pushback or, for replayable reqs, after an abort or a lost connection
   * @param followsRetryAdvice whether the client waits as long as {@code retry-after-ms} advises
   */
  public record Request(String req, String model, String repeat, boolean stream, String system, String session, String text,
      int answerTokens, Duration budget, Duration hangUpAfter, int hangUpAtPiece, int retries, boolean followsRetryAdvice) {}

  /**
   * Outcome of a req after its last attempt.
   *
   * @param answer kind of the final answer, or null if the client hung up or the connection was lost
   * @param firstToken time from the first attempt to the first token, or null
   * @param total time from the first attempt to the outcome
   * @param path value of the {@code x-gapproxy-path} response header: whether the read was remote or local
   */
  public record Outcome(Request request, Traffic.Answer answer, Duration firstToken, Duration total, int attempts, String text,
      String path, int status) {}

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2), RETRY_DELAY = Duration.ofMillis(200);

  private final Loop loop;
  private final HttpClient http;
  private final Traffic traffic;

  public ChatClient(Loop loop, HttpClient http, Traffic traffic) {
    this.loop = loop;
    this.http = http;
    this.traffic = traffic;
  }

  /** The gateway that an attempt is sent to. */
  public record Target(String name, InetSocketAddress address) {}

  /** Sends a req and its retries, each to the next target that the supplier returns. Must be called on the loop. */
  public void send(Request request, java.util.function.Supplier<Target> targets, Consumer<Outcome> onOutcome) {
    new Attempt(request, targets, onOutcome, 0, loop.now()).send();
  }

  /** One try of a req: a call to one gateway. */
  private final class Attempt implements HttpClient.Listener {
    final Request request;
    final java.util.function.Supplier<Target> targets;
    final Consumer<Outcome> onOutcome;
    final int number;
    final Duration startedAt;
    final StringBuilder text = new StringBuilder();
    final ByteArrayOutputStream bodyBytes = new ByteArrayOutputStream();
    final ServerSentEventParser events = new ServerSentEventParser(1 << 20, this::event);
    Duration sentAt, firstTokenAt;
    HttpClient.Call call;
    Loop.Timer hangUpTimer;
    Map<String, String> headers = Map.of();
    int status, pieceCount;
    boolean ended, finalEventSeen;
    Traffic.Answer answer;

    Attempt(Request request, java.util.function.Supplier<Target> targets, Consumer<Outcome> onOutcome, int number, Duration startedAt) {
      this.request = request;
      this.targets = targets;
      this.onOutcome = onOutcome;
      this.number = number;
      this.startedAt = startedAt;
    }

    void send() {
      Target target = targets.get();
      sentAt = loop.now();
      ObjectNode body = JsonNodeFactory.instance.objectNode().put("model", request.model).put("stream", request.stream);
      ArrayNode messages = body.putArray("messages");
      if (!request.system.isEmpty()) {
        messages.addObject().put("role", "system").put("content", request.system);
      }
      messages.addObject().put("role", "user")
          .put("content", request.text + " [[req=" + request.req + "]] [[answer=" + request.answerTokens + "]]");
      if (request.session != null) {
        body.put("prompt_cache_key", request.session);
      }
      Map<String, String> requestHeaders = new HashMap<>(Map.of("content-type", "application/json", "x-gapproxy-budget-ms",
          Long.toString(request.budget.toMillis())));
      if (request.repeat.equals("keyed")) {
        requestHeaders.put("idempotency-key", request.req);
      }
      traffic.asked(sentAt, request.req, number, target.name, request.repeat, request.budget);
      call = http.call(target.address, "POST", "/v1/chat/completions", requestHeaders,
          body.toString().getBytes(StandardCharsets.UTF_8), CONNECT_TIMEOUT, this);
      if (request.hangUpAfter != null) {
        hangUpTimer = loop.after(request.hangUpAfter, this::hangUp);
      }
    }

    private void hangUp() {
      if (!ended) {
        ended = true;
        call.cancel();
        traffic.left(loop.now(), request.req, number, Traffic.Left.HUNG_UP);
        reportOutcome();
      }
    }

    @Override
    public void head(int newStatus, Map<String, String> newHeaders) {
      status = newStatus;
      headers = newHeaders;
    }

    @Override
    public void data(byte[] bytes) {
      if (ended) {
        return;
      }
      if (status == 200 && request.stream) {
        events.feed(bytes);
      } else {
        bodyBytes.writeBytes(bytes);
      }
    }

    private void event(String data) {
      if (ended) {
        return;
      }
      if (finalEventSeen) {
        traffic.after(loop.now(), request.req, number, data);
        return;
      }
      CompletionChunk chunk = CompletionChunk.parse(data, true);
      if (chunk.done() || chunk.isError()) {
        finalEventSeen = true;
        recordAnswer(chunk.done() ? Traffic.Answer.DONE : Traffic.Answer.ABORTED);
      } else if (chunk.hasContent()) {
        recordFirstToken();
        text.append(chunk.json().path("choices").path(0).path("delta").path("content").asText());
        if (++pieceCount == request.hangUpAtPiece) {
          hangUp();
        }
      }
    }

    private void recordFirstToken() {
      if (firstTokenAt == null) {
        firstTokenAt = loop.now();
        traffic.firstToken(firstTokenAt, request.req, number);
      }
    }

    private void recordAnswer(Traffic.Answer newAnswer) {
      answer = newAnswer;
      traffic.answered(loop.now(), request.req, number, newAnswer);
    }

    @Override
    public void end() {
      if (ended) {
        return;
      }
      ended = true;
      if (answer == null && status == 200 && !request.stream) {
        recordFirstToken();
        text.append(content(bodyBytes.toByteArray()));
        recordAnswer(Traffic.Answer.DONE);
      } else if (answer == null && status == 200) {
        traffic.left(loop.now(), request.req, number, Traffic.Left.LOST); // the stream ended without its final event
      } else if (answer == null) {
        recordAnswer(status == 429 || status == 503 ? Traffic.Answer.PUSHED_BACK
            : status >= 500 ? Traffic.Answer.ABORTED : Traffic.Answer.REFUSED);
      }
      retryOrFinish();
    }

    private String content(byte[] body) {
      try {
        JsonNode json = gapproxy.openai.ChatRequest.JSON.readTree(body);
        return json.path("choices").path(0).path("message").path("content").asText();
      } catch (java.io.IOException e) {
        return "";
      }
    }

    @Override
    public void failed(HttpClient.Failure failure, String why) {
      if (ended) {
        return;
      }
      ended = true;
      if (answer == null) {
        traffic.left(loop.now(), request.req, number,
            failure == HttpClient.Failure.NO_CONNECTION ? Traffic.Left.HUNG_UP : Traffic.Left.LOST);
      }
      retryOrFinish();
    }

    /**
     * Retries the req or reports the outcome. Replayable reqs are retried after any failure except a refusal, others only after a pushback.
     */
    private void retryOrFinish() {
      if (hangUpTimer != null) {
        hangUpTimer.cancel();
      }
      boolean may = answer == Traffic.Answer.PUSHED_BACK
          || request.repeat.equals("replayable") && answer != Traffic.Answer.DONE && answer != Traffic.Answer.REFUSED;
      if (!may || number >= request.retries) {
        reportOutcome();
        return;
      }
      Duration wait = RETRY_DELAY;
      String advice = headers.get("retry-after-ms");
      if (request.followsRetryAdvice && advice != null && advice.matches("\\d{1,7}")) {
        wait = Duration.ofMillis(Long.parseLong(advice));
      }
      loop.after(wait, () -> new Attempt(request, targets, onOutcome, number + 1, startedAt).send());
    }

    private void reportOutcome() {
      if (hangUpTimer != null) {
        hangUpTimer.cancel();
      }
      onOutcome.accept(new Outcome(request, answer, firstTokenAt == null ? null : firstTokenAt.minus(startedAt),
          loop.now().minus(startedAt), number + 1, text.toString(), headers.get("x-gapproxy-path"), status));
    }
  }
}
