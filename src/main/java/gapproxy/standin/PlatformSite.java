package gapproxy.standin;

import gapproxy.http.ServerLimits;
import gapproxy.http.Exchange;
import gapproxy.http.HttpServer;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An emulated platform: discovery, and model servers that read, write, hold state and report their load, as {@link gapproxy.platform}
 * expects. Belongs to one loop.
 */
public final class PlatformSite {
  private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");
  private static final Map<String, String> DECLINED_HEADERS = Map.of("srv-declined", "1");
  private static final byte[] EMPTY_BODY = new byte[0];

  /** Handles requests in place of the model servers, for instance to inject a fault. */
  public interface RequestInterceptor {
    /** Returns true if it has taken over the request, or false to have the model server handle it as usual. */
    boolean serve(ModelServer at, Exchange x);
  }

  /** An emulated model server, a reader or a writer. */
  public final class ModelServer implements HttpServer.Handler {
    public final String name;
    public final boolean reader;
    /** The zone that discovery tells. */
    public String zone = "here";
    /** The port that discovery tells, where that is not the server's own one but that of a proxy; 0 for the server's own. */
    public int proxyPort;
    private final int number;
    private HttpServer server;
    private String health = "up";

    private ModelServer(int number, boolean reader) throws IOException {
      this.number = number;
      this.reader = reader;
      name = "s-" + number;
      server = HttpServer.open(loop, net, new InetSocketAddress("127.0.0.1", 0), ServerLimits.DEFAULT, this);
    }

    public InetSocketAddress address() {
      return server.address();
    }

    @Override
    public void handle(Exchange exchange, Object decoded) {
      callCounts.merge(exchange.request().method() + " " + exchange.request().path(), 1, Integer::sum);
      if (exchange.request().path().startsWith("/v1/")) {
        openCalls.add(exchange);
      }
      if (interceptor != null && interceptor.serve(this, exchange)) {
        return;
      }
      String path = exchange.request().path();
      if (path.equals("/metrics/load")) {
        exchange.respond(200, JSON_HEADERS, "{\"outstanding\":1,\"backlog\":0,\"x0\":0.1,\"x1\":0}".getBytes(StandardCharsets.UTF_8));
      } else if (path.startsWith("/kv/leases/")) {
        String id = path.substring("/kv/leases/".length());
        boolean post = exchange.request().method().equals("POST");
        if (post) {
          heldStates.merge(id, name, (a, b) -> a + " " + b);
        } else {
          heldStates.remove(id);
        }
        exchange.respond(post ? 200 : 204, JSON_HEADERS, post ? "{}".getBytes(StandardCharsets.UTF_8) : EMPTY_BODY);
      } else {
        handleChat(exchange);
      }
    }

    private void handleChat(Exchange exchange) {
      String id = exchange.request().header("req-id");
      if (id == null) {
        exchange.respond(404, JSON_HEADERS, EMPTY_BODY);
      } else if (reader) {
        loop.after(stepTime, () -> {
          if (exchange.isOpen()) {
            heldStates.merge(id, name, (a, b) -> a + " " + b);
            exchange.respond(202, JSON_HEADERS, "{\"cached_tokens\":128}".getBytes(StandardCharsets.UTF_8));
          }
        });
      } else if (heldStates.containsKey(id) || acceptsLocalReads) {
        heldStates.remove(id);
        loop.after(stepTime, () -> {
          exchange.begin(200, Map.of("content-type", "text/event-stream"));
          writeEvents(exchange, 0);
        });
      } else {
        exchange.respond(410, DECLINED_HEADERS, EMPTY_BODY);
      }
    }

    private void writeEvents(Exchange exchange, int n) {
      if (!exchange.isOpen()) {
        return;
      } else if (n < eventsPerStream) {
        exchange.write(eventText(n));
        loop.after(stepTime, () -> writeEvents(exchange, n + 1));
      } else {
        exchange.write(STREAM_END);
        exchange.end();
      }
    }
  }

  /** The final events of each stream: the stop reason, the usage and the end marker. */
  public static final String STREAM_END = """
      data: {"choices":[{"index":0,"delta":{"content":"end"},"finish_reason":"stop"}]}

      data: {"choices":[],"usage":{"prompt_tokens":900,"completion_tokens":9,"prompt_tokens_details":{"cached_tokens":128}}}

      data: [DONE]

      """;

  /** Returns the text of the n-th content event of a stream. */
  public static String eventText(int n) {
    return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w" + n + "\"},\"finish_reason\":null}]}\n\n";
  }

  private final Loop loop;
  private final Net net;
  private final Duration stepTime;
  private final int eventsPerStream;
  /** All model servers, the readers first. */
  public final List<ModelServer> modelServers = new ArrayList<>();
  /** Names of the servers that hold state, separated by spaces, by req id. */
  public final Map<String, String> heldStates = new TreeMap<>();
  /** Number of calls, by method and path, and {@code watch} for discovery. */
  public final Map<String, Integer> callCounts = new HashMap<>();
  /** Sees each request to a model server first, or null. */
  public RequestInterceptor interceptor;
  /** Whether writers also serve reqs that have no held state, by reading the prompt themselves. */
  public boolean acceptsLocalReads = true;
  /** Whether discovery writes each list as JSON over several lines. */
  public boolean indented;
  /** Whether discovery accepts connections but never answers. */
  public boolean discoverySilent;
  /** Whether discovery answers new watches with a response head and no list. */
  public boolean discoveryHeadOnly;
  /** Delay before discovery answers a watch request. */
  public Duration discoveryDelay = Duration.ZERO;
  /** Whether the previous discovery server keeps running when another one is started. */
  public boolean keepsOldDiscovery;
  private final List<Exchange> openCalls = new ArrayList<>();
  private final List<Exchange> watches = new ArrayList<>();
  private HttpServer discovery;
  private int listVersion = 1;

  /**
   * @param stepTime duration of a read, and interval between the events of a stream
   * @param eventsPerStream number of content events in each stream, before {@link #STREAM_END}
   */
  public PlatformSite(Loop loop, Net net, int readers, int writers, Duration stepTime, int eventsPerStream) throws IOException {
    this.loop = loop;
    this.net = net;
    this.stepTime = stepTime;
    this.eventsPerStream = eventsPerStream;
    for (int i = 0; i < readers + writers; i++) {
      modelServers.add(new ModelServer(i, i < readers));
    }
    startDiscovery();
    sendHeartbeats();
  }

  /** Writes an empty line into each open watch every 2 s, so that gateways do not take the connection for dead. */
  private void sendHeartbeats() {
    watches.removeIf(exchange -> !exchange.isOpen());
    watches.forEach(exchange -> exchange.write("\n"));
    loop.after(Duration.ofSeconds(2), this::sendHeartbeats);
  }

  /** Starts a discovery server at a new address; the previous one is closed unless {@link #keepsOldDiscovery} is set. */
  public void startDiscovery() throws IOException {
    HttpServer before = discovery;
    discovery = HttpServer.open(loop, net, new InetSocketAddress("127.0.0.1", 0), ServerLimits.DEFAULT, (exchange, decoded) -> {
      callCounts.merge("watch", 1, Integer::sum);
      if (!discoverySilent) {
        loop.after(discoveryDelay, () -> answerWatch(exchange));
      }
    });
    if (before != null && !keepsOldDiscovery) {
      before.closeNow();
    }
  }

  private void answerWatch(Exchange exchange) {
    if (!exchange.isOpen()) {
      return;
    }
    exchange.begin(200, JSON_HEADERS);
    if (discoveryHeadOnly) {
      exchange.write("\n");
      return;
    }
    writeList(exchange, hostsJson(modelServers));
    watches.add(exchange);
  }

  /** Returns the address of the discovery server that was started last. */
  public InetSocketAddress discovery() {
    return discovery.address();
  }

  /** Publishes a model server's new state in all open watches: up, draining or removed. */
  public void publishHealth(ModelServer m, String health) {
    listVersion++;
    m.health = health;
    watches.forEach(exchange -> writeList(exchange, "{\"seq\":" + listVersion + ",\"whole\":false,\"hosts\":[" + hostJson(m) + "]}"));
  }

  /** Writes the text as it is into each open watch. */
  public void writeRaw(String text) {
    watches.forEach(exchange -> exchange.write(text));
  }

  /** Resets discovery's list version to a lower one, as after a restart of discovery. */
  public void restartVersionsFrom(int from) {
    listVersion = from;
  }

  /** Publishes a state of model servers in the oldest open watch only, without changing discovery's own record. */
  public void publishHealthToOldestWatch(List<ModelServer> of, String health) {
    Exchange old = watches.get(0);
    of.forEach(m -> writeList(old, "{\"seq\":" + (listVersion + 1) + ",\"whole\":false,\"hosts\":[" + hostJson(m)
        .replace("\"up\"", "\"" + health + "\"") + "]}"));
  }

  /** Returns the number of open calls to model servers under {@code /v1/}. */
  public int openCallCount() {
    openCalls.removeIf(exchange -> !exchange.isOpen());
    return openCalls.size();
  }

  /** Sends nothing more in the watches that are open now, but leaves them open. */
  public void forgetWatches() {
    watches.clear();
  }

  private void writeList(Exchange exchange, String list) {
    exchange.write((indented ? list.replace("{", "{\n  ").replace(",", ",\n  ") : list) + "\n");
  }

  private String hostsJson(List<ModelServer> of) {
    return "{\"seq\":" + listVersion + ",\"whole\":true,\"hosts\":[" + String.join(",",
        of.stream().filter(m -> !m.health.equals("removed")).map(this::hostJson).toList()) + "]}";
  }

  private String hostJson(ModelServer m) {
    return "{\"host\":\"" + m.name + "\",\"dial\":\"127.0.0.1:" + (m.proxyPort == 0 ? m.address().getPort() : m.proxyPort) + "\",\"site\":\"" + m.zone + "\",\"class\":\""
        + (m.reader ? "reading" : "writing") + "\",\"block\":0,\"health\":\"" + m.health + "\",\"share\":1.0,\"born_ms\":0}";
  }

  /** Returns the configuration of a gateway that listens at the given host and port; port 0 selects any free port. */
  public String config(String listen) {
    return """
        {"name":"n0","listen":"%s","discovery":"127.0.0.1:%d","seed":"2a","limits":{"cores":1.0,"memory_mb":192,"sockets":512},
         "known":%s,
         "settings":%s}
        """.formatted(listen, discovery().getPort(), hostsJson(modelServers), SETTINGS);
  }

  /** The {@code settings} section of the gateway configuration. */
  public static final String SETTINGS = """
         {"balancers":1,"tickUs":4000,"locality":0,"localities":["here"],"kinds":["reading","writing"],
          "classes":[{"name":"talk","repeat":"read_like","sloUs":1500000,"giveUpUs":7500000,"worth":1.0,"stream":true}],
          "projects":[{"name":"town","quotaRps":1000.0}],"overShareWorth":0.2,"registryMode":"pushed",
          "familyInfo":{"ahead":true,"localRead":true,"releaseWithinUs":1000000,"roleByKind":["read","write"],
           "memoryTokens":[200000,200000],"reportX0":"share of memory that is held",
           "reportX1":"thousands of prompt tokens waiting to be read or fetched"},
          "guarantees":{"drainGraceUs":2000000,"startCapacity":0.25,"warmUpUs":10000000,"tipMultiple":4.0,"fallUs":2000000},
          "policyLimits":{"connIdleUs":15000000,"connectTimeoutUs":250000,"maxAttempts":4,"mayCancel":true,
           "mayDuplicate":true,"mayProbe":true,"retryAfter":false},
          "stats":{"source":"pull","columns":["outstanding","backlog","x0","x1"]}}
        """;

  /** Closes the model servers and discovery. */
  public void close() {
    modelServers.forEach(m -> m.server.closeNow());
    discovery.closeNow();
  }
}
