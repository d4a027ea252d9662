package gapproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import gapproxy.config.WireSettings;
import gapproxy.engine.Verdict;
import gapproxy.gateway.Client;
import gapproxy.gateway.Servers;
import gapproxy.http.HttpClient;
import gapproxy.http.HttpRequest;
import gapproxy.http.Whole;
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

/** Model servers that speak the platform's protocol, for {@link PlatformClients}. */
final class PlatformServers implements Servers {
  private static final byte[] NONE = new byte[0];
  private static final double[] NOTHING = new double[0];
  private static final Set<String> OF_CONNECTION = Set.of("connection", "content-length", "expect", "host", "keep-alive",
      "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade");
  /** Of answers that are no streams a few fields are read. */
  private static final Whole.Size WHOLE = new Whole.Size(Wire.LONGEST_BODY, 8 << 10);
  private static final int MOST_COMMENTS_AHEAD = 4 << 10;     // bytes kept ahead of a stream's first event

  private final HttpClient http;
  private final Loop loop;
  private final WireSettings wire;
  private String lastFinished;                                // the id of a request that is over, or null

  PlatformServers(HttpClient http, Loop loop, WireSettings wire) {
    this.http = http;
    this.loop = loop;
    this.wire = wire;
  }

  @Override
  public HttpClient.Call read(InetSocketAddress to, String id, Client of, Duration within, Reading then) {
    return forward(to, id, of, within, new Whole(WHOLE, (status, headers, body, failure, why) -> {
      if (failure != null) {
        then.failed(Verdict.of(failure, why));
        return;
      }
      then.report(report(headers.get(Wire.LOAD)));
      if (status == 202) {
        JsonNode json = json(body);
        then.read("", json == null ? -1 : json.path("cached_tokens").asLong(-1), 0);
      } else {
        then.failed(verdict(status, headers));
      }
    }) {
      @Override
      public boolean wanted() {
        return then.wanted();
      }

      @Override
      public void sent() {
        then.sent();
      }
    });
  }

  @Override
  public HttpClient.Call write(InetSocketAddress to, String id, Client of, Duration within, String place, Object state,
      Writing then) {
    return forward(to, id, of, within, new Stream(then));
  }

  private HttpClient.Call forward(InetSocketAddress to, String id, Client of, Duration within, HttpClient.Listener then) {
    HttpRequest q = ((PlatformClients.Asked) of).request();
    String path = q.query() == null ? q.path() : q.path() + "?" + q.query();
    Duration until = loop.now().plus(within);
    return http.call(to, q.method(), path, () -> headers(q, id, until), q.body(), wire.connectWithin(), then);
  }

  /**
   * A request's own headers, but for those that are of its connection (RFC 9110, section 7.6.1) or say its body's length: a server
   * knows a repeat by a key that its client has sent.
   */
  private Map<String, String> headers(HttpRequest q, String id, Duration until) {
    Map<String, String> headers = new HashMap<>(q.headers());
    String ofConnection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
    headers.keySet().removeIf(name -> OF_CONNECTION.contains(name) || List.of(ofConnection.split("[ ,]+")).contains(name));
    headers.put(Wire.ID.toLowerCase(Locale.ROOT), id);
    headers.put(Wire.DEADLINE.toLowerCase(Locale.ROOT), Long.toString(Math.max(1, until.minus(loop.now()).toMillis())));
    return headers;
  }

  /** Takes a stream of events apart; after its regular end or its failure nothing more is told. */
  private final class Stream implements HttpClient.Listener {
    private final Writing then;
    private final Events events = new Events(new Events.Told() {
      @Override
      public void event(byte[] bytes, String text) {
        Stream.this.event(bytes, text);
      }

      @Override
      public void part(byte[] bytes) {
        Stream.this.part(bytes);
      }
    });
    private int status;
    private Map<String, String> headers = Map.of();
    private boolean begun, last, over;
    private int commentsAhead;

    Stream(Writing then) {
      this.then = then;
    }

    @Override
    public boolean wanted() {
      return then.wanted();
    }

    @Override
    public void sent() {
      then.sent();
    }

    @Override
    public void head(int s, Map<String, String> h) {
      status = s;
      headers = h;
    }

    @Override
    public void data(byte[] bytes) {
      if (over || status != 200) {
        return;
      }
      try {
        events.take(bytes);
        if (begun && !over) {                                 // ahead of its first event another attempt may still be the one
          events.passLongPart();
        }
        then.flush();
      } catch (IllegalStateException e) {
        fail(new Verdict(Verdict.Kind.BROKEN, status, NONE, e.getMessage()));
      }
    }

    @Override
    public long kept() {
      return events.kept();
    }

    private void part(byte[] bytes) {
      if (last) {
        throw new IllegalStateException("an event behind the last one");
      }
      then.piece(bytes, true);
    }

    private void event(byte[] bytes, String text) {
      if (over) {
        return;
      }
      boolean data = text.startsWith("data:");
      begun |= data;
      commentsAhead += begun ? 0 : bytes.length;
      if (!data && text.regionMatches(true, 0, ": srv-load:", 0, 11)) {
        then.report(report(text.substring(11)));
      } else if (data && text.contains("\"cached_tokens\"")) {
        JsonNode usage = json(text.substring(5).getBytes(StandardCharsets.UTF_8));
        usage = usage == null ? null : usage.path("usage");
        if (usage != null) {
          then.counted(usage.path("prompt_tokens_details").path("cached_tokens").asLong(-1),
              usage.path("prompt_tokens").asLong(0), usage.path("completion_tokens").asLong(-1));
        }
      }
      if (last && data) {
        throw new IllegalStateException("an event behind the last one");
      }
      last |= data && text.substring(5).strip().equals("[DONE]");
      if (begun || commentsAhead <= MOST_COMMENTS_AHEAD) {    // a comment is no event, and nobody waits for it
        then.piece(bytes, data);
      }
    }

    @Override
    public void end() {
      if (over) {
        return;
      } else if (status != 200) {
        then.report(report(headers.get(Wire.LOAD)));
        fail(verdict(status, headers));
      } else if (last && !events.amid()) {
        over = true;
        then.done();
      } else {
        fail(new Verdict(Verdict.Kind.BROKEN, status, NONE, "the stream ended without its last event"));
      }
    }

    @Override
    public void failed(HttpClient.Failure how, String why) {
      fail(Verdict.of(how, why));
    }

    private void fail(Verdict how) {
      if (!over) {
        over = true;
        then.failed(how);
      }
    }
  }

  private static Verdict verdict(int status, Map<String, String> headers) {
    boolean declined = "1".equals(headers.get(Wire.DECLINED));
    Verdict.Kind kind = declined && status == 410 ? Verdict.Kind.NO_STATE
        : declined && (status == 503 || status == 504) ? Verdict.Kind.FULL
        : status >= 400 && status < 410 || status == 413 || status == 422 ? Verdict.Kind.CLIENT_ERROR : Verdict.Kind.ERROR;
    return new Verdict(kind, status, NONE, "status " + status);
  }

  @Override
  public List<InetSocketAddress> likeliestFirst(List<InetSocketAddress> of) {
    return http.lastHeardFirst(of);
  }

  @Override
  public Duration lastHeard(InetSocketAddress from) {
    return http.lastHeard(from);
  }

  /**
   * By a probe, or where the settings allow none by releasing what a request held that is over: every server answers that, and
   * it changes nothing. A connection that comes up would not do, as a machine accepts for a process that hangs.
   */
  @Override
  public void answers(InetSocketAddress at, Consumer<Boolean> then) {
    if (wire.settings().limits().probes()) {
      Servers.super.answers(at, then);
    } else if (lastFinished != null) {
      free(at, lastFinished, wire.connectWithin().multipliedBy(2), false, then::accept);
    } else {
      http.open(at, wire.connectWithin(), then);
    }
  }

  @Override
  public void probe(InetSocketAddress to, BiConsumer<double[], Verdict> then) {
    http.whole(to, "GET", Wire.LOAD_PROBE, Map.of(), NONE, wire.connectWithin(), wire.connectWithin().multipliedBy(2),
        WHOLE, false, () -> true, (status, headers, body, failure, why) -> {
          if (failure == null && status == 200) {
            then.accept(report(new String(body, StandardCharsets.UTF_8)), null);
          } else {
            then.accept(NOTHING, failure != null ? Verdict.of(failure, why) : verdict(status, headers));
          }
        });
  }

  @Override
  public void hold(InetSocketAddress to, String id, Client of, Duration within, Holding then) {
    http.whole(to, "POST", Wire.HELD + id, Map.of(), NONE, wire.connectWithin(), within, WHOLE, false, then::wanted,
        (status, headers, body, failure, why) -> then.answered(reservation(status, failure)));
  }

  private static Reservation reservation(int status, HttpClient.Failure failure) {
    if (failure != null) {
      return failure == HttpClient.Failure.BROKEN ? Reservation.UNANSWERED : Reservation.NOT_HELD;
    }
    return switch (status) {
      case 200 -> Reservation.HELD;
      case 404, 409 -> Reservation.NOT_HELD;
      case 204 -> Reservation.NOT_KNOWN;
      default -> Reservation.UNANSWERED;
    };
  }

  @Override
  public boolean reservationShowsRead() {
    return true;
  }

  @Override
  public void free(InetSocketAddress to, String id, Duration within, boolean newConnection, Released then) {
    http.whole(to, "DELETE", Wire.HELD + id, Map.of(), NONE, wire.connectWithin(), within, WHOLE, newConnection, () -> true,
        (status, headers, body, failure, why) -> then.then(failure == null && status / 100 == 2));
  }

  @Override
  public void finished(String id) {
    lastFinished = id;
  }

  @Override
  public void forget(InetSocketAddress to) {
    http.closeIdle(to);
  }

  @Override
  public void close() {
    http.closeIdle(null);
  }

  /** A report's figures in the settings' order; none at all where one is missing or no number. */
  private double[] report(String text) {
    JsonNode json = text == null || wire.columns().isEmpty() ? null : json(text.getBytes(StandardCharsets.UTF_8));
    if (json == null) {
      return NOTHING;
    }
    double[] figures = new double[wire.columns().size()];
    for (int i = 0; i < figures.length; i++) {
      JsonNode f = json.path(wire.columns().get(i));
      if (!f.isNumber() || !(f.asDouble() >= 0) || Double.isInfinite(f.asDouble())) {
        return NOTHING;
      }
      figures[i] = f.asDouble();
    }
    return figures;
  }

  private static JsonNode json(byte[] text) {
    try {
      JsonNode n = PlatformConfig.JSON.readTree(text);
      return n != null && n.isObject() ? n : null;
    } catch (IOException e) {
      return null;
    }
  }
}
