package gapproxy.soak;

import gapproxy.audit.Traffic;
import gapproxy.http.HttpClient;
import gapproxy.runtime.Loop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The clients of a soak: send reqs at random times and follow each to its end. Belongs to the event loop of the harness. */
final class SoakClients {
  /** A class of reqs and whether its reqs may be repeated. */
  private record RequestClass(String name, String repeat) {}

  /** One gateway as its clients see it. */
  static final class GatewayEndpoint {
    final int gateway;
    final InetSocketAddress address;
    boolean open;  // accepts new connections
    boolean stopping;  // is stopping; gets reqs on open connections only
    Duration crowdedUntil;  // until when other clients may use up its file descriptors, or null
    Duration upSince = Duration.ZERO;
    int generation;  // incremented at each start and end of the gateway's process

    GatewayEndpoint(int gateway, InetSocketAddress address) {
      this.gateway = gateway;
      this.address = address;
    }
  }

  private static final List<RequestClass> CLASSES = List.of(new RequestClass("talk", "replayable"), new RequestClass("note", "keyed"),
      new RequestClass("pay", "non_replayable"));
  private static final Pattern EVENT_TIME = Pattern.compile("\"at\":(\\d+)");
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
  static final int MAX_BODY_BYTES = 256 << 10;
  private static final int MAX_READ_PAUSE_MS = 1500;
  private static final int PLANTED_BUDGET_CUT_MS = 800, PLANTED_UNSEEN_INTERVAL = 5;
  private static final double MIN_BUDGET_SHARE = 0.375;  // share of the longest time budget
  // time after sending within which the gateway may have closed the connection before it read the request
  private static final Duration CLOSE_RACE_WINDOW = Duration.ofMillis(200);

  private final Loop loop;
  private final HttpClient keepAliveClient, newConnectionClient;
  private final SoakJudge judge;
  private final List<GatewayEndpoint> endpoints;
  private final SplittableRandom random, sizeRandom;
  private final int maxBudgetMs;
  private final IntPredicate troubled;
  private final Set<PlantedFault> plantedFaults;
  // reqs that a gateway has read for certain, since a model server got an attempt
  private final Set<String> attemptedRequests = new HashSet<>();
  private final Map<String, Integer> outcomes = new HashMap<>();
  private final Map<String, ClientRequest> byId = new HashMap<>();
  double rate;
  double cancelShare;  // share of clients that cancel early
  double longBodyShare, slowReaderShare;
  private boolean ended;
  private int open;
  private long requestsSent;

  /**
   * Creates the clients; {@link #begin} starts them.
   *
   * @param keepAliveClient for the first try of each req; reuses idle connections
   * @param newConnectionClient for retries; uses new connections
   * @param rate reqs per second
   * @param troubled whether a fault delays traffic between clients and a gateway, or between the gateway and its model servers, or did
   *     until shortly before
   */
  SoakClients(Loop loop, HttpClient keepAliveClient, HttpClient newConnectionClient, SoakJudge judge, List<GatewayEndpoint> endpoints,
      SoakPlan plan, double rate,
      IntPredicate troubled, Set<PlantedFault> plantedFaults) {
    this.loop = loop;
    this.keepAliveClient = keepAliveClient;
    this.newConnectionClient = newConnectionClient;
    this.judge = judge;
    this.endpoints = endpoints;
    this.rate = rate;
    this.troubled = troubled;
    this.plantedFaults = plantedFaults;
    maxBudgetMs = (int) plan.settings().longestBudget().toMillis();
    random = new SplittableRandom(plan.seed() + 2);
    sizeRandom = new SplittableRandom(plan.seed() + 9);
  }

  void begin() {
    scheduleRequests();
  }

  void end() {
    ended = true;
  }

  int open() {
    return open;
  }

  long requestsSent() {
    return requestsSent;
  }

  Map<String, Integer> outcomes() {
    return outcomes;
  }

  private void scheduleRequests() {
    if (ended) {
      return;
    }
    List<GatewayEndpoint> up = endpoints.stream().filter(f -> f.open
        || f.stopping && keepAliveClient.hasIdleConnection(f.address)).toList();
    if (!up.isEmpty()) {
      sendRequest(up.get(random.nextInt(up.size())));
    }
    loop.after(Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / rate * 1e9)), this::scheduleRequests);
  }

  private void sendRequest(GatewayEndpoint endpoint) {
    RequestClass requestClass = CLASSES.get(random.nextInt(4) < 2 ? 0 : 1 + random.nextInt(2));
    String id = String.format("%04x%012x", endpoint.gateway, random.nextLong() & 0xffffffffffffL);
    int shortest = (int) (maxBudgetMs * MIN_BUDGET_SHARE);
    int budget = shortest + random.nextInt(maxBudgetMs - shortest);
    new ClientRequest(endpoint, requestClass, id, budget,
        random.nextDouble() < cancelShare ? Duration.ofMillis(5 + random.nextInt(300)) : null).send(keepAliveClient);
  }

  /** One req, including its one retry on a new connection. */
  private final class ClientRequest implements HttpClient.Listener {
    private final GatewayEndpoint endpoint;
    private final RequestClass requestClass;
    private final String id;
    private final int budgetMs, generation;
    private final Duration leaveAfter;
    private HttpClient.Call call;
    private boolean sent, retried, finished, firstTokenSeen;
    private int status;
    private final StringBuilder text = new StringBuilder();
    private Duration maxEventDelay = Duration.ZERO;
    private boolean excused, rested;
    private Duration sentAt;

    ClientRequest(GatewayEndpoint endpoint, RequestClass requestClass, String id, int budgetMs, Duration leaveAfter) {
      this.endpoint = endpoint;
      this.requestClass = requestClass;
      this.id = id;
      this.budgetMs = budgetMs;
      this.leaveAfter = leaveAfter;
      generation = endpoint.generation;
    }

    void send(HttpClient client) {
      byte[] body = body();
      Map<String, String> headers = new HashMap<>(Map.of("req-id", id, "req-kind", requestClass.name, "req-owner", "town", "req-key",
          Integer.toHexString(1 + random.nextInt(40)), "req-deadline-ms", Integer.toString(budgetMs), "req-extra",
          "prefix=" + Integer.toHexString(random.nextInt(4) + 1) + ",prompt_len=" + (200 + random.nextInt(3000))
              + ",prefix_len=150,max_out=80"));
      if (requestClass.repeat.equals("keyed")) {
        headers.put("idempotency-key", id);
      }
      byId.put(id, this);
      // set again in sent(): the gateway may act before the client learns that the last byte was sent
      judge.setDeadline(id, loop.now().plusMillis(budgetMs));
      call = client.call(endpoint.address, "POST", "/v1/chat/completions", headers, body, CONNECT_TIMEOUT, this);
    }

    private byte[] body() {
      String begin = "{\"model\":\"" + requestClass.name + "\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"";
      String text = "text ".repeat(random.nextInt(200));
      String end = "\"}]}";
      if (sizeRandom.nextDouble() < longBodyShare) {
        int most = MAX_BODY_BYTES - begin.length() - end.length();
        text = "x".repeat(sizeRandom.nextBoolean() ? most : sizeRandom.nextInt(most));
      }
      return (begin + text + end).getBytes(StandardCharsets.UTF_8);
    }

    /** Pauses reading for a while, for a share of the clients. That makes events late, so the stream is excused. */
    private void readSlowly() {
      if (sizeRandom.nextDouble() < slowReaderShare) {
        excused = true;
        rested = true;
        call.setReading(false);
        loop.after(Duration.ofMillis(200 + sizeRandom.nextInt(MAX_READ_PAUSE_MS)), () -> call.setReading(true));
      }
    }

    @Override
    public void sent() {
      if (sent) {
        return;
      }
      sent = true;
      sentAt = loop.now();
      requestsSent++;
      open++;
      judge.setDeadline(id, loop.now().plusMillis(plantedFaults.contains(PlantedFault.LESS_TIME)
          ? budgetMs - PLANTED_BUDGET_CUT_MS : budgetMs));
      if (plantedFaults.contains(PlantedFault.CLOSED_BEFORE)) {
        judge.recordClientClose(id, loop.now().minus(CONNECT_TIMEOUT).minus(CONNECT_TIMEOUT));
      }
      judge.audit.asked(loop.now(), id, 0, SoakBackends.gatewayName(endpoint.gateway), requestClass.repeat, Duration.ofMillis(budgetMs));
      if (leaveAfter != null) {
        loop.after(leaveAfter, () -> {
          if (!finished) {
            judge.recordClientClose(id, loop.now());
            judge.audit.left(loop.now(), id, 0, Traffic.Left.HUNG_UP);
            call.cancel();
            finish("left");
          }
        });
      }
    }

    private void finish(String outcome) {
      finished = true;
      open -= sent ? 1 : 0;
      outcomes.merge(outcome, 1, Integer::sum);
    }

    @Override
    public void head(int s, Map<String, String> headers) {
      status = s;
    }

    @Override
    public void data(byte[] bytes) {
      if (status != 200) {
        return;
      }
      String some = new String(bytes, StandardCharsets.UTF_8);
      text.append(some);
      if (!firstTokenSeen) {
        firstTokenSeen = true;
        if (some.contains(StreamFault.SPOILT_CONTENT)) {
          judge.addViolation(loop.now(), id + ": an answer that was spoilt before its first event was passed on; " + describe());
        }
        readSlowly();
        judge.audit.firstToken(loop.now(), id, 0);
      }
      Matcher m = EVENT_TIME.matcher(some);
      while (m.find()) {
        Duration took = loop.now().minus(Duration.ofNanos(Long.parseLong(m.group(1)) * 1000));
        maxEventDelay = took.compareTo(maxEventDelay) > 0 ? took : maxEventDelay;
      }
      excused |= troubled.test(endpoint.gateway);
    }

    @Override
    public void end() {
      if (finished) {
        return;
      }
      if (!sent) {
        sent();
      }
      if (plantedFaults.contains(PlantedFault.ANSWER_NOT_SEEN) && requestsSent % PLANTED_UNSEEN_INTERVAL == 0) {
        finish("not seen");
        return;
      }
      boolean whole = status == 200 && text.toString().endsWith("data: [DONE]\n\n");
      Traffic.Answer how = whole ? Traffic.Answer.DONE : status == 200 ? Traffic.Answer.ABORTED
          : status == 429 || status == 503 ? Traffic.Answer.PUSHED_BACK : Traffic.Answer.ABORTED;
      if (status == 200 && !whole) {
        judge.addViolation(loop.now(), id + ": a stream ended regularly but is incomplete");
      }
      judge.audit.answered(loop.now(), id, 0, how);
      if (whole) {
        judge.recordStream(maxEventDelay, excused);
      }
      finish(status == 200 ? "served" : "status " + status);
    }

    @Override
    public void failed(HttpClient.Failure how, String why) {
      if (finished) {
        return;
      }
      boolean nothing = status == 0;
      if (!sent) {
        finish("not sent");
      } else if (nothing && !retried && !attemptedRequests.contains(id) && endpoint.generation == generation && endpoint.open) {
        retried = true;  // the gateway may have closed the idle connection at the same time: retry once
        open--;
        sent = true;
        open++;
        sentAt = loop.now();
        send(newConnectionClient);
      } else if (nothing && !attemptedRequests.contains(id) && mayHaveCrossedClose()) {
        judge.audit.left(loop.now(), id, 0, Traffic.Left.HUNG_UP);
        finish("crossed a close");
      } else if (!nothing && firstTokenSeen) {
        boolean gatewayRuns = endpoint.generation == generation;
        judge.audit.answered(loop.now(), id, 0, Traffic.Answer.ABORTED);
        if (gatewayRuns && !rested) {
          judge.checkBrokenStream(loop.now(), id, excused || troubled.test(endpoint.gateway) || !endpoint.open);
        }
        finish("stream broken");
      } else {
        judge.audit.left(loop.now(), id, 0, Traffic.Left.LOST);
        finish("connection ended");
      }
    }

    /** Describes how the req was sent, for reports of violations. */
    private String describe() {
      HttpClient.ConnectionState c = call == null ? null : call.connection();
      return "sent at " + (sentAt == null ? "?" : sentAt.toMillis()) + " ms, budget " + budgetMs + " ms" + (retried ? ", retried" : "")
          + (c == null ? "" : ", connection opened at " + c.openedAt().toMillis() + " ms, heard at " + c.lastHeardAt().toMillis() + " ms")
          + ", gateway up since " + endpoint.upSince.toMillis() + " ms";
    }

    /**
     * Whether the connection may have been closed before the gateway read the request: because the gateway is stopping, or because
     * other clients use up its file descriptors.
     */
    private boolean mayHaveCrossedClose() {
      boolean crowded = endpoint.crowdedUntil != null && loop.now().compareTo(endpoint.crowdedUntil) < 0;
      return (!endpoint.open || crowded) && loop.now().minus(sentAt).compareTo(CLOSE_RACE_WINDOW) <= 0;
    }
  }

  /** Describes how a req was sent, for reports of violations. */
  String describe(String id) {
    ClientRequest a = byId.get(id);
    return a == null ? "no such req was sent" : a.describe();
  }

  /** Records that a model server got an attempt, which shows that the gateway has read the req. */
  void recordAttempt(String id) {
    attemptedRequests.add(id);
  }
}
