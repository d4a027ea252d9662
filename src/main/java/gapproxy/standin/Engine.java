package gapproxy.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gapproxy.audit.Traffic;
import gapproxy.http.ServerLimits;
import gapproxy.http.Exchange;
import gapproxy.http.HttpRequest;
import gapproxy.http.HttpServer;
import gapproxy.list.ServerList;
import gapproxy.openai.ApiError;
import gapproxy.openai.ChatRequest;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32;
import org.glassfish.grizzly.Connection;

/**
 * An emulated engine: processes prompts at a constant rate, writes answers token by token, and has a limited number of slots, a bounded
 * queue, limited memory, a prefix cache and a cold start. It speaks the protocol of {@link gapproxy.engine.EngineClient}. The text
 * {@code [[req=NAME]]} in a prompt identifies the client's req to the audit, and {@code [[answer=N]]} sets the length of its answer in
 * tokens. Belongs to one loop.
 */
public final class Engine implements HttpServer.Handler {
  /**
   * Configuration of one engine.
   *
   * @param role read, write or both
   * @param maxRunning reqs processed concurrently
   * @param maxWaiting reqs that may wait in the queue
   * @param memoryTokens memory size in tokens
   * @param readTokensPerSecond prompt tokens processed per second when warm
   * @param tokenGap time between two tokens of an answer when warm
   * @param startCapacity share of the full rate right after a cold start
   * @param warmUpTime time from a cold start to the full rate
   * @param reqsPerSecond sustainable arrival rate when warm
   * @param overloadMultiple how many times its current share of {@code reqsPerSecond} a cold engine survives, averaged over
   *     {@code overloadWindow}; beyond that it crashes
   */
  public record Spec(long id, String zone, String cell, String kind, String role, int maxRunning, int maxWaiting, int memoryTokens,
      double readTokensPerSecond, Duration tokenGap, double startCapacity, Duration warmUpTime, double reqsPerSecond,
      double overloadMultiple, Duration overloadWindow) {}

  private static final Pattern REQ_MARKER = Pattern.compile("\\[\\[req=([^\\]]{1,80})]]");
  private static final Pattern ANSWER_LENGTH_MARKER = Pattern.compile("\\[\\[answer=(\\d{1,6})]]");
  /** Time after which a held state or a reservation is dropped if it was neither used nor released. */
  private static final Duration HELD_STATE_TIMEOUT = Duration.ofSeconds(20);
  private static final int MAX_CACHED_PREFIXES = 2000, MAX_STORED_REPORTS = 64;
  private static final double TRANSFER_TOKENS_PER_SECOND = 400_000;

  public final Spec spec;
  public final Faults faults = new Faults();
  private final Loop loop;
  private final Net net;
  private final Traffic traffic;
  private final Map<Long, Engine> peers;
  private final RandomGenerator random;
  private final Map<Job, Boolean> running = new LinkedHashMap<>();
  private final ArrayDeque<Job> waiting = new ArrayDeque<>();
  /** Sizes of held states and of reservations in tokens, by the id of the forward or reservation. */
  private final Map<String, Integer> heldStates = new LinkedHashMap<>();
  private final Map<String, Integer> reservations = new LinkedHashMap<>();
  /** Hashes of the cached prompt prefixes; the values are not used. */
  private final Map<Long, Integer> prefixCache = new LinkedHashMap<>(16, 0.75f, true) {
    private static final long serialVersionUID = 1L;

    @Override
    protected boolean removeEldestEntry(Map.Entry<Long, Integer> eldest) {
      return size() > MAX_CACHED_PREFIXES;
    }
  };
  /** Idempotency keys of keyed reqs that ran here. */
  private final Set<String> idempotencyKeys = new HashSet<>();
  private final Map<Connection<?>, Boolean> seenConnections = new WeakHashMap<>();
  private final ArrayDeque<Duration> arrivals = new ArrayDeque<>();
  private final ArrayDeque<MetricsReport> reports = new ArrayDeque<>();
  private InetSocketAddress address;
  private HttpServer server;
  private Instant upSince;
  private Duration startedAt;
  private boolean overloaded;
  private int usedMemoryTokens;
  private long promptTokensRead, answerTokensWritten;

  private record MetricsReport(Duration at, String text) {}

  /** A forward that is queued or being processed. */
  private final class Job {
    final Exchange exchange;
    final String id;
    final String req;
    final String idempotencyKey;
    final boolean isRead;
    final JsonNode transferParams;
    final int promptTokens;
    final int answerTokens;
    /** For each message, the hash of the prompt up to and including that message. */
    final List<Long> prefixHashes;
    /** Estimated length of each of these prefixes in prompt tokens, by hash. */
    final Map<Long, Integer> prefixTokens;
    int cachedTokens;
    int memoryTokens;
    int writtenTokens;
    boolean ended;
    Loop.Timer timer;

    Job(Exchange exchange, ChatRequest chat, String text, boolean isRead, JsonNode transferParams) {
      this.exchange = exchange;
      id = String.valueOf(exchange.request().header("x-request-id"));
      idempotencyKey = exchange.request().header("idempotency-key");
      this.isRead = isRead;
      this.transferParams = transferParams;
      release(reservations, String.valueOf(exchange.request().header("x-gapproxy-place")), true);
      promptTokens = chat.promptTokens();
      Matcher reqMatcher = REQ_MARKER.matcher(text);
      String last = id;
      while (reqMatcher.find()) {
        last = reqMatcher.group(1);
      }
      req = last;
      Matcher answerMatcher = ANSWER_LENGTH_MARKER.matcher(text);
      int wanted = 20 + (int) Math.floorMod(hash(text), 40);
      while (answerMatcher.find()) {
        wanted = Integer.parseInt(answerMatcher.group(1));
      }
      answerTokens = Math.max(1, chat.maxAnswerTokens() > 0 ? Math.min(chat.maxAnswerTokens(), wanted) : wanted);
      prefixHashes = new ArrayList<>();
      prefixTokens = new HashMap<>();
      CRC32 crc = new CRC32();
      JsonNode messages = chat.body().get("messages");
      long length = 0;
      for (JsonNode message : messages) {
        byte[] messageBytes = message.toString().getBytes(StandardCharsets.UTF_8);
        crc.update(messageBytes);
        length += messageBytes.length;
        prefixHashes.add(crc.getValue());
        prefixTokens.put(crc.getValue(), (int) length);
      }
      long totalLength = Math.max(1, length);
      prefixTokens.replaceAll((k, v) -> (int) ((long) v * promptTokens / totalLength));
    }
  }

  /**
   * @param peers all engines by id, from which this one can fetch held states; the constructor adds this engine
   * @param address address to listen at; port 0 selects any free port, which is kept across restarts
   */
  public Engine(Spec spec, Loop loop, Net net, InetSocketAddress address, Map<Long, Engine> peers, RandomGenerator random,
      Traffic traffic) {
    this.spec = spec;
    this.loop = loop;
    this.net = net;
    this.address = address;
    this.peers = peers;
    this.random = random;
    this.traffic = traffic;
    peers.put(spec.id, this);
  }

  /**
   * Starts the engine, warm or cold. Must be called on the loop.
   *
   * @throws IOException if the port can't be bound
   */
  public void start(boolean cold) throws IOException {
    server = HttpServer.open(loop, net, address, ServerLimits.DEFAULT, this);
    address = server.address();
    startedAt = cold ? loop.now() : loop.now().minus(spec.warmUpTime);
    upSince = cold ? loop.wallClock() : null;
    overloaded = false;
    arrivals.clear();
    traffic.started(loop.now(), spec.id, upSince);
  }

  /**
   * Replaces the engine by another machine with the same id: cold, without the held states, and at a new port. Must be called on the
   * loop.
   */
  public void replace() throws IOException {
    kill();
    address = new InetSocketAddress(address.getHostString(), 0);
    start(true);
  }

  public boolean isUp() {
    return server != null;
  }

  /** Crashes the engine: ends all forwards and drops everything it held. Must be called on the loop. */
  public void kill() {
    if (server == null) {
      return;
    }
    server.closeNow();
    server = null;
    for (Job job : List.copyOf(running.keySet())) {
      endJob(job);
    }
    List.copyOf(waiting).forEach(this::endJob);
    waiting.clear();
    running.clear();
    dropHeldResources();
    prefixCache.clear();
    idempotencyKeys.clear();
    usedMemoryTokens = 0;
  }

  /** Drops all held states and reservations, as an engine may do when it is short of memory. */
  public void dropHeldResources() {
    List.copyOf(heldStates.keySet()).forEach(id -> release(heldStates, id, false));
    List.copyOf(reservations.keySet()).forEach(id -> release(reservations, id, false));
  }

  /** Clears the prefix cache. */
  public void clearPrefixCache() {
    prefixCache.clear();
  }

  /** The number of open connections to this engine. */
  public int openConnections() {
    return server == null ? 0 : server.open();
  }

  /** Returns this engine's entry for the server list, with the given state. */
  public ServerList.Entry entry(ServerList.State state) {
    return new ServerList.Entry(spec.id, address, spec.zone, spec.cell, spec.kind, state, 1, upSince);
  }

  public InetSocketAddress address() {
    return address;
  }

  /** Returns the number of prompt tokens processed so far, without those found in the prefix cache. */
  public long promptTokensRead() {
    return promptTokensRead;
  }

  /** Returns the number of answer tokens written so far. */
  public long answerTokensWritten() {
    return answerTokensWritten;
  }

  /** Returns the number of held states and reservations. */
  public int heldResourceCount() {
    return heldStates.size() + reservations.size();
  }

  /** Returns the current share of the full rate: it grows linearly to 1 during the warm-up. */
  private double capacityShare() {
    double warmUpProgress = Math.max(0, Math.min(1, (double) loop.now().minus(startedAt).toNanos() / spec.warmUpTime.toNanos()));
    return spec.startCapacity + (1 - spec.startCapacity) * warmUpProgress;
  }

  /** Returns how long work takes now, given how long it takes on a warm engine without faults. */
  private Duration scaledDuration(double seconds) {
    return Duration.ofNanos((long) (seconds * 1e9 * faults.slowdownFactor / capacityShare()));
  }

  private static long hash(String s) {
    CRC32 crc = new CRC32();
    crc.update(s.getBytes(StandardCharsets.UTF_8));
    return crc.getValue();
  }

  // ---- serving

  @Override
  public Object decode(HttpRequest request) {
    return ChatRequest.decode(request.method(), request.path(), request.body());
  }

  @Override
  public void handle(Exchange exchange, Object decoded) {
    if (overloaded) {
      exchange.terminate();
      return;
    }
    boolean first = seenConnections.putIfAbsent(exchange.connection(), true) == null;
    Duration wait = first ? faults.firstRequestDelay.plus(faults.requestDelay) : faults.requestDelay;
    if (!wait.isZero()) {
      loop.after(wait, () -> serve(exchange, decoded));
    } else {
      serve(exchange, decoded);
    }
  }

  private void serve(Exchange exchange, Object decoded) {
    if (server == null || !exchange.isOpen()) {
      return;
    }
    HttpRequest request = exchange.request();
    boolean unreachable = faults.silent || faults.unreachableGateways.contains(String.valueOf(request.header("x-gapproxy-gateway")));
    if (decoded instanceof ApiError e) {
      respondError(exchange, e);
    } else if (decoded instanceof ChatRequest chat) {
      handleChat(exchange, chat, unreachable);
    } else if (unreachable) {
      return;
    } else if (request.path().equals("/metrics") && request.method().equals("GET")) {
      exchange.respond(200, Map.of("content-type", "text/plain; version=0.0.4"), metrics().getBytes(StandardCharsets.UTF_8));
    } else if (request.path().startsWith("/v1/kv_transfer/")) {
      handleTransfer(exchange, request.path().substring("/v1/kv_transfer/".length()), request);
    } else {
      respondError(exchange, new ApiError(404, "invalid_request_error", "unknown_path", null, "nothing is served at " + request.path()));
    }
  }

  private static void respondError(Exchange exchange, ApiError e) {
    exchange.respond(e.status, Map.of("content-type", "application/json"), e.toBytes());
  }

  /** Serves a release (DELETE) or a reservation (PUT) under an id. */
  private void handleTransfer(Exchange exchange, String id, HttpRequest request) {
    if (request.method().equals("DELETE")) {
      boolean released = release(heldStates, id, false) | release(reservations, id, false);
      exchange.respond(released ? 204 : 404, Map.of(), new byte[0]);
    } else if (request.method().equals("PUT")) {
      int tokens = 0;
      try {
        tokens = ChatRequest.JSON.readTree(request.body()).path("tokens").asInt();
      } catch (IOException e) {
        respondError(exchange, ApiError.invalid("invalid_json", null, "the body is not valid JSON"));
        return;
      }
      boolean hasRoom = waiting.isEmpty() && running.size() + reservations.size() < spec.maxRunning
          && usedMemoryTokens + tokens <= availableMemoryTokens();
      if (hasRoom) {
        reservations.put(id, tokens);
        usedMemoryTokens += tokens;
        traffic.holds(loop.now(), spec.id, String.valueOf(request.header("x-gapproxy-gateway")), id);
        loop.after(HELD_STATE_TIMEOUT, () -> release(reservations, id, false));
      }
      exchange.respond(hasRoom ? 201 : 409, Map.of(), new byte[0]);
    } else {
      respondError(exchange, new ApiError(405, "invalid_request_error", "method_not_allowed", null, "PUT or DELETE"));
    }
  }

  /**
   * Drops a held state or a reservation and reports that to the audit.
   *
   * @param used whether a writer has fetched the state, or a forward has used the reservation
   */
  private boolean release(Map<String, Integer> tokensById, String id, boolean used) {
    Integer tokens = tokensById.remove(id);
    if (tokens != null) {
      usedMemoryTokens -= tokens;
      traffic.freed(loop.now(), spec.id, id, used);
    }
    return tokens != null;
  }

  private double availableMemoryTokens() {
    return Math.max(1, spec.memoryTokens * (1 - faults.memoryTakenShare));
  }

  /** Returns the load metrics in the Prometheus text format, delayed or corrupted according to {@link #faults}. */
  private String metrics() {
    reports.add(new MetricsReport(loop.now(), """
        # TYPE vllm:num_requests_running gauge
        vllm:num_requests_running{model_name="standin"} %d
        # TYPE vllm:num_requests_waiting gauge
        vllm:num_requests_waiting{model_name="standin"} %d
        # TYPE vllm:kv_cache_usage_perc gauge
        vllm:kv_cache_usage_perc{model_name="standin"} %.4f
        """.formatted(running.size(), waiting.size(), (double) usedMemoryTokens / availableMemoryTokens())));
    if (reports.size() > MAX_STORED_REPORTS) {
      reports.poll();
    }
    String report = reports.peekLast().text;
    if (!faults.reportDelay.isZero()) {
      Duration reportTime = loop.now().minus(faults.reportDelay);
      for (MetricsReport r : reports) {
        report = r.at.compareTo(reportTime) <= 0 ? r.text : report;
      }
      report = reports.peek().at.compareTo(reportTime) > 0 ? reports.peek().text : report;
    }
    return switch (faults.reportFault) {
      case 1 -> "";
      case 2 -> report.replaceAll(" [0-9.]+\\n", " NaN\n");
      case 3 -> report.replaceAll(" [0-9.]+\\n", " -9e99\n");
      default -> report;
    };
  }

  /** Handles a read or a write: queues it, unless a fault or a full queue prevents that. */
  private void handleChat(Exchange exchange, ChatRequest chat, boolean unreachable) {
    JsonNode kv = chat.body().path("kv_transfer_params");
    boolean reads = kv.path("do_remote_decode").asBoolean();
    StringBuilder text = new StringBuilder();
    chat.body().get("messages").forEach(m -> text.append(m.path("content").asText("")));
    Job job = new Job(exchange, chat, text.toString(), reads, kv.path("do_remote_prefill").asBoolean() ? kv : null);
    traffic.forward(loop.now(), spec.id, String.valueOf(exchange.request().header("x-gapproxy-gateway")), job.req, job.id, reads);
    exchange.onDisconnect(() -> endJob(job));
    checkColdOverload();
    if (overloaded) {
      endJob(job);
      exchange.terminate();
    } else if (unreachable) {
      return;                                                 // the call stays open until the gateway gives up
    } else if (random.nextDouble() < faults.failShare) {
      endJob(job);
      respondError(exchange, new ApiError(500, "server_error", "standin_fault", null, "a scripted fault"));
    } else if (faults.rejectsAll || running.size() >= spec.maxRunning && waiting.size() >= spec.maxWaiting) {
      endJob(job);
      respondError(exchange, new ApiError(429, "rate_limit_error", "queue_full", null, "the queue is full"));
    } else {
      waiting.add(job);
      startWaitingJobs();
    }
  }

  /** Crashes a cold engine that receives more forwards than it can process; it stays down until it is started again. */
  private void checkColdOverload() {
    if (upSince == null || loop.now().minus(startedAt).compareTo(spec.warmUpTime) >= 0) {
      return;
    }
    arrivals.add(loop.now());
    while (arrivals.peek().compareTo(loop.now().minus(spec.overloadWindow)) < 0) {
      arrivals.poll();
    }
    double maxArrivals = 2 + spec.overloadMultiple * capacityShare() * spec.reqsPerSecond * spec.overloadWindow.toNanos() / 1e9;
    if (arrivals.size() > maxArrivals) {
      overloaded = true;
      traffic.tipped(loop.now(), spec.id, spec.overloadWindow, arrivals.size() + " reqs within " + spec.overloadWindow.toMillis() + " ms, "
          + loop.now().minus(startedAt).toMillis() + " ms after its start");
      loop.execute(this::kill);
    }
  }

  /** Starts waiting jobs in order while a slot and memory are free; a job alone on the engine always starts. */
  private void startWaitingJobs() {
    while (!waiting.isEmpty() && running.size() < spec.maxRunning) {
      Job job = waiting.peek();
      int neededTokens = job.promptTokens + (job.isRead ? 0 : Math.min(job.answerTokens, 200));
      if (usedMemoryTokens + neededTokens > availableMemoryTokens() && !running.isEmpty()) {
        return;
      }
      waiting.poll();
      job.memoryTokens = neededTokens;
      usedMemoryTokens += neededTokens;
      running.put(job, true);
      startJob(job);
    }
  }

  /** Fetches the state that the job refers to, or processes the prompt; then completes the read or begins the answer. */
  private void startJob(Job job) {
    for (long p : job.prefixHashes) {
      job.cachedTokens = prefixCache.containsKey(p) ? job.prefixTokens.get(p) : job.cachedTokens;
    }
    double workSeconds;
    if (job.transferParams != null) {
      Engine source = peers.get(job.transferParams.path("remote_engine_id").asLong(-1));
      String stateId = job.transferParams.path("remote_request_id").asText();
      if (source == null || faults.cannotFetchStates || !source.heldStates.containsKey(stateId)) {
        endJob(job);
        respondError(job.exchange, new ApiError(410, "invalid_request_error", "state_gone", null, "the state is gone"));
        return;
      }
      source.release(source.heldStates, stateId, true);
      job.cachedTokens = 0;
      workSeconds = job.promptTokens * faults.transferSlowdownFactor / TRANSFER_TOKENS_PER_SECOND;
    } else {
      workSeconds = (job.promptTokens - job.cachedTokens) / spec.readTokensPerSecond;
      promptTokensRead += job.promptTokens - job.cachedTokens;
    }
    job.timer = loop.after(scaledDuration(workSeconds), () -> {
      job.prefixHashes.forEach(p -> prefixCache.put(p, 1));
      if (job.isRead) {
        completeRead(job);
      } else {
        traffic.ran(loop.now(), spec.id, job.req, job.id, job.idempotencyKey);
        writeToken(job);
      }
    });
  }

  /** Ends a read: holds its state and answers with the parameters by which a writer fetches it. */
  private void completeRead(Job job) {
    if (job.ended) {
      return;
    }
    if (random.nextDouble() < faults.resetShare) {
      endJob(job);
      job.exchange.terminate();
      return;
    }
    usedMemoryTokens -= job.memoryTokens;
    job.memoryTokens = 0;
    heldStates.put(job.id, job.promptTokens);
    usedMemoryTokens += job.promptTokens;
    traffic.holds(loop.now(), spec.id, job.req, job.id);
    loop.after(HELD_STATE_TIMEOUT, () -> release(heldStates, job.id, false));
    if (faults.dropsAnswers) {
      return;
    }
    ObjectNode all = JsonNodeFactory.instance.objectNode().put("id", job.id).put("object", "chat.completion")
        .put("created", loop.wallClock().getEpochSecond()).put("model", "standin");
    all.putArray("choices").addObject().put("index", 0).put("finish_reason", "length").putObject("message")
        .put("role", "assistant").put("content", "w0");
    addUsage(all, job, 1);
    all.putObject("kv_transfer_params").put("do_remote_prefill", true).put("do_remote_decode", false)
        .put("remote_engine_id", Long.toString(spec.id)).put("remote_request_id", job.id)
        .put("remote_host", address.getHostString()).put("remote_port", address.getPort()).putArray("remote_block_ids");
    endJob(job);
    job.exchange.respond(200, Map.of("content-type", "application/json"), all.toString().getBytes(StandardCharsets.UTF_8));
  }

  private static void addUsage(ObjectNode all, Job job, int answer) {
    all.putObject("usage").put("prompt_tokens", job.promptTokens).put("completion_tokens", answer)
        .put("total_tokens", job.promptTokens + answer).putObject("prompt_tokens_details").put("cached_tokens", job.cachedTokens);
  }

  private ObjectNode newChunk(Job job) {
    return JsonNodeFactory.instance.objectNode().put("id", "chatcmpl-" + job.id).put("object", "chat.completion.chunk")
        .put("created", loop.wallClock().getEpochSecond()).put("model", "standin");
  }

  /** Writes the next token of the answer, and the end of the stream after the last one. */
  private void writeToken(Job job) {
    if (job.ended) {
      return;
    }
    if (!faults.dropsAnswers) {
      if (!job.exchange.hasBegun()) {
        job.exchange.begin(200, Map.of("content-type", "text/event-stream"));
        ObjectNode c = newChunk(job);
        ObjectNode choice = c.putArray("choices").addObject().put("index", 0).putNull("finish_reason");
        choice.putObject("delta").put("role", "assistant").put("content", "");
        job.exchange.write("data: " + c + "\n\n");
      }
      ObjectNode c = newChunk(job);
      c.putArray("choices").addObject().put("index", 0).putNull("finish_reason").putObject("delta")
          .put("content", (job.writtenTokens == 0 ? "w" : " w") + job.writtenTokens);
      job.exchange.write("data: " + c + "\n\n");
      if (random.nextDouble() < faults.resetShare / job.answerTokens) {
        endJob(job);
        job.exchange.terminate();
        return;
      }
    }
    job.writtenTokens++;
    answerTokensWritten++;
    if (job.writtenTokens < job.answerTokens) {
      if (job.exchange.isWriteQueueFull()) {
        job.exchange.onWritable(() -> job.timer = loop.after(scaledDuration(spec.tokenGap.toNanos() / 1e9), () -> writeToken(job)));
      } else {
        job.timer = loop.after(scaledDuration(spec.tokenGap.toNanos() / 1e9), () -> writeToken(job));
      }
      return;
    }
    if (faults.dropsAnswers) {
      return;
    }
    ObjectNode c = newChunk(job);
    c.putArray("choices").addObject().put("index", 0).put("finish_reason", "stop").putObject("delta");
    ObjectNode u = newChunk(job);
    u.putArray("choices");
    addUsage(u, job, job.writtenTokens);
    endJob(job);
    job.exchange.write("data: " + c + "\n\ndata: " + u + "\n\ndata: [DONE]\n\n");
    if (faults.streamEndDelay.isZero()) {
      job.exchange.end();
    } else {
      loop.after(faults.streamEndDelay, job.exchange::end);
    }
  }

  /** Ends a forward, whatever its outcome: releases its memory and reports the end to the audit. Does nothing if it has ended already. */
  private void endJob(Job job) {
    if (job.ended) {
      return;
    }
    job.ended = true;
    if (job.timer != null) {
      job.timer.cancel();
    }
    usedMemoryTokens -= job.memoryTokens;
    job.memoryTokens = 0;
    waiting.remove(job);
    running.remove(job);
    traffic.ended(loop.now(), spec.id, job.id);
    if (server != null) {
      loop.execute(() -> {
        if (server != null) {
          startWaitingJobs();
        }
      });
    }
  }
}
