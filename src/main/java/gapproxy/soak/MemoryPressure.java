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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One gateway process under peers that make it hold bytes, as many as the protocol permits and beyond, beside some usual clients. Its end,
 * its resident memory and what the usual clients got are watched all the time.
 */
public final class MemoryPressure implements AutoCloseable {
  private static final int LONGEST_BODY = 256 << 10, SOCKETS = 512, USUAL_CLIENTS = 6, USUAL_BODY = 13 << 10, BUDGET_MS = 2000, USUAL_WITHIN_MS = 1000;
  private static final int SMALL_REQUEST = 600, LONG_HEAD = 15 << 10, STACK = 256 << 10, SMALL_BUFFER = 8 << 10;
  private static final long FIRST_NEW_SESSION = 0x10000;     // past those of usual clients
  private static final long STALLED_NANOS = 1_000_000_000;
  private static final long LOOK_MS = 20, USUAL_PAUSE_MS = 20, WARM_MS = 500, REST_WITHIN_MS = 9000;
  static final SoakPlan.Settings SETTINGS = new SoakPlan.Settings(Duration.ofMillis(500), Duration.ofMillis(600), false, false,
      Duration.ofSeconds(15), Duration.ofMillis(BUDGET_MS));

  /** What clients do. */
  enum Client {
    /** One request after the other, each answer read. */
    READS,
    /** One request; nothing of the answer is read. */
    READS_NOTHING,
    /** Requests one behind the other without waiting; answers are read. */
    ASKS_AHEAD,
    /** The same, and no answer is read. */
    ASKS_AHEAD_READS_NOTHING,
    /** One request, and the connection is kept. */
    ASKS_ONCE,
    /** All of a request but its last byte. */
    STOPS_IN_BODY,
    /** A head that has no end. */
    STOPS_IN_HEAD,
    /** One request after the other, each left at once. */
    LEAVES,
    /** One request after the other, each of another session. */
    NEW_SESSION_EACH;

    private final boolean readsNothing = name().endsWith("READS_NOTHING");
  }

  /**
   * What is played beside the usual clients.
   *
   * @param body bytes of each request's body
   */
  public enum Row {
    LONG_BODIES(60, Client.READS, LONGEST_BODY, PressurePeers.Behaviour.ANSWER),
    LONG_BODIES_ON_ALL_CONNECTIONS(220, Client.READS, LONGEST_BODY, PressurePeers.Behaviour.ANSWER),
    LONG_BODIES_SILENT_SERVERS(80, Client.READS, LONGEST_BODY, PressurePeers.Behaviour.SILENT),
    BODIES_TOO_LONG(60, Client.READS, LONGEST_BODY + 1, PressurePeers.Behaviour.ANSWER),
    LARGE_EVENTS(5, Client.READS, USUAL_BODY, PressurePeers.Behaviour.LARGE_EVENTS),
    SMALL_EVENTS(6, Client.READS, USUAL_BODY, PressurePeers.Behaviour.SMALL_EVENTS),
    TINY_EVENTS(10, Client.READS, USUAL_BODY, PressurePeers.Behaviour.TINY_EVENTS),
    ANSWERS_NOT_READ(60, Client.READS_NOTHING, USUAL_BODY, PressurePeers.Behaviour.LARGE_EVENTS),
    TINY_EVENTS_NOT_READ(150, Client.READS_NOTHING, USUAL_BODY, PressurePeers.Behaviour.TINY_EVENTS),
    COMMENTS(20, Client.READS, USUAL_BODY, PressurePeers.Behaviour.COMMENTS),
    ASKED_AHEAD(20, Client.ASKS_AHEAD, SMALL_REQUEST, PressurePeers.Behaviour.ANSWER),
    LONG_BODIES_AHEAD(30, Client.ASKS_AHEAD, LONGEST_BODY, PressurePeers.Behaviour.ANSWER),
    ASKED_AHEAD_NOT_READ(60, Client.ASKS_AHEAD_READS_NOTHING, SMALL_REQUEST, PressurePeers.Behaviour.ANSWER),
    KEPT_CONNECTIONS(150, Client.ASKS_ONCE, LONGEST_BODY, PressurePeers.Behaviour.ANSWER),
    UNFINISHED_BODIES(200, Client.STOPS_IN_BODY, LONGEST_BODY, PressurePeers.Behaviour.ANSWER),
    UNFINISHED_HEADS(200, Client.STOPS_IN_HEAD, LONG_HEAD, PressurePeers.Behaviour.ANSWER),
    UNFINISHED_EVENTS(200, Client.READS, SMALL_REQUEST, PressurePeers.Behaviour.UNFINISHED_EVENT),
    UNFINISHED_SECOND_EVENTS(200, Client.READS, SMALL_REQUEST, PressurePeers.Behaviour.UNFINISHED_SECOND_EVENT),
    LEFT_AT_ONCE(60, Client.LEAVES, LONGEST_BODY, PressurePeers.Behaviour.SILENT),
    NEW_SESSIONS(60, Client.NEW_SESSION_EACH, SMALL_REQUEST, PressurePeers.Behaviour.ANSWER),
    USELESS_LISTS(0, Client.READS, 0, PressurePeers.Behaviour.ANSWER);

    private final int clients, body;
    private final Client client;
    private final PressurePeers.Behaviour servers;

    Row(int clients, Client client, int body, PressurePeers.Behaviour servers) {
      this.clients = clients;
      this.client = client;
      this.body = body;
      this.servers = servers;
    }

    /** Whether its servers send without end to clients that read. */
    boolean endlessStreams() {
      return client == Client.READS && servers.name().endsWith("_EVENTS") && !servers.name().startsWith("UNFINISHED");
    }
  }

  /**
   * What a play showed.
   *
   * @param status of the process if it ended by itself, or null
   * @param endedAfterMs of the play's begin, or -1
   * @param peakResidentMb highest resident memory
   * @param limitMb what it was told as its limit
   * @param usualAsked requests of the usual clients that were to be answered
   * @param usualServed those that were
   * @param lost requests that were written whole and whose connection ended with no answer
   * @param stalled streams without end of which their clients got nothing in the last second
   * @param statuses what the peers got, with counts
   * @param chargedAtRest bytes that the process says it still holds for peers that are gone, or -1
   * @param overCapacity by how much its account was ever over its capacity; less than 0 if it was not
   */
  public record Outcome(Row row, Integer status, long endedAfterMs, long peakResidentMb, long limitMb, int usualAsked, int usualServed, int lost,
      int stalled, Map<String, Integer> statuses, long chargedAtRest,
      long overCapacity) {
    /** The usual clients' share that was served; all of it where servers that are silent let the decisions push them back. */
    public double usualShare() {
      boolean judged = !row.name().startsWith("UNFINISHED_") || row.servers == PressurePeers.Behaviour.ANSWER;
      return !judged ? 1 : usualAsked == 0 ? 0 : (double) usualServed / usualAsked;
    }
  }

  private final Row row;
  private final Duration length;
  private final int limitMb;
  private final PressurePeers peers;
  private final GatewayProcess gateway;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
  private final AtomicInteger usualAsked = new AtomicInteger(), usualServed = new AtomicInteger(), lost = new AtomicInteger();
  private final AtomicLong ids = new AtomicLong();
  private final Map<Socket, Long> lastEvents = new ConcurrentHashMap<>(); // by connection of a stream that is read: when something came
  private volatile boolean ended;

  /**
   * @param heapMb of the process
   * @param limitMb resident memory that it is allowed
   */
  public MemoryPressure(Row row, Duration length, int heapMb, int limitMb, Path dir) throws IOException {
    this.row = row;
    this.length = length;
    this.limitMb = limitMb;
    peers = new PressurePeers(row == Row.USELESS_LISTS);
    gateway = new GatewayProcess(row.name(), dir, heapMb);
    gateway.configure(new GatewayConfig(row.name(), gateway.port, peers.discoveryPort(), 1, limitMb, SOCKETS, peers.hosts(), 1, 0, SETTINGS,
        Duration.ofSeconds(2), "non_idempotent").json());
  }

  /** Plays it. */
  public Outcome play() throws IOException, InterruptedException {
    gateway.start();
    if (!gateway.awaitReady()) {
      throw new IOException("the gateway did not become ready, see " + gateway.log());
    }
    long begun = System.nanoTime();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      daemon(this::usual);
    }
    Thread.sleep(WARM_MS);
    for (int i = 0; i < row.clients; i++) {
      client(this::press);
    }
    long endedAfter = -1;
    long peakKb = 0;
    while (endedAfter < 0 && System.nanoTime() - begun < length.toNanos()) {
      Thread.sleep(LOOK_MS);
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
    return new Outcome(row, endedAfter < 0 ? null : gateway.awaitEnd(1000), endedAfter, peakKb >> 10, limitMb,
        usualAsked.get(), usualServed.get(), lost.get(), stalled, Map.copyOf(statuses), atRest, endedAfter < 0 ? gateway.overCapacity() : -1);
  }

  /** What is held for peers that are gone, once budgets and what waits in the system have had their time. */
  private long chargedAtRest() throws IOException, InterruptedException {
    Thread.sleep(BUDGET_MS);
    return gateway.chargedAtRest(REST_WITHIN_MS);
  }

  private interface Behaviour {
    void with(Socket s) throws IOException;
  }

  private void client(Behaviour b) {
    daemon(() -> {
      while (!ended) {
        try (Socket s = new Socket()) {
          open.add(s);
          if (row.client.readsNothing) {
            s.setReceiveBufferSize(SMALL_BUFFER);             // else megabytes pass into the system's buffers first
          }
          s.connect(new InetSocketAddress("127.0.0.1", gateway.port), BUDGET_MS);
          b.with(s);
          open.remove(s);
          lastEvents.remove(s);
        } catch (IOException e) {
          pause(LOOK_MS);                                     // the next connection is another try
        }
      }
    });
  }

  private static void daemon(Runnable work) {
    Thread t = new Thread(null, work, "pressure-client", STACK);
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
    return request(body, servers, ids.get() % 40);
  }

  private byte[] request(int body, PressurePeers.Behaviour servers, long key) {
    String head = String.format("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %016x\r\nReq-Kind: talk\r\nReq-Owner: town\r\n"
        + "Req-Key: %x\r\nReq-Deadline-Ms: %d\r\nReq-Extra: prefix=1,prompt_len=200,prefix_len=100,max_out=80\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
        ids.incrementAndGet(), key, BUDGET_MS, PressurePeers.BEHAVIOUR, servers, body);
    return PressurePeers.ascii(head + "x".repeat(body));
  }

  /** One request after the other; one that may have crossed the end of its connection is asked once more on a new one. */
  private void usual() {
    Connection kept = null;
    while (!ended) {
      boolean isNew = kept == null;
      kept = isNew ? connect() : kept;
      Reply reply = kept == null ? Reply.NONE : askUsual(kept);
      if (reply == Reply.NONE) {
        kept = close(kept);
        if (!isNew && !ended) {
          kept = connect();
          reply = kept == null ? Reply.NONE : askUsual(kept);
        }
      }
      if (!ended) {
        usualAsked.incrementAndGet();
        usualServed.addAndGet(reply == Reply.SERVED ? 1 : 0);
      }
      pause(USUAL_PAUSE_MS);
    }
    close(kept);
  }

  /** What a usual client got. */
  private enum Reply { SERVED, REFUSED, NONE }

  /** A connection of a usual client. */
  private record Connection(Socket socket, InputStream in) {}

  private Connection connect() {
    Socket s = new Socket();
    try {
      open.add(s);
      s.connect(new InetSocketAddress("127.0.0.1", gateway.port), USUAL_WITHIN_MS);
      s.setSoTimeout(USUAL_WITHIN_MS);
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
        return null;                                          // it is gone already
      } finally {
        open.remove(c.socket);
      }
    }
    return null;
  }

  private Reply askUsual(Connection c) {
    try {
      c.socket.getOutputStream().write(request(USUAL_BODY, PressurePeers.Behaviour.ANSWER));
      PressurePeers.Head h = PressurePeers.head(c.in);
      if (h == null) {
        return Reply.NONE;
      }
      boolean whole = PressurePeers.skip(c.in, h).endsWith("data: [DONE]\n\n");
      if (!whole) {
        statuses.merge("usual " + h.firstLine(), 1, Integer::sum);
      }
      return whole ? Reply.SERVED : Reply.REFUSED;
    } catch (IOException e) {
      return Reply.NONE;
    }
  }

  private void press(Socket s) throws IOException {
    OutputStream out = s.getOutputStream();
    switch (row.client) {
      case READS, NEW_SESSION_EACH -> readAnswers(s, false);
      case ASKS_AHEAD -> {
        PressurePeers.converse("pressure-reader", s, of -> readAnswers(of, true));
        askAhead(out);
      }
      case ASKS_AHEAD_READS_NOTHING -> askAhead(out);
      case LEAVES -> {
        out.write(request(row.body, row.servers));
        pause(LOOK_MS);
      }
      case STOPS_IN_HEAD -> {
        out.write(PressurePeers.ascii("POST /v1/chat/completions HTTP/1.1\r\nX: " + "h".repeat(row.body)));
        s.getInputStream().read();
      }
      case STOPS_IN_BODY -> {
        byte[] all = request(row.body, row.servers);
        out.write(all, 0, all.length - 1);
        s.getInputStream().read();
      }
      case ASKS_ONCE -> {
        out.write(request(row.body, row.servers));
        s.getInputStream().transferTo(OutputStream.nullOutputStream());
      }
      default -> {
        out.write(request(row.body, row.servers));
        pause(length.toMillis());
      }
    }
  }

  private void askAhead(OutputStream out) throws IOException {
    while (!ended) {
      out.write(request(row.body, row.servers));
    }
  }

  private byte[] nextRequest() {
    return row.client == Client.NEW_SESSION_EACH ? request(row.body, row.servers, FIRST_NEW_SESSION + ids.get()) : request(row.body, row.servers);
  }

  private void readAnswers(Socket s, boolean asked) throws IOException {
    InputStream in = new BufferedInputStream(s.getInputStream());
    while (!ended) {
      if (!asked) {
        s.getOutputStream().write(nextRequest());
      }
      PressurePeers.Head h = PressurePeers.head(in);
      if (h == null) {
        lost.addAndGet(ended || asked ? 0 : 1);
        return;
      }
      statuses.merge(h.firstLine(), 1, Integer::sum);
      PressurePeers.skip(in, h, () -> lastEvents.put(s, System.nanoTime()));
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
    for (Socket s : open) {
      s.close();
    }
    peers.close();
  }
}
