package gapproxy.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gapproxy.http.ServerSentEventParser;
import gapproxy.http.StreamContent;
import gapproxy.http.HttpClient;
import gapproxy.http.BufferedResponseListener;
import gapproxy.openai.CompletionChunk;
import gapproxy.openai.ChatRequest;
import gapproxy.runtime.Loop;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;

/**
 * Calls engines by the protocol of vLLM's disaggregated serving. A read is a completion of one token with
 * {@code kv_transfer_params.do_remote_decode}; the transfer parameters in its answer are sent with the write, whose engine fetches the
 * key-value cache state that they name. Two extensions are specific to this project and not part of any published engine's protocol:
 * {@code PUT} and {@code DELETE /v1/kv_transfer/ID}, which reserve room at a writer and release whatever is held under that id, and
 * status 410 for state that is gone. Belongs to one loop.
 */
public final class EngineClient {
  private static final int MAX_EVENT_BYTES = 1 << 20, MAX_RESPONSE_BYTES = 8 << 20;
  private static final byte[] EMPTY_BODY = new byte[0];

  private final HttpClient http;
  private final Loop loop;
  private final String gateway;
  private final Duration connectTimeout;
  private final Duration probeTimeout;

  public EngineClient(HttpClient http, Loop loop, String gateway, Duration connectTimeout, Duration probeTimeout) {
    this.http = http;
    this.loop = loop;
    this.gateway = gateway;
    this.connectTimeout = connectTimeout;
    this.probeTimeout = probeTimeout;
  }

  /** Receives the outcome of a read. */
  public interface ReadListener {
    /** Whether the request is still to be sent; asked right before it is written, see {@link HttpClient.Listener#isWanted}. */
    default boolean shouldSend() {
      return true;
    }

    /** The whole request has been passed to the operating system. */
    default void sent() {
    }

    /**
     * The read is done, and the reader holds the resulting state.
     *
     * @param transferParams what a writer needs in order to fetch the state
     * @param cachedTokens prompt tokens that were already cached, or -1 if unknown
     */
    void readDone(JsonNode transferParams, long cachedTokens, long promptTokens);

    void failed(EngineFailure failure);
  }

  /** Receives the answer of a write. */
  public interface WriteListener {
    /** Whether the request is still to be sent; asked right before it is written, see {@link HttpClient.Listener#isWanted}. */
    default boolean shouldSend() {
      return true;
    }

    /** The whole request has been passed to the operating system. */
    default void sent() {
    }

    void chunk(CompletionChunk chunk);

    /**
     * All chunks of the bytes received so far have been delivered.
     *
     * @param content what the last read brought
     */
    void readDelivered(StreamContent content, long unfinishedBytes);

    /** The stream ended regularly. */
    void done();

    void failed(EngineFailure failure);
  }

  /** Asks a reader to read a prompt and to hold the resulting state. */
  public HttpClient.Call read(InetSocketAddress to, String id, String idempotencyKey, ChatRequest request, ReadListener listener) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.setAll(request.body());
    body.put("stream", false).put("max_tokens", 1);
    body.remove("stream_options");
    body.remove("max_completion_tokens");
    body.putObject("kv_transfer_params").put("do_remote_decode", true).put("do_remote_prefill", false)
        .putNull("remote_engine_id").putNull("remote_block_ids").putNull("remote_host").putNull("remote_port");
    return http.call(to, "POST", "/v1/chat/completions", headers(id, idempotencyKey, null), toBytes(body), connectTimeout,
        new BufferedResponseListener(MAX_RESPONSE_BYTES, (status, from, answer, failure, why) -> {
          if (failure != null) {
            listener.failed(EngineFailure.of(failure, why));
            return;
          } else if (status != 200) {
            listener.failed(EngineFailure.ofStatus(status, answer));
            return;
          }
          JsonNode json = parseJson(answer);
          JsonNode transferParams = json == null ? null : json.get("kv_transfer_params");
          if (transferParams == null || !transferParams.isObject()) {
            listener.failed(new EngineFailure(EngineFailure.Kind.ERROR, status, EMPTY_BODY, "a read without transfer parameters"));
          } else {
            JsonNode usage = json.path("usage");
            listener.readDone(transferParams, cachedTokens(usage), usage.path("prompt_tokens").asLong());
          }
        }) {
          @Override
          public boolean isWanted() {
            return listener.shouldSend();
          }

          @Override
          public void sent() {
            listener.sent();
          }
        });
  }

  /** Asks a writer to generate the answer, from state held elsewhere or, without transfer parameters, by reading the prompt itself. */
  public HttpClient.Call write(InetSocketAddress to, String id, String idempotencyKey, String reservationId, ChatRequest request,
      JsonNode transferParams, WriteListener listener) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.setAll(request.body());
    body.put("stream", true).putObject("stream_options").put("include_usage", true);
    body.remove("kv_transfer_params");
    if (transferParams != null) {
      body.set("kv_transfer_params", transferParams);
    }
    return http.call(to, "POST", "/v1/chat/completions", headers(id, idempotencyKey, reservationId), toBytes(body), connectTimeout,
        new StreamListener(listener));
  }

  /** Fetches an engine's load. The callback gets no figures if the engine doesn't report them, and a failure if it doesn't answer. */
  public void probe(InetSocketAddress to, BiConsumer<double[], EngineFailure> callback) {
    callWithin(probeTimeout, to, "GET", "/metrics", Map.of("x-gapproxy-gateway", gateway), EMPTY_BODY,
        (status, from, body, failure, why) -> {
      if (failure == null && status == 200) {
        callback.accept(LoadMetrics.parse(new String(body, StandardCharsets.UTF_8)), null);
      } else {
        callback.accept(NO_FIGURES, failure != null ? EngineFailure.of(failure, why) : EngineFailure.ofStatus(status, EMPTY_BODY));
      }
    });
  }

  private static final double[] NO_FIGURES = new double[0];

  /** Receives the outcome of a release. */
  public interface ReleaseListener {
    /**
     * @param nothingHeld whether the engine confirms that it holds nothing under the id any longer
     * @param released whether it held anything
     */
    void releaseEnded(boolean nothingHeld, boolean released);
  }

  /** Releases what an engine holds under an id. */
  public void release(InetSocketAddress to, String id, Duration within, boolean newConnection, ReleaseListener listener) {
    http.fetch(to, "DELETE", "/v1/kv_transfer/" + id, Map.of("x-gapproxy-gateway", gateway), EMPTY_BODY, connectTimeout, within,
        MAX_EVENT_BYTES,
        newConnection, () -> true, (status, from, body, failure, why) -> {
          boolean freed = failure == null && status / 100 == 2;
          listener.releaseEnded(freed || failure == null && (status == 404 || status == 410), freed);
        });
  }

  /**
   * Asks a writer to reserve room for a number of tokens. The callback gets whether the writer confirmed the reservation, and whether that
   * outcome is certain: after a call that broke off, the reservation may exist without having been confirmed.
   */
  public void reserve(InetSocketAddress to, String id, int tokens, Duration within, BooleanSupplier wanted,
      BiConsumer<Boolean, Boolean> callback) {
    byte[] body = toBytes(JsonNodeFactory.instance.objectNode().put("tokens", tokens));
    http.fetch(to, "PUT", "/v1/kv_transfer/" + id,
        Map.of("x-gapproxy-gateway", gateway, "content-type", "application/json"), body, connectTimeout, within, MAX_EVENT_BYTES,
        false, wanted, (status, from, b, failure, why) -> callback.accept(failure == null && status / 100 == 2,
            failure == null || failure != HttpClient.Failure.BROKEN));
  }

  /** Closes pooled connections to an address that is no longer in use. */
  public void forget(InetSocketAddress to) {
    http.closeIdle(to);
  }

  private void callWithin(Duration within, InetSocketAddress to, String method, String path, Map<String, String> headers,
      byte[] body, BufferedResponseListener.ResponseCallback callback) {
    http.fetch(to, method, path, headers, body, connectTimeout, within, MAX_EVENT_BYTES, callback);
  }

  private Map<String, String> headers(String id, String idempotencyKey, String reservationId) {
    Map<String, String> headers = new HashMap<>();
    headers.put("content-type", "application/json");
    headers.put("x-request-id", id);
    headers.put("x-gapproxy-gateway", gateway);
    if (idempotencyKey != null) {
      headers.put("idempotency-key", idempotencyKey);
    }
    if (reservationId != null) {
      headers.put("x-gapproxy-place", reservationId);
    }
    return headers;
  }

  private static byte[] toBytes(JsonNode json) {
    return json.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static JsonNode parseJson(byte[] bytes) {
    try {
      return ChatRequest.JSON.readTree(bytes);
    } catch (java.io.IOException e) {
      return null;
    }
  }

  /** Returns the number of prompt tokens that were already cached, or -1 if the engine doesn't report it. */
  public static long cachedTokens(JsonNode usage) {
    return usage.path("prompt_tokens_details").path("cached_tokens").asLong(-1);
  }

  /** Parses a stream of chunks. After the regular end or a failure the listener gets no more calls. */
  private static final class StreamListener implements HttpClient.Listener {
    private final WriteListener listener;
    private final ServerSentEventParser events = new ServerSentEventParser(MAX_EVENT_BYTES, this::event);
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private int status;
    private boolean sawToken;
    private boolean finished;

    StreamListener(WriteListener listener) {
      this.listener = listener;
    }

    @Override
    public boolean isWanted() {
      return listener.shouldSend();
    }

    @Override
    public void sent() {
      listener.sent();
    }

    private void event(String data) {
      if (finished) {
        return;
      }
      CompletionChunk chunk = CompletionChunk.parse(data, !sawToken);
      if (chunk.isError()) {
        finished = true;
        listener.failed(new EngineFailure(EngineFailure.Kind.BROKEN, status, EMPTY_BODY, "the engine ended its stream with an error"));
      } else if (chunk.done()) {
        finished = true;
        listener.done();
      } else {
        sawToken |= chunk.hasContent();
        listener.chunk(chunk);
      }
    }

    @Override
    public long maxStatedBytes() {
      return MAX_RESPONSE_BYTES;
    }

    @Override
    public long retainedBytes() {
      // The buffers' capacity may be twice their content.
      return 2L * (events.pendingBytes() + errorBody.size());
    }

    @Override
    public void head(int s, Map<String, String> headers) {
      status = s;
    }

    @Override
    public void data(byte[] bytes) {
      if (finished) {
        return;
      }
      if (status != 200) {
        if (errorBody.size() < MAX_EVENT_BYTES) {
          errorBody.writeBytes(bytes);
        }
        return;
      }
      try {
        StreamContent content = events.feed(bytes);
        if (!finished) {
          listener.readDelivered(content, events.pendingBytes());
        }
      } catch (IllegalStateException e) {
        if (!finished) {
          finished = true;
          listener.failed(new EngineFailure(EngineFailure.Kind.ERROR, status, EMPTY_BODY, e.getMessage()));
        }
      }
    }

    @Override
    public void end() {
      if (!finished) {
        finished = true;
        listener.failed(status != 200 ? EngineFailure.ofStatus(status, errorBody.toByteArray())
            : new EngineFailure(EngineFailure.Kind.BROKEN, status, EMPTY_BODY, "the stream ended without its last event"));
      }
    }

    @Override
    public void failed(HttpClient.Failure failure, String reason) {
      if (!finished) {
        finished = true;
        listener.failed(EngineFailure.of(failure, reason));
      }
    }
  }
}
