package gapproxy.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs one gateway process against peers that make it buffer as many bytes as the protocol permits, or more, next to some regular
 * clients. Records the process's exit, its peak resident memory and how many regular requests were served.
 */
public final class MemoryPressure implements AutoCloseable {
  static final int MAX_BODY_BYTES = 256 << 10;
  private static final int SOCKETS = 512, MORE_SOCKETS = 1024, REGULAR_CLIENTS = 6, REGULAR_BODY_BYTES = 13 << 10, BUDGET_MS = 2000,
      REGULAR_TIMEOUT_MS = 1000;
  private static final int SHORT_PROMPT_TOKENS = 200, BYTES_PER_TOKEN = 4;
  private static final int SMALL_BODY_BYTES = 600, LONG_HEADER_BYTES = 15 << 10, STACK_BYTES = 256 << 10, SMALL_BUFFER_BYTES = 8 << 10;
  private static final int SLOW_WRITE_BYTES = 1500, SLOW_READ_BYTES = 400, MANY_FIELDS = 3000;
  private static final long SLOW_PAUSE_MS = 100;
  private static final long FIRST_NEW_SESSION_KEY = 0x10000;  // above the keys of regular clients
  private static final long STALLED_NANOS = 1_000_000_000;
  private static final long POLL_INTERVAL_MS = 20, REGULAR_PAUSE_MS = 20, WARM_UP_MS = 500, IDLE_TIMEOUT_MS = 9000;
  static final SoakPlan.Settings SETTINGS = new SoakPlan.Settings(Duration.ofMillis(500), Duration.ofMillis(600), false, false,
      Duration.ofSeconds(15), Duration.ofMillis(BUDGET_MS));

  /** What each pressure client does. */
  enum Client {
    /** Sends requests one after the other and reads each answer. */
    READS,
    /** Sends one request and reads nothing of the answer. */
    READS_NOTHING,
    /** Pipelines requests without waiting, and reads the answers. */
    ASKS_AHEAD,
    /** Pipelines requests without waiting, and reads no answer. */
    ASKS_AHEAD_READS_NOTHING,
    /** Sends one request and keeps the connection open. */
    ASKS_ONCE,
    /** Sends a request without its last byte. */
    STOPS_IN_BODY,
    /** Sends a header that never ends. */
    STOPS_IN_HEAD,
    /** Sends requests one after the other and closes each connection at once. */
    LEAVES,
    /** Sends a request slowly. */
    WRITES_SLOWLY,
    /** Sends a head of very many short fields and does not end it. */
    SENDS_MANY_FIELDS,
    /** Sends one request and reads the answer slowly. */
    READS_SLOWLY,
    /** One after the other, does what a client of each of the kinds in {@link #MIXED_KINDS} does. */
    MIXED,
    /** Sends halves of requests one after the other and closes each connection at once. */
    LEAVES_HALFWAY,
    /** Sends requests one after the other, each with a new session key. */
    NEW_SESSION_EACH;

    private static final List<Client> MIXED_KINDS = List.of(WRITES_SLOWLY, STOPS_IN_BODY, SENDS_MANY_FIELDS, READS_SLOWLY, LEAVES);
    private final boolean readsNothing = name().endsWith("READS_NOTHING") || name().equals("READS_SLOWLY") || name().equals("MIXED");
  }

  /**
   * The pressure that is put on the gateway: number and kind of clients, the size of their request bodies in bytes, and what the
   * model servers answer.
   */
  public enum Scenario {
    LONG_BODIES(60, Client.READS, MAX_BODY_BYTES, PressurePeers.Behaviour.ANSWER),
    LONG_BODIES_ON_ALL_CONNECTIONS(220, Client.READS, MAX_BODY_BYTES, PressurePeers.Behaviour.ANSWER),
    LONG_BODIES_SILENT_SERVERS(80, Client.READS, MAX_BODY_BYTES, PressurePeers.Behaviour.SILENT),
    BODIES_TOO_LONG(60, Client.READS, MAX_BODY_BYTES + 1, PressurePeers.Behaviour.ANSWER),
    LARGE_EVENTS(5, Client.READS, REGULAR_BODY_BYTES, PressurePeers.Behaviour.LARGE_EVENTS),
    SMALL_EVENTS(6, Client.READS, REGULAR_BODY_BYTES, PressurePeers.Behaviour.SMALL_EVENTS),
    TINY_EVENTS(10, Client.READS, REGULAR_BODY_BYTES, PressurePeers.Behaviour.TINY_EVENTS),
    ANSWERS_NOT_READ(60, Client.READS_NOTHING, REGULAR_BODY_BYTES, PressurePeers.Behaviour.LARGE_EVENTS),
    TINY_EVENTS_NOT_READ(150, Client.READS_NOTHING, REGULAR_BODY_BYTES, PressurePeers.Behaviour.TINY_EVENTS),
    COMMENTS(20, Client.READS, REGULAR_BODY_BYTES, PressurePeers.Behaviour.COMMENTS),
    ASKED_AHEAD(20, Client.ASKS_AHEAD, SMALL_BODY_BYTES, PressurePeers.Behaviour.ANSWER),
    LONG_BODIES_AHEAD(30, Client.ASKS_AHEAD, MAX_BODY_BYTES, PressurePeers.Behaviour.ANSWER),
    ASKED_AHEAD_NOT_READ(60, Client.ASKS_AHEAD_READS_NOTHING, SMALL_BODY_BYTES, PressurePeers.Behaviour.ANSWER),
    KEPT_CONNECTIONS(150, Client.ASKS_ONCE, MAX_BODY_BYTES, PressurePeers.Behaviour.ANSWER),
    UNFINISHED_BODIES(200, Client.STOPS_IN_BODY, MAX_BODY_BYTES, PressurePeers.Behaviour.ANSWER),
    UNFINISHED_HEADS(200, Client.STOPS_IN_HEAD, LONG_HEADER_BYTES, PressurePeers.Behaviour.ANSWER),
    UNFINISHED_EVENTS(200, Client.READS, SMALL_BODY_BYTES, PressurePeers.Behaviour.UNFINISHED_EVENT),
    UNFINISHED_SECOND_EVENTS(200, Client.READS, SMALL_BODY_BYTES, PressurePeers.Behaviour.UNFINISHED_SECOND_EVENT),
    LEFT_AT_ONCE(60, Client.LEAVES, MAX_BODY_BYTES, PressurePeers.Behaviour.SILENT),
    LEFT_AT_ONCE_BY_FOUR(4, Client.LEAVES, MAX_BODY_BYTES, PressurePeers.Behaviour.SILENT),
    LEFT_AT_ONCE_BY_TWELVE(12, Client.LEAVES, MAX_BODY_BYTES, PressurePeers.Behaviour.SILENT),
    LEFT_WHILE_ANSWERED(20, Client.LEAVES, MAX_BODY_BYTES, PressurePeers.Behaviour.LARGE_EVENTS),
    LEFT_WHILE_DECLINED(20, Client.LEAVES, MAX_BODY_BYTES, PressurePeers.Behaviour.DECLINE),
    LEFT_HALFWAY(20, Client.LEAVES_HALFWAY, MAX_BODY_BYTES, PressurePeers.Behaviour.SILENT),
    SLOW_BODIES(230, Client.WRITES_SLOWLY, MAX_BODY_BYTES, PressurePeers.Behaviour.ANSWER),
    MANY_FIELDS(230, Client.SENDS_MANY_FIELDS, MAX_BODY_BYTES, PressurePeers.Behaviour.ANSWER),
    /** With fewer clients than requests may be open, 212 with 512 descriptors: more than that would take the place of regular ones. */
    ANSWERS_READ_SLOWLY(200, Client.READS_SLOWLY, REGULAR_BODY_BYTES, PressurePeers.Behaviour.LARGE_EVENTS),
    EVERYTHING_AT_ONCE(200, Client.MIXED, MAX_BODY_BYTES, PressurePeers.Behaviour.LARGE_EVENTS),
    SLOW_BODIES_BY_HUNDREDS(340, Client.WRITES_SLOWLY, MAX_BODY_BYTES, PressurePeers.Behaviour.ANSWER, MORE_SOCKETS),
    UNFINISHED_BODIES_BY_HUNDREDS(340, Client.STOPS_IN_BODY, MAX_BODY_BYTES, PressurePeers.Behaviour.ANSWER, MORE_SOCKETS),
    MANY_FIELDS_BY_HUNDREDS(340, Client.SENDS_MANY_FIELDS, MAX_BODY_BYTES, PressurePeers.Behaviour.ANSWER, MORE_SOCKETS),
    ANSWERS_READ_SLOWLY_BY_HUNDREDS(340, Client.READS_SLOWLY, REGULAR_BODY_BYTES, PressurePeers.Behaviour.LARGE_EVENTS, MORE_SOCKETS),
    EVERYTHING_AT_ONCE_BY_HUNDREDS(340, Client.MIXED, MAX_BODY_BYTES, PressurePeers.Behaviour.LARGE_EVENTS, MORE_SOCKETS),
    NEW_SESSIONS(60, Client.NEW_SESSION_EACH, SMALL_BODY_BYTES, PressurePeers.Behaviour.ANSWER),
    /** Without pressure clients: discovery sends large updates that change nothing. */
    USELESS_LISTS(0, Client.READS, 0, PressurePeers.Behaviour.ANSWER);

    private final int clients, bodyBytes, sockets;
    private final Client client;
    private final PressurePeers.Behaviour servers;

    Scenario(int clients, Client client, int body, PressurePeers.Behaviour servers) {
      this(clients, client, body, servers, SOCKETS);
    }

    Scenario(int clients, Client client, int body, PressurePeers.Behaviour servers, int sockets) {
      this.sockets = sockets;
      this.clients = clients;
      this.client = client;
      this.bodyBytes = body;
      this.servers = servers;
    }

    /** File descriptors that the gateway may use. */
    int sockets() {
      return sockets;
    }

    /** Whether the servers send endless streams to clients that read them. */
    boolean endlessStreams() {
      return client == Client.READS && servers.name().endsWith("_EVENTS") && !servers.name().startsWith("UNFINISHED");
    }
  }

  /**
   * Result of a run.
   *
   * @param exitStatus of the process if it ended by itself, or null
   * @param exitedAfterMs time from the start of the run to the process's end, or -1
   * @param peakResidentMb highest resident memory
   * @param limitMb configured limit of resident memory
   * @param regularRequests requests of the regular clients
   * @param regularServed those of them that got a complete answer
   * @param lost requests that were written completely and whose connection ended without an answer
   * @param stalled endless streams that delivered nothing in the last second
   * @param statuses number of answers to pressure clients by status line, and of incomplete answers to regular clients
   * @param chargedAtRest bytes that the process still counts for peers after they have gone, or -1
   * @param overCapacity bytes by which the memory budget was exceeded at most; less than 0 if it never was
   * @param samples how often the live bytes were compared with the charged ones
   * @param uncharged most live bytes that were not charged, in any of the samples
   */
  public record Outcome(Scenario scenario, Integer exitStatus, long exitedAfterMs, long peakResidentMb, long limitMb, int regularRequests,
      int regularServed, int lost, int stalled, Map<String, Integer> statuses, long chargedAtRest,
      long overCapacity, int samples, long uncharged) {
    /**
     * Share of the regular requests that were served. Always 1 in scenarios with unfinished events: there servers fall silent, so
     * the gateway's routing decisions may push regular requests back.
     */
    public double regularServedShare() {
      boolean judged = !scenario.name().startsWith("UNFINISHED_") || scenario.servers == PressurePeers.Behaviour.ANSWER;
      return !judged ? 1 : regularRequests == 0 ? 0 : (double) regularServed / regularRequests;
    }
  }

  private final Scenario scenario;
  private final Duration length;
  private final int limitMb;
  private final PressurePeers peers;
  private final GatewayProcess gateway;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
  private final AtomicInteger regularRequests = new AtomicInteger(), regularServed = new AtomicInteger(), lost = new AtomicInteger();
  private final AtomicLong ids = new AtomicLong(), connections = new AtomicLong();
  // time of the last chunk by connection, for streams that are being read
  private final Map<Socket, Long> lastEvents = new ConcurrentHashMap<>();
  private volatile boolean ended;
  private LiveMemory.Probe probe;
  private int samples;
  private long ownBytes, uncharged;

  /**
   * Prepares the peers and the gateway's configuration.
   *
   * @param row the scenario to run
   * @param length time for which it runs
   * @param heapMb heap size of the process
   * @param limitMb resident memory that the process may use
   * @param dir for the gateway's configuration and log
   */
  public MemoryPressure(Scenario row, Duration length, int heapMb, int limitMb, Path dir) throws IOException {
    this.scenario = row;
    this.length = length;
    this.limitMb = limitMb;
    peers = new PressurePeers(row == Scenario.USELESS_LISTS);
    gateway = new GatewayProcess(row.name(), dir, heapMb);
    gateway.configure(new GatewayConfig(row.name(), gateway.port, peers.discoveryPort(), 1, limitMb, row.sockets, peers.hosts(), 1, 0, SETTINGS,
        Duration.ofSeconds(2), "non_idempotent").json());
  }

  /**
   * Makes the run compare the live bytes of the process with those that it has charged, again and again. Each comparison collects the
   * garbage of the process, so the run tells less of its peak of resident memory.
   *
   * @param source tells both as of one moment
   */
  public MemoryPressure sampleLiveBytes(LiveMemory.Probe source) {
    probe = source;
    return this;
  }

  /** Runs the scenario and returns its result. */
  public Outcome run() throws IOException, InterruptedException {
    gateway.start();
    if (!gateway.awaitReady()) {
      throw new IOException("the gateway did not become ready; see its log " + gateway.log());
    }
    ownBytes = probe == null ? 0 : probe.sample(gateway.pid()).map(LiveMemory::uncharged).orElse(0L);
    long begun = System.nanoTime();
    for (int i = 0; i < REGULAR_CLIENTS; i++) {
      startDaemon(this::runRegularClient);
    }
    Thread.sleep(WARM_UP_MS);
    for (int i = 0; i < scenario.clients; i++) {
      startPressureClient(this::runPressureClient);
    }
    long endedAfter = -1;
    long peakKb = 0;
    while (endedAfter < 0 && System.nanoTime() - begun < length.toNanos()) {
      Thread.sleep(POLL_INTERVAL_MS);
      if (probe != null) {
        sampleUnchargedBytes();
      }
      peakKb = Math.max(peakKb, gateway.peakResidentKb());
      if (!gateway.alive()) {
        endedAfter = (System.nanoTime() - begun) / 1_000_000;
      }
    }
    long end = System.nanoTime();
    int stalled = (int) lastEvents.values().stream().filter(at -> end - at > STALLED_NANOS).count();
    ended = true;
    for (Socket s : open) {
      s.close();
    }
    long atRest = endedAfter < 0 ? chargedAtRest() : -1;
    return new Outcome(scenario, endedAfter < 0 ? null : gateway.awaitExit(1000), endedAfter, peakKb >> 10, limitMb,
        regularRequests.get(), regularServed.get(), lost.get(), stalled, Map.copyOf(statuses), atRest,
        endedAfter < 0 ? gateway.overCapacity() : -1, samples, uncharged);
  }

  private void sampleUnchargedBytes() throws IOException, InterruptedException {
    Optional<LiveMemory> memory = probe.sample(gateway.pid());
    if (memory.isPresent()) {
      samples++;
      uncharged = Math.max(uncharged, memory.get().uncharged() - ownBytes);
    }
  }

  /**
   * Bytes still counted for peers that have gone. Waits first until time budgets are over and the system's socket buffers have
   * drained.
   */
  private long chargedAtRest() throws IOException, InterruptedException {
    Thread.sleep(BUDGET_MS);
    return gateway.chargedAtRest(IDLE_TIMEOUT_MS);
  }

  /** What a client does on one connection. */
  private interface ConnectionTask {
    void run(Socket s) throws IOException;
  }

  private void startPressureClient(ConnectionTask task) {
    startDaemon(() -> {
      while (!ended) {
        try (Socket s = new Socket()) {
          open.add(s);
          if (scenario.client.readsNothing) {
            // with the default size, the system's buffers take megabytes before the gateway sees backpressure
            s.setReceiveBufferSize(SMALL_BUFFER_BYTES);
          }
          s.connect(new InetSocketAddress("127.0.0.1", gateway.port), BUDGET_MS);
          task.run(s);
          open.remove(s);
          lastEvents.remove(s);
        } catch (IOException e) {
          pause(POLL_INTERVAL_MS);  // try again on a new connection
        }
      }
    });
  }

  private static void startDaemon(Runnable work) {
    Thread t = new Thread(null, work, "pressure-client", STACK_BYTES);
    t.setDaemon(true);
    t.start();
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private byte[] request(int body, PressurePeers.Behaviour servers) {
    return request(body, servers, ids.get() % 40, SHORT_PROMPT_TOKENS);
  }

  /** A request of a client that leaves: its prompt is as long as its body tells, so that it is read at a reader. */
  private byte[] longPromptRequest() {
    return request(scenario.bodyBytes, scenario.servers, ids.get() % 40, scenario.bodyBytes / BYTES_PER_TOKEN);
  }

  private byte[] request(int body, PressurePeers.Behaviour servers, long key, int promptTokens) {
    String head = String.format("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %016x\r\nReq-Kind: talk\r\n"
        + "Req-Owner: town\r\nReq-Key: %x\r\nReq-Deadline-Ms: %d\r\n"
        + "Req-Extra: prefix=1,prompt_len=%d,prefix_len=100,max_out=80\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
        ids.incrementAndGet(), key, BUDGET_MS, promptTokens, PressurePeers.BEHAVIOUR, servers, body);
    return PressurePeers.ascii(head + "x".repeat(body));
  }

  /**
   * Sends regular requests one after the other. A request that fails on a reused connection is retried once on a new one, since the
   * gateway may have closed the idle connection while the request was on its way.
   */
  private void runRegularClient() {
    Connection kept = null;
    while (!ended) {
      boolean isNew = kept == null;
      kept = isNew ? connect() : kept;
      Reply reply = kept == null ? Reply.NONE : sendRegularRequest(kept);
      if (reply == Reply.NONE) {
        kept = close(kept);
        if (!isNew && !ended) {
          kept = connect();
          reply = kept == null ? Reply.NONE : sendRegularRequest(kept);
        }
      }
      if (!ended) {
        regularRequests.incrementAndGet();
        regularServed.addAndGet(reply == Reply.SERVED ? 1 : 0);
      }
      pause(REGULAR_PAUSE_MS);
    }
    close(kept);
  }

  /** What a regular client got for a request: a complete stream, any other answer, or none. */
  private enum Reply { SERVED, REFUSED, NONE }

  /** A keep-alive connection of a regular client. */
  private record Connection(Socket socket, InputStream in) {}

  private Connection connect() {
    Socket s = new Socket();
    try {
      open.add(s);
      s.connect(new InetSocketAddress("127.0.0.1", gateway.port), REGULAR_TIMEOUT_MS);
      s.setSoTimeout(REGULAR_TIMEOUT_MS);
      return new Connection(s, new BufferedInputStream(s.getInputStream()));
    } catch (IOException e) {
      open.remove(s);
      return null;
    }
  }

  private Connection close(Connection c) {
    if (c != null) {
      try {
        c.socket.close();
      } catch (IOException e) {
        return null;  // it is closed already
      } finally {
        open.remove(c.socket);
      }
    }
    return null;
  }

  private Reply sendRegularRequest(Connection c) {
    try {
      c.socket.getOutputStream().write(request(REGULAR_BODY_BYTES, PressurePeers.Behaviour.ANSWER));
      PressurePeers.Head h = PressurePeers.readHead(c.in);
      if (h == null) {
        return Reply.NONE;
      }
      boolean whole = PressurePeers.readBodyTail(c.in, h).endsWith("data: [DONE]\n\n");
      if (!whole) {
        statuses.merge("usual " + h.firstLine(), 1, Integer::sum);
      }
      return whole ? Reply.SERVED : Reply.REFUSED;
    } catch (IOException e) {
      return Reply.NONE;
    }
  }

  private void runPressureClient(Socket s) throws IOException {
    OutputStream out = s.getOutputStream();
    Client client = scenario.client == Client.MIXED
        ? Client.MIXED_KINDS.get((int) (connections.getAndIncrement() % Client.MIXED_KINDS.size())) : scenario.client;
    switch (client) {
      case READS, NEW_SESSION_EACH -> readAnswers(s, false);
      case ASKS_AHEAD -> {
        PressurePeers.startHandler("pressure-reader", s, of -> readAnswers(of, true));
        pipelineRequests(out);
      }
      case ASKS_AHEAD_READS_NOTHING -> pipelineRequests(out);
      case LEAVES -> {
        out.write(longPromptRequest());
        pause(POLL_INTERVAL_MS);
      }
      case LEAVES_HALFWAY -> {
        out.write(longPromptRequest(), 0, scenario.bodyBytes / 2);
        pause(POLL_INTERVAL_MS);
      }
      case WRITES_SLOWLY -> {
        byte[] all = request(scenario.bodyBytes, scenario.servers);
        for (int from = 0; from < all.length && !ended; from += SLOW_WRITE_BYTES) {
          out.write(all, from, Math.min(SLOW_WRITE_BYTES, all.length - from));
          pause(SLOW_PAUSE_MS);
        }
        s.getInputStream().read();
      }
      case SENDS_MANY_FIELDS -> {
        out.write(PressurePeers.ascii("POST /v1/chat/completions HTTP/1.1\r\n" + "a:b\r\n".repeat(MANY_FIELDS)));
        s.getInputStream().read();
      }
      case READS_SLOWLY -> {
        out.write(request(scenario.bodyBytes, scenario.servers));
        byte[] piece = new byte[SLOW_READ_BYTES];
        while (!ended && s.getInputStream().read(piece) >= 0) {
          pause(SLOW_PAUSE_MS);
        }
      }
      case STOPS_IN_HEAD -> {
        out.write(PressurePeers.ascii("POST /v1/chat/completions HTTP/1.1\r\nX: " + "h".repeat(scenario.bodyBytes)));
        s.getInputStream().read();
      }
      case STOPS_IN_BODY -> {
        byte[] all = request(scenario.bodyBytes, scenario.servers);
        out.write(all, 0, all.length - 1);
        s.getInputStream().read();
      }
      case ASKS_ONCE -> {
        out.write(request(scenario.bodyBytes, scenario.servers));
        s.getInputStream().transferTo(OutputStream.nullOutputStream());
      }
      default -> {
        out.write(request(scenario.bodyBytes, scenario.servers));
        pause(length.toMillis());
      }
    }
  }

  private void pipelineRequests(OutputStream out) throws IOException {
    while (!ended) {
      out.write(request(scenario.bodyBytes, scenario.servers));
    }
  }

  private byte[] nextRequest() {
    return scenario.client == Client.NEW_SESSION_EACH
        ? request(scenario.bodyBytes, scenario.servers, FIRST_NEW_SESSION_KEY + ids.get(), SHORT_PROMPT_TOKENS)
        : request(scenario.bodyBytes, scenario.servers);
  }

  private void readAnswers(Socket s, boolean pipelined) throws IOException {
    InputStream in = new BufferedInputStream(s.getInputStream());
    while (!ended) {
      if (!pipelined) {
        s.getOutputStream().write(nextRequest());
      }
      PressurePeers.Head h = PressurePeers.readHead(in);
      if (h == null) {
        lost.addAndGet(ended || pipelined ? 0 : 1);
        return;
      }
      statuses.merge(h.firstLine(), 1, Integer::sum);
      PressurePeers.readBodyTail(in, h, () -> lastEvents.put(s, System.nanoTime()));
      lastEvents.remove(s);
      if ("close".equals(h.header("connection"))) {
        return;
      }
    }
  }

  @Override
  public void close() throws IOException {
    ended = true;
    gateway.kill();
    gateway.releasePort();
    for (Socket s : open) {
      s.close();
    }
    peers.close();
  }
}
