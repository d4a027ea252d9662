package gapproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import gapproxy.config.WireSettings;
import gapproxy.engine.EngineFailure;
import gapproxy.gateway.ClientReq;
import gapproxy.gateway.Servers;
import gapproxy.http.HttpClient;
import gapproxy.http.HttpRequest;
import gapproxy.http.BufferedResponseListener;
import gapproxy.http.StreamContent;
import gapproxy.runtime.Loop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Calls model servers that speak the platform's protocol, for reqs that came from {@link PlatformFrontend}. Belongs to one loop. */
final class PlatformServers implements Servers {
  private static final int RELEASED = 204;
  private static final byte[] EMPTY_BODY = new byte[0];
  private static final double[] NO_FIGURES = new double[0];
  /** Headers that are not forwarded, see {@link #headers}. */
  private static final Set<String> HOP_BY_HOP_HEADERS = Set.of("connection", "content-length", "expect", "host", "keep-alive",
      "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade");
  /** Size limits of responses other than streams. Only the start of a body is kept, since the gateway reads just a few fields. */
  private static final BufferedResponseListener.BodyLimits RESPONSE_SIZE = new BufferedResponseListener.BodyLimits(Protocol.MAX_BODY_BYTES,
      8 << 10);
  private static final String DATA_FIELD = "data:", LOAD_COMMENT = ": " + Protocol.LOAD_HEADER + ":";
  // Bytes of comments that are passed on before a stream's first event; further comments are discarded.
  private static final int MAX_LEADING_COMMENT_BYTES = 4 << 10;
  // What a leading comment counts at least, so that their number is limited too.
  private static final int MIN_COMMENT_BYTES = 32;

  private final HttpClient http;
  private final Loop loop;
  private final WireSettings wireSettings;
  // Id of the most recently finished req, or null.
  private String lastFinishedId;

  PlatformServers(HttpClient http, Loop loop, WireSettings wire) {
    this.http = http;
    this.loop = loop;
    this.wireSettings = wire;
  }

  @Override
  public HttpClient.Call read(InetSocketAddress to, String id, ClientReq client, Duration within, ReadListener listener) {
    return forward(to, id, client, within, new BufferedResponseListener(RESPONSE_SIZE, (status, headers, body, failure, why) -> {
      if (failure != null) {
        listener.failed(EngineFailure.of(failure, why));
        return;
      }
      listener.loadReport(parseLoadReport(headers.get(Protocol.LOAD_HEADER)));
      if (status == 202) {
        JsonNode json = parseJson(body);
        listener.readDone("", json == null ? -1 : json.path("cached_tokens").asLong(-1), 0);
      } else {
        listener.failed(failureOf(status, headers));
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

  @Override
  public HttpClient.Call write(InetSocketAddress to, String id, ClientReq client, Duration within, String reservationId, Object state,
      WriteListener listener) {
    return forward(to, id, client, within, new StreamListener(listener));
  }

  private HttpClient.Call forward(InetSocketAddress to, String id, ClientReq client, Duration within, HttpClient.Listener listener) {
    HttpRequest request = ((PlatformFrontend.PlatformReq) client).request();
    String path = request.query() == null ? request.path() : request.path() + "?" + request.query();
    Duration deadline = loop.now().plus(within);
    return http.call(to, request.method(), path, () -> headers(request, id, deadline), request.body(), wireSettings.connectTimeout(),
        listener);
  }

  /**
   * Copies the client's headers except hop-by-hop ones (RFC 9110, section 7.6.1) and those that describe the body's length, and sets the
   * req's id and the time left until its deadline. The client's headers are forwarded because a server recognizes a repeated req by a key
   * that the client sent.
   */
  private Map<String, String> headers(HttpRequest request, String id, Duration deadline) {
    Map<String, String> headers = new HashMap<>(request.headers());
    String connectionOptions = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
    headers.keySet().removeIf(name -> HOP_BY_HOP_HEADERS.contains(name) || List.of(connectionOptions.split("[ ,]+")).contains(name));
    headers.put(Protocol.ID_HEADER.toLowerCase(Locale.ROOT), id);
    headers.put(Protocol.DEADLINE_HEADER.toLowerCase(Locale.ROOT), Long.toString(Math.max(1, deadline.minus(loop.now()).toMillis())));
    return headers;
  }

  /** Parses the event stream that answers a write. After the regular end or a failure the listener gets no more calls. */
  private final class StreamListener implements HttpClient.Listener {
    private final WriteListener listener;
    private final EventSplitter events = new EventSplitter(new EventSplitter.Listener() {
      @Override
      public void event(byte[] bytes, String text) {
        StreamListener.this.event(bytes, text);
      }

      @Override
      public void comment(byte[] bytes, String text) {
        StreamListener.this.comment(bytes, text);
      }

      @Override
      public void partialComment(byte[] bytes) {
        passOnComment(bytes);
      }

      @Override
      public void partialEvent(byte[] bytes) {
        StreamListener.this.partialEvent(bytes);
      }
    });
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean started, sawLastEvent, finished;
    private int leadingCommentBytes;

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

    @Override
    public void head(int s, Map<String, String> h) {
      status = s;
      headers = h;
    }

    @Override
    public void data(byte[] bytes) {
      if (finished || status != 200) {
        return;
      }
      try {
        StreamContent content = events.feed(bytes);
        listener.readDelivered(content, events.unfinishedBytes());
      } catch (IllegalStateException e) {
        fail(new EngineFailure(EngineFailure.Kind.BROKEN, status, EMPTY_BODY, e.getMessage()));
      }
    }

    /** No limit on the stream as a whole, which is passed on and not kept; but no chunk of it is longer than a body may be. */
    @Override
    public long maxStatedBytes() {
      return Protocol.MAX_BODY_BYTES;
    }

    @Override
    public long retainedBytes() {
      return events.memoryBytes();
    }

    private void partialEvent(byte[] bytes) {
      if (sawLastEvent) {
        throw new IllegalStateException("stream continues after its last event");
      }
      started = true;
      listener.chunk(bytes, true);
    }

    private void event(byte[] bytes, String text) {
      if (finished) {
        return;
      }
      started = true;
      if (sawLastEvent) {
        throw new IllegalStateException("stream continues after its last event");
      }
      String data = dataOf(text);
      if (data.contains("\"cached_tokens\"")) {
        countTokens(data);
      }
      sawLastEvent = data.strip().equals("[DONE]");
      listener.chunk(bytes, true);
    }

    /** Returns the data of an event, and reads a load report that stands as a comment line between its lines. */
    private String dataOf(String event) {
      if (event.indexOf('\n') >= event.length() - 2) {
        return event.substring(DATA_FIELD.length()); // one line of data and a blank line
      }
      StringBuilder data = new StringBuilder();
      for (String line : event.split("\r?\n")) {
        if (line.startsWith(DATA_FIELD)) {
          data.append(data.length() == 0 ? "" : "\n").append(line.substring(DATA_FIELD.length()).strip());
        } else {
          readLoadReport(line);
        }
      }
      return data.toString();
    }

    private void countTokens(String data) {
      JsonNode json = parseJson(data.getBytes(StandardCharsets.UTF_8));
      if (json != null) {
        JsonNode usage = json.path("usage");
        listener.tokensCounted(usage.path("prompt_tokens_details").path("cached_tokens").asLong(-1),
            usage.path("prompt_tokens").asLong(0), usage.path("completion_tokens").asLong(-1));
      }
    }

    private void comment(byte[] bytes, String text) {
      if (!finished) {
        readLoadReport(text);
        passOnComment(bytes);
      }
    }

    /** Passes on a comment, or a part of one. Comments carry no part of the answer, so those beyond the limit may be discarded. */
    private void passOnComment(byte[] bytes) {
      leadingCommentBytes += started ? 0 : Math.max(bytes.length, MIN_COMMENT_BYTES);
      if (started || leadingCommentBytes <= MAX_LEADING_COMMENT_BYTES) {
        listener.chunk(bytes, false);
      }
    }

    private void readLoadReport(String line) {
      if (line.regionMatches(true, 0, LOAD_COMMENT, 0, LOAD_COMMENT.length())) {
        listener.loadReport(parseLoadReport(line.substring(LOAD_COMMENT.length())));
      }
    }

    @Override
    public void end() {
      if (finished) {
        return;
      }
      events.end();
      if (status != 200) {
        listener.loadReport(parseLoadReport(headers.get(Protocol.LOAD_HEADER)));
        fail(failureOf(status, headers));
      } else if (sawLastEvent && !events.insideEvent()) {
        finished = true;
        listener.done();
      } else {
        fail(new EngineFailure(EngineFailure.Kind.BROKEN, status, EMPTY_BODY, "the stream ended without its last event"));
      }
    }

    @Override
    public void failed(HttpClient.Failure failure, String reason) {
      fail(EngineFailure.of(failure, reason));
    }

    private void fail(EngineFailure failure) {
      if (!finished) {
        finished = true;
        listener.failed(failure);
      }
    }
  }

  /** Classifies an error response. {@link Protocol#DECLINED_HEADER} marks a server's refusal, unlike other errors of the same status. */
  private static EngineFailure failureOf(int status, Map<String, String> headers) {
    boolean declined = "1".equals(headers.get(Protocol.DECLINED_HEADER));
    EngineFailure.Kind kind = declined && status == 410 ? EngineFailure.Kind.NO_STATE
        : declined && (status == 503 || status == 504) ? EngineFailure.Kind.FULL
        : status >= 400 && status < 410 || status == 413 || status == 422 ? EngineFailure.Kind.CLIENT_ERROR : EngineFailure.Kind.ERROR;
    return new EngineFailure(kind, status, EMPTY_BODY, "status " + status);
  }

  @Override
  public List<InetSocketAddress> mostReachableFirst(List<InetSocketAddress> addresses) {
    return http.mostRecentlyHeardFirst(addresses);
  }

  @Override
  public Duration lastReceivedAt(InetSocketAddress from) {
    return http.lastHeard(from);
  }

  /**
   * Checks whether a server answers, by a probe. Where the settings allow no probes, the check releases the state of a finished req
   * instead, which every server answers and which changes nothing. Opening a connection is not enough, since the operating system accepts
   * connections for a hung process; the check relies on it only while no req has finished.
   */
  @Override
  public void checkReachable(InetSocketAddress at, Consumer<Boolean> callback) {
    if (wireSettings.settings().limits().probes()) {
      Servers.super.checkReachable(at, callback);
    } else if (lastFinishedId != null) {
      release(at, lastFinishedId, wireSettings.connectTimeout().multipliedBy(2), false, callback::accept);
    } else {
      http.preconnect(at, wireSettings.connectTimeout(), callback);
    }
  }

  @Override
  public void probe(InetSocketAddress to, BiConsumer<double[], EngineFailure> callback) {
    http.fetch(to, "GET", Protocol.LOAD_PATH, Map.of(), EMPTY_BODY, wireSettings.connectTimeout(),
        wireSettings.connectTimeout().multipliedBy(2), RESPONSE_SIZE, false, () -> true, (status, headers, body, failure, why) -> {
          if (failure == null && isStream(headers)) {
            callback.accept(NO_FIGURES, new EngineFailure(EngineFailure.Kind.BROKEN, status, EMPTY_BODY, "the answer is a stream"));
          } else if (failure == null && status == 200) {
            callback.accept(parseLoadReport(new String(body, StandardCharsets.UTF_8)), null);
          } else {
            callback.accept(NO_FIGURES, failure != null ? EngineFailure.of(failure, why) : failureOf(status, headers));
          }
        });
  }

  @Override
  public void reserve(InetSocketAddress to, String id, ClientReq client, Duration within, ReservationListener listener) {
    http.fetch(to, "POST", Protocol.LEASES_PATH + id, Map.of(), EMPTY_BODY, wireSettings.connectTimeout(), within, RESPONSE_SIZE, false,
        listener::shouldSend, (status, headers, body, failure, why) -> listener.answered(reservationResult(status, headers, failure)));
  }

  private static ReservationResult reservationResult(int status, Map<String, String> headers, HttpClient.Failure failure) {
    if (failure != null) {
      return failure == HttpClient.Failure.BROKEN ? ReservationResult.UNANSWERED : ReservationResult.NOT_HELD;
    } else if (isStream(headers)) {
      return ReservationResult.UNANSWERED;
    }
    return switch (status) {
      case 200 -> ReservationResult.HELD;
      case 404, 409 -> ReservationResult.NOT_HELD;
      case 204 -> ReservationResult.NOT_KNOWN;
      default -> ReservationResult.UNANSWERED;
    };
  }

  /** Whether a response is a stream of events. No call but a write is answered by one, so it was meant for another request. */
  private static boolean isStream(Map<String, String> headers) {
    return headers.getOrDefault("content-type", "").startsWith("text/event-stream");
  }

  @Override
  public boolean reservationProvesRead() {
    return true;
  }

  @Override
  public void release(InetSocketAddress to, String id, Duration within, boolean newConnection, ReleaseListener listener) {
    http.fetch(to, "DELETE", Protocol.LEASES_PATH + id, Map.of(), EMPTY_BODY, wireSettings.connectTimeout(), within, RESPONSE_SIZE,
        newConnection, () -> true, (status, headers, body, failure, why) -> listener.releaseEnded(failure == null && status == RELEASED));
  }

  @Override
  public void reqFinished(String id) {
    lastFinishedId = id;
  }

  @Override
  public void forget(InetSocketAddress to) {
    http.closeIdle(to);
  }

  @Override
  public void close() {
    http.closeIdle(null);
  }

  /**
   * Parses a load report into figures in the order of the settings' load columns; empty if any of them is missing or is not a finite
   * number of at least 0.
   */
  private double[] parseLoadReport(String text) {
    JsonNode json = text == null || wireSettings.loadColumns().isEmpty() ? null : parseJson(text.getBytes(StandardCharsets.UTF_8));
    if (json == null) {
      return NO_FIGURES;
    }
    double[] figures = new double[wireSettings.loadColumns().size()];
    for (int i = 0; i < figures.length; i++) {
      JsonNode figure = json.path(wireSettings.loadColumns().get(i));
      if (!figure.isNumber() || !(figure.asDouble() >= 0) || Double.isInfinite(figure.asDouble())) {
        return NO_FIGURES;
      }
      figures[i] = figure.asDouble();
    }
    return figures;
  }

  private static JsonNode parseJson(byte[] text) {
    try {
      JsonNode json = PlatformConfig.JSON.readTree(text);
      return json != null && json.isObject() ? json : null;
    } catch (IOException e) {
      return null;
    }
  }
}
