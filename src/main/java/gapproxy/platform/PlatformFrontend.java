package gapproxy.platform;

import gapproxy.config.WireSettings;
import gapproxy.gateway.ClientReq;
import gapproxy.gateway.HttpFrontend;
import gapproxy.http.ServerLimits;
import gapproxy.http.Exchange;
import gapproxy.http.HttpRequest;
import gapproxy.http.HttpServer;
import gapproxy.memory.MemoryBudget;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.codec.digest.MurmurHash3;

/** Serves clients that speak the platform's protocol: parses their reqs and writes the answers. Belongs to one loop. */
final class PlatformFrontend extends HttpFrontend {
  // How long a draining gateway still accepts connections; longer than clients take to stop opening them.
  private static final Duration DRAIN_GRACE = Duration.ofMillis(500);
  private static final long MAX_BUDGET_MS = 600_000, MAX_TOKENS = 100_000_000;

  private final InetSocketAddress listen;
  private final Loop loop;
  private final Net net;
  private final ServerLimits serverLimits;
  private final MemoryBudget budget;
  private final WireSettings wireSettings;
  private final Set<String> openIds = new HashSet<>();
  private boolean drainGraceOver;

  PlatformFrontend(InetSocketAddress listen, Loop loop, Net net, ServerLimits serverLimits, MemoryBudget budget,
      WireSettings wireSettings) {
    this.listen = listen;
    this.loop = loop;
    this.net = net;
    this.serverLimits = serverLimits;
    this.budget = budget;
    this.wireSettings = wireSettings;
  }

  @Override
  protected HttpServer openServer() throws IOException {
    return HttpServer.open(loop, net, listen, serverLimits, budget, this);
  }

  @Override
  public void drain() {
    server.drain(DRAIN_GRACE);
    loop.after(DRAIN_GRACE, () -> drainGraceOver = true);
  }

  @Override
  public boolean drained() {
    // Connections close only after their last answer has been written.
    return drainGraceOver && server.open() == 0;
  }

  /** A request that is rejected with a status and a message for its client. */
  private record InvalidRequest(int status, String reason) {}

  /** A request that has passed validation. */
  private record ValidRequest(String id, ClientReq.Attributes ask) {}

  @Override
  public Object decode(HttpRequest request) {
    if (!request.path().equals(Protocol.CHAT_PATH)) {
      return request.path().equals(Protocol.UP_PATH) && request.method().equals("GET") ? Protocol.UP_PATH
          : new InvalidRequest(404, "nothing is served there");
    } else if (!request.method().equals("POST")) {
      return new InvalidRequest(405, "POST is served there");
    }
    try {
      return parseRequest(request);
    } catch (IllegalArgumentException e) {
      return new InvalidRequest(400, e.getMessage());
    }
  }

  private ValidRequest parseRequest(HttpRequest request) {
    String id = request.header(Protocol.ID_HEADER);
    if (id == null || !id.matches("[0-9A-Za-z_.-]{1,64}")) {
      throw new IllegalArgumentException(Protocol.ID_HEADER + ": an id is needed");
    }
    int group = indexOf(wireSettings.groups(), request.header(Protocol.GROUP_HEADER));
    if (group < 0) {
      throw new IllegalArgumentException(Protocol.GROUP_HEADER + ": there is no such endpoint group");
    }
    int customer = wireSettings.customers().isEmpty() ? 0 : indexOf(wireSettings.customers(), request.header(Protocol.CUSTOMER_HEADER));
    if (customer < 0) {
      throw new IllegalArgumentException(Protocol.CUSTOMER_HEADER + ": there is no such customer");
    }
    long budgetMs = parseNumber(Protocol.DEADLINE_HEADER, request.header(Protocol.DEADLINE_HEADER), 1, MAX_BUDGET_MS);
    Map<String, String> extra = new HashMap<>();
    String extraHeader = request.header(Protocol.EXTRA_HEADER);
    for (String part : extraHeader == null ? new String[0] : extraHeader.split(",")) {
      int equalsSign = part.indexOf('=');
      if (equalsSign > 0) {
        extra.put(part.substring(0, equalsSign).trim(), part.substring(equalsSign + 1).trim());
      }
    }
    long promptTokens = parseNumber(Protocol.EXTRA_HEADER, extra.getOrDefault("prompt_len", Integer.toString(request.body().length / 4)),
        0, MAX_TOKENS);
    long prefixTokens = parseNumber(Protocol.EXTRA_HEADER, extra.getOrDefault("prefix_len", "0"), 0, MAX_TOKENS);
    long maxAnswerTokens = parseNumber(Protocol.EXTRA_HEADER, extra.getOrDefault("max_out", "0"), 0, MAX_TOKENS);
    return new ValidRequest(id, new ClientReq.Attributes(group, customer, parseKey(request.header(Protocol.SESSION_HEADER)),
        Duration.ofMillis(budgetMs), parseKey(extra.get("prefix")), promptTokens, Math.min(prefixTokens, promptTokens),
        maxAnswerTokens > 0 ? maxAnswerTokens : Integer.MAX_VALUE));
  }

  /** Returns the index of a name, or -1 if it is unknown or null. Null is checked first, since immutable lists throw on indexOf(null). */
  private static int indexOf(List<String> names, String name) {
    return name == null ? -1 : names.indexOf(name);
  }

  private static long parseNumber(String header, String text, long min, long max) {
    long value;
    try {
      value = Long.parseLong(text == null ? "" : text);
    } catch (NumberFormatException e) {
      value = Long.MIN_VALUE;
    }
    if (value < min || value > max) {
      throw new IllegalArgumentException(header + ": a whole number from " + min + " to " + max + " is needed");
    }
    return value;
  }

  /** Converts a key to a number: up to 16 hexadecimal digits by value, anything else by its hash, a missing key to 0. */
  private static long parseKey(String text) {
    if (text == null || text.isEmpty()) {
      return 0;
    }
    try {
      return text.length() <= 16 ? Long.parseUnsignedLong(text, 16) : hash(text);
    } catch (NumberFormatException e) {
      return hash(text);
    }
  }

  private static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  @Override
  public byte[] errorBody(int status, String message) {
    return ("{\"error\":\"" + message + "\"}").getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void handle(Exchange exchange, Object decoded) {
    if (decoded instanceof InvalidRequest invalid) {
      respond(exchange, invalid.status(), invalid.reason());
    } else if (decoded instanceof ValidRequest valid) {
      if (openIds.contains(valid.id())) {
        respond(exchange, 409, "a req with this id is open");
      } else if (reqHandler.mayHaveRun(valid.id())) {
        respond(exchange, 409, "a req with this id may have run");
      } else if (!reqHandler.hasCapacity() && !reqHandler.stopping()) {
        respond(exchange, 503, "too many reqs are open");
      } else if (drainGraceOver) {
        respond(exchange, 503, "this gateway is stopping"); // a req accepted now would be cut off at shutdown
      } else {
        take(exchange, valid);
      }
    } else {
      boolean ready = reqHandler.anyServerReady() && !reqHandler.stopping();
      respond(exchange, ready ? 200 : 503, ready ? "ready" : "not ready");
    }
  }

  /**
   * Passes a request on to the gateway with what is left of its time budget. The budget started when the client sent the request, and the
   * request may have waited since then to be read, and behind earlier ones that were pipelined on its connection.
   */
  private void take(Exchange exchange, ValidRequest request) {
    Duration left = request.ask().budget().minus(exchange.timeSinceSent());
    if (left.compareTo(Duration.ofMillis(1)) < 0) {
      respond(exchange, 503, "its time was over before it could be taken");
      return;
    }
    openIds.add(request.id());
    reqHandler.accept(new PlatformReq(exchange, new ValidRequest(request.id(), request.ask().withBudget(left))));
  }

  private void respond(Exchange exchange, int status, String message) {
    exchange.respond(status, Map.of("content-type", "application/json"),
        status == 200 ? "{}".getBytes(StandardCharsets.UTF_8) : errorBody(status, message));
  }

  /** One req that a client sent by the platform's protocol, and its answer. */
  final class PlatformReq extends HttpReq {
    private final ValidRequest parsed;
    private Runnable onLost;

    private PlatformReq(Exchange exchange, ValidRequest parsed) {
      super(exchange);
      this.parsed = parsed;
      exchange.onDisconnect(() -> {
        openIds.remove(parsed.id());
        if (onLost != null) {
          onLost.run();
        }
      });
    }

    HttpRequest request() {
      return exchange.request();
    }

    @Override
    public Attributes attributes() {
      return parsed.ask();
    }

    @Override
    public String clientRequestId() {
      return parsed.id();
    }

    @Override
    public boolean streaming() {
      return true;
    }

    @Override
    public void accepted(String name, Supplier<String> path) {
    }

    @Override
    public void onDisconnect(Runnable then) {
      onLost = then;
      if (!exchange.isOpen()) {
        then.run();
      }
    }

    @Override
    public void beginAnswer() {
      super.beginAnswer();
      exchange.begin(200, Map.of("content-type", "text/event-stream"));
    }

    @Override
    public void chunk(Object piece) {
      bufferWrite((byte[]) piece);
    }

    @Override
    public void promptTokensCounted(long tokens) {
    }

    @Override
    public void done() {
      openIds.remove(clientRequestId());
      flush();
      exchange.end();
    }

    @Override
    public void pushBack(Duration retryIn, boolean trouble) {
      Map<String, String> headers = new HashMap<>(Map.of("content-type", "application/json"));
      if (!retryIn.isZero()) {
        headers.put("retry-after", Double.toString(retryIn.toMillis() / 1000.0));
      }
      answer(trouble ? 503 : 429, headers, "try again");
    }

    @Override
    public void clientError(int status, byte[] body) {
      answer(status, Map.of("content-type", "application/json"), "a model server refused it");
    }

    @Override
    public void abort(AbortReason why, String text) {
      if (exchange.hasBegun()) {
        openIds.remove(clientRequestId());
        flush();
        exchange.abort();
      } else {
        answer(why == AbortReason.TIMEOUT ? 504 : 502, Map.of("content-type", "application/json"), "not answered");
      }
    }

    private void answer(int status, Map<String, String> headers, String message) {
      openIds.remove(clientRequestId());
      exchange.respond(status, headers, errorBody(status, message));
    }
  }
}
