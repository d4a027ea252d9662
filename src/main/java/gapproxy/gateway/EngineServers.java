package gapproxy.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import gapproxy.config.Config;
import gapproxy.engine.EngineClient;
import gapproxy.engine.EngineFailure;
import gapproxy.http.HttpClient;
import gapproxy.http.StreamContent;
import gapproxy.openai.CompletionChunk;
import gapproxy.runtime.Loop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.BiConsumer;

/** Model servers that speak vLLM's protocol for disaggregated serving; used with {@link ChatFrontend}. */
final class EngineServers implements Servers {
  private final HttpClient http;
  private final EngineClient engines;

  EngineServers(Config config, Loop loop, HttpClient http) {
    this.http = http;
    engines = new EngineClient(http, loop, config.name(), Config.ofMillis(config.limits().connectMs()),
        Config.ofMillis(config.limits().probeMs()));
  }

  @Override
  public HttpClient.Call read(InetSocketAddress server, String id, ClientReq req, Duration timeout, ReadListener listener) {
    ChatFrontend.ChatReq chatReq = (ChatFrontend.ChatReq) req;
    // With this protocol a reservation has an id of its own and needs no read in flight. Reporting the read as sent before it is sent
    // lets the gateway request a reservation without waiting for that.
    listener.sent();
    return engines.read(server, id, chatReq.idempotencyKey, chatReq.chatRequest, new EngineClient.ReadListener() {
      @Override
      public boolean shouldSend() {
        return listener.shouldSend();
      }

      @Override
      public void sent() {
        listener.sent();
      }

      @Override
      public void readDone(JsonNode transferParams, long cachedTokens, long promptTokens) {
        listener.readDone(transferParams, cachedTokens, promptTokens);
      }

      @Override
      public void failed(EngineFailure failure) {
        listener.failed(failure);
      }
    });
  }

  @Override
  public HttpClient.Call write(InetSocketAddress server, String id, ClientReq req, Duration timeout, String reservationId, Object heldState,
      WriteListener listener) {
    ChatFrontend.ChatReq chatReq = (ChatFrontend.ChatReq) req;
    return engines.write(server, id, chatReq.idempotencyKey, reservationId, chatReq.chatRequest, (JsonNode) heldState,
        new EngineClient.WriteListener() {
          @Override
          public boolean shouldSend() {
            return listener.shouldSend();
          }

          @Override
          public void sent() {
            listener.sent();
          }

          @Override
          public void chunk(CompletionChunk chunk) {
            JsonNode usage = chunk.usage();
            if (usage != null) {
              listener.tokensCounted(EngineClient.cachedTokens(usage), usage.path("prompt_tokens").asLong(0),
                  usage.path("completion_tokens").asLong(-1));
            }
            listener.chunk(chunk, chunk.hasContent() || chunk.hasFinishReason());
          }

          @Override
          public void readDelivered(StreamContent content, long unfinishedBytes) {
            listener.readDelivered(content, unfinishedBytes);
          }

          @Override
          public void done() {
            listener.done();
          }

          @Override
          public void failed(EngineFailure failure) {
            listener.failed(failure);
          }
        });
  }

  @Override
  public Duration lastReceivedAt(InetSocketAddress server) {
    return http.lastHeard(server);
  }

  @Override
  public void probe(InetSocketAddress server, BiConsumer<double[], EngineFailure> listener) {
    engines.probe(server, listener);
  }

  @Override
  public void reserve(InetSocketAddress server, String id, ClientReq req, Duration timeout, ReservationListener listener) {
    engines.reserve(server, id, (int) req.attributes().promptTokens(), timeout, listener::shouldSend,
        (acknowledged, certain) -> listener.answered(acknowledged ? ReservationResult.HELD
            : certain ? ReservationResult.NOT_HELD : ReservationResult.UNANSWERED));
  }

  @Override
  public void release(InetSocketAddress server, String id, Duration timeout, boolean newConnection, ReleaseListener listener) {
    engines.release(server, id, timeout, newConnection, (acknowledged, anyHeld) -> listener.releaseEnded(acknowledged));
  }

  @Override
  public void forget(InetSocketAddress server) {
    engines.forget(server);
  }

  @Override
  public void close() {
    http.closeIdle(null);
  }
}
