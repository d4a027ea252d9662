package gapproxy.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gapproxy.config.Config;
import gapproxy.http.ServerLimits;
import gapproxy.http.Exchange;
import gapproxy.http.HttpRequest;
import gapproxy.http.HttpServer;
import gapproxy.openai.ApiError;
import gapproxy.openai.ChatRequest;
import gapproxy.openai.CompletionChunk;
import gapproxy.openai.CompletionAssembler;
import gapproxy.memory.MemoryBudget;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.apache.commons.codec.digest.MurmurHash3;

/** Serves the OpenAI-style chat API: validates requests, picks customer, endpoint group and time budget, and formats answers and errors. */
final class ChatFrontend extends HttpFrontend {
  // Bounds of the ratio between counted and estimated prompt tokens.
  private static final double MIN_TOKEN_RATIO = 0.25, MAX_TOKEN_RATIO = 4;

  /** A JSON tree takes several times the memory of the text that it was parsed from. */
  private static final int DECODED_BYTES_PER_BODY_BYTE = 4;

  private final Config config;
  private final Loop loop;
  private final Net net;
  private final MemoryBudget memoryBudget;
  // Indexes of the endpoint groups, by model and by the group's name with a blank before it.
  private final Map<String, Integer> groupIndexes = new HashMap<>();
  private final Map<String, Integer> customerIndexesByKey = new HashMap<>();
  // Ratio of counted to estimated prompt tokens, by model.
  private final Map<String, Double> tokenRatios = new HashMap<>();
  private final long startedEpochSecond;
  private int anonymousCustomer = -1;

  ChatFrontend(Config config, Loop loop, Net net, MemoryBudget memoryBudget) {
    this.memoryBudget = memoryBudget;
    this.config = config;
    this.loop = loop;
    this.net = net;
    startedEpochSecond = loop.wallClock().getEpochSecond();
    for (int i = 0; i < config.groups().size(); i++) {
      for (String model : config.groups().get(i).models()) {
        groupIndexes.put(model, i);
      }
      groupIndexes.put(" " + config.groups().get(i).name(), i);
    }
    for (int i = 0; i < config.customers().size(); i++) {
      for (String k : config.customers().get(i).keys()) {
        customerIndexesByKey.put(k, i);
      }
      anonymousCustomer = config.customers().get(i).anonymous() ? i : anonymousCustomer;
    }
  }

  @Override
  protected HttpServer openServer() throws IOException {
    Config.Http http = config.http();
    ServerLimits limits = new ServerLimits(http.headBytes(), http.headers(), http.bodyBytes(), http.outBytes(),
        Config.ofMillis(http.idleMs()), Config.ofMillis(http.arriveMs()));
    return HttpServer.open(loop, net, new InetSocketAddress(config.listen().host(), config.listen().port()), limits, memoryBudget, this);
  }

  @Override
  public long decodedBytes(int bodyBytes) {
    return DECODED_BYTES_PER_BODY_BYTE * (long) bodyBytes;
  }

  /** One chat completion request. */
  static final class ChatReq extends HttpReq {
    private final ChatFrontend frontend;
    private final Attributes attributes;
    private final CompletionAssembler wholeAnswer = new CompletionAssembler();
    private String reqName;
    private Supplier<String> promptPath;
    final ChatRequest chatRequest;
    String idempotencyKey;

    private ChatReq(ChatFrontend frontend, Exchange exchange, ChatRequest chatRequest, Attributes attributes, String idempotencyKey) {
      super(exchange);
      this.frontend = frontend;
      this.chatRequest = chatRequest;
      this.attributes = attributes;
      this.idempotencyKey = idempotencyKey;
    }

    @Override
    public Attributes attributes() {
      return attributes;
    }

    @Override
    public String clientRequestId() {
      return null;
    }

    @Override
    public boolean streaming() {
      return chatRequest.stream();
    }

    @Override
    public void accepted(String name, Supplier<String> path) {
      reqName = name;
      promptPath = path;
      idempotencyKey = idempotencyKey == null && frontend.config.groups().get(attributes.group()).repeat().equals("keyed")
          ? reqName : idempotencyKey;
    }

    @Override
    public void onDisconnect(Runnable listener) {
      exchange.onDisconnect(listener);
    }

    @Override
    public void beginAnswer() {
      super.beginAnswer();
      if (chatRequest.stream()) {
        exchange.begin(200, headers("text/event-stream"));
      }
    }

    @Override
    public void chunk(Object chunk) {
      CompletionChunk completion = (CompletionChunk) chunk;
      if (!chatRequest.stream()) {
        wholeAnswer.add(completion.json() != null ? completion.json() : CompletionChunk.parse(completion.data(), true).json());
      } else if (!completion.isUsageOnly() || chatRequest.includeUsage()) {
        bufferWrite(("data: " + completion.data() + "\n\n").getBytes(StandardCharsets.UTF_8));
      }
    }

    @Override
    public void promptTokensCounted(long tokens) {
      frontend.updateTokenRatio(chatRequest, tokens);
    }

    @Override
    public void done() {
      if (!chatRequest.stream()) {
        exchange.respond(200, headers("application/json"), wholeAnswer.toBytes());
      } else {
        bufferWrite("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        flush();
        exchange.end();
      }
    }

    @Override
    public void pushBack(Duration retryAfter, boolean serversUnavailable) {
      Map<String, String> headers = headers("application/json");
      if (!retryAfter.isZero()) {
        headers.put("retry-after", Long.toString((retryAfter.toMillis() + 999) / 1000));
        headers.put("retry-after-ms", Long.toString(retryAfter.toMillis()));
      }
      ApiError e = serversUnavailable ? new ApiError(503, "server_error", "unavailable", null, "no server can answer this now; try again")
          : new ApiError(429, "rate_limit_error", "overloaded", null, "more is asked for than can be served; try again");
      exchange.respond(e.status, headers, e.toBytes());
    }

    @Override
    public void clientError(int status, byte[] body) {
      exchange.respond(status, headers("application/json"), body);
    }

    @Override
    public void abort(AbortReason reason, String text) {
      ApiError e = switch (reason) {
        case TIMEOUT -> error(504, "timeout", text);
        case STREAM_BROKEN -> error(502, "stream_broken", text);
        case SERVER_FAILED -> error(502, "engine_failed", text);
        case STOPPING -> error(503, "stopping", text);
      };
      if (exchange.hasBegun()) {
        flush();
        exchange.write("data: " + e.toJson() + "\n\n");
        exchange.abort();
      } else {
        exchange.respond(e.status, headers("application/json"), e.toBytes());
      }
    }

    private static ApiError error(int status, String code, String text) {
      return new ApiError(status, "server_error", code, null, "the answer was not completed: " + text);
    }

    private Map<String, String> headers(String contentType) {
      Map<String, String> headers = new HashMap<>();
      headers.put("content-type", contentType);
      headers.put("x-request-id", reqName);
      headers.put("x-gapproxy-path", promptPath.get());
      if (contentType.equals("text/event-stream")) {
        headers.put("cache-control", "no-cache");
      }
      return headers;
    }
  }

  private double tokenRatio(ChatRequest chat) {
    return tokenRatios.getOrDefault(chat.model(), 1.0);
  }

  /** Corrects later estimates of prompt lengths by a moving average of what the model's engines count. */
  private void updateTokenRatio(ChatRequest chat, long counted) {
    if (counted > 0 && chat.promptTokens() > 0) {
      double observed = Math.max(MIN_TOKEN_RATIO, Math.min(MAX_TOKEN_RATIO, (double) counted / chat.promptTokens()));
      tokenRatios.merge(chat.model(), 1 + (observed - 1) / 50, (ratio, first) -> ratio + (observed - ratio) / 50);
    }
  }

  private static long hash(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    long hash = MurmurHash3.hash128x64(bytes)[0];
    // 0 stands for no value.
    return hash == 0 ? 1 : hash;
  }

  @Override
  public Object decode(HttpRequest request) {
    return ChatRequest.decode(request.method(), request.path(), request.body());
  }

  @Override
  public byte[] errorBody(int status, String message) {
    return new ApiError(status, "invalid_request_error", status == 413 || status == 431 ? "too_long" : "invalid_http",
        null, message).toBytes();
  }

  @Override
  public void handle(Exchange exchange, Object decoded) {
    try {
      HttpRequest request = exchange.request();
      if (decoded instanceof ApiError e) {
        throw e;
      } else if (decoded instanceof ChatRequest chat) {
        acceptChat(exchange, chat);
      } else if (request.path().equals("/v1/models") && request.method().equals("GET")) {
        customerIndex(request);
        respondModels(exchange);
      } else if (request.path().equals("/v1/chat/completions") || request.path().equals("/v1/models")) {
        throw new ApiError(405, "invalid_request_error", "method_not_allowed", null,
            request.method() + " is not served at " + request.path());
      } else {
        throw new ApiError(404, "invalid_request_error", "unknown_path", null, "nothing is served at " + request.path());
      }
    } catch (ApiError e) {
      exchange.respond(e.status, new HashMap<>(Map.of("content-type", "application/json")), e.toBytes());
    }
  }

  private int customerIndex(HttpRequest request) {
    if (config.customers().isEmpty()) {
      return 0;
    }
    String auth = request.header("authorization");
    String key = auth != null && auth.regionMatches(true, 0, "bearer ", 0, 7) ? auth.substring(7).trim() : "";
    Integer known = customerIndexesByKey.get(key);
    if (known != null) {
      return known;
    } else if (anonymousCustomer < 0) {
      throw new ApiError(401, "invalid_request_error", "invalid_api_key", null, "this API key is not known");
    }
    return anonymousCustomer;
  }

  private int groupIndex(HttpRequest request, ChatRequest chat) {
    String groupName = request.header("x-gapproxy-group");
    Integer index = groupIndexes.get(groupName == null ? chat.model() : " " + groupName);
    if (index == null || !groupIndexes.containsKey(chat.model())) {
      throw index == null && groupName != null
          ? ApiError.invalid("unknown_group", "x-gapproxy-group", "there is no endpoint group " + groupName)
          : new ApiError(404, "invalid_request_error", "model_not_found", "model", "there is no model " + chat.model());
    }
    return index;
  }

  private Duration budget(HttpRequest request, Config.Group group, int promptTokens) {
    String requested = request.header("x-gapproxy-budget-ms");
    if (requested == null) {
      return group.deadline(promptTokens);
    }
    double ms;
    try {
      ms = Double.parseDouble(requested);
    } catch (NumberFormatException e) {
      ms = Double.NaN;
    }
    if (!(ms >= 1 && ms <= config.limits().longestAnswerMs())) {
      throw ApiError.invalid("invalid_budget", "x-gapproxy-budget-ms",
          "x-gapproxy-budget-ms is to be a number from 1 to " + config.limits().longestAnswerMs());
    }
    return Config.ofMillis(ms);
  }

  private void acceptChat(Exchange exchange, ChatRequest chat) {
    HttpRequest request = exchange.request();
    int customer = customerIndex(request);
    int groupIndex = groupIndex(request, chat);
    Config.Group group = config.groups().get(groupIndex);
    if (chat.continuesAnswer() && !config.resume()) {
      throw ApiError.invalid("unsupported", "continue_final_message", "engines here do not go on with a cut answer");
    }
    int promptTokens = (int) Math.ceil(chat.promptTokens() * tokenRatio(chat));
    Duration budget = budget(request, group, promptTokens);
    if (!reqHandler.hasCapacity()) {
      throw new ApiError(503, "server_error", reqHandler.stopping() ? "stopping" : "too_many_reqs", null,
          "this gateway takes no further req now; try again");
    }
    String key = request.header("idempotency-key");
    // Different customers may use the same key.
    if (key != null && !config.customers().isEmpty()) {
      key = config.customers().get(customer).name() + "/" + key;
    }
    double maxAnswerTokens = chat.maxAnswerTokens() > 0 ? chat.maxAnswerTokens() : Integer.MAX_VALUE;
    ClientReq.Attributes attributes = new ClientReq.Attributes(groupIndex, customer,
        chat.sessionKey() == null ? 0 : hash(customer + "/" + chat.sessionKey()), budget,
        chat.sharedPrefix().isEmpty() ? 0 : hash(chat.sharedPrefix()), promptTokens,
        Math.min(promptTokens, chat.sharedPrefixTokens() * tokenRatio(chat)), maxAnswerTokens);
    reqHandler.accept(new ChatReq(this, exchange, chat, attributes, key));
  }

  private void respondModels(Exchange exchange) {
    ObjectNode all = JsonNodeFactory.instance.objectNode().put("object", "list");
    ArrayNode data = all.putArray("data");
    config.groups().forEach(g -> g.models().forEach(m -> data.addObject().put("id", m).put("object", "model")
        .put("created", startedEpochSecond).put("owned_by", "gapproxy")));
    exchange.respond(200, new HashMap<>(Map.of("content-type", "application/json")),
        all.toString().getBytes(StandardCharsets.UTF_8));
  }
}
