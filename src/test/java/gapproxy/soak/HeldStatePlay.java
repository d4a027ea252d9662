package gapproxy.soak;

import gapproxy.http.Exchange;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.standin.PlatformSite;
import gapproxy.standin.PlatformSite.ModelServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * Plays clients with small requests through one gateway process whose connections or model servers fail again and again, and measures at the
 * servers how long something stays held. Answers may be lost after an attempt has ended at its server.
 */
final class HeldStatePlay implements AutoCloseable {
  /** What fails, each time for some of the servers or connections. */
  enum Fault {
    NONE,
    /** Half of the open connections to readers fall silent for good; new ones work. */
    READER_CONNECTIONS_FALL_SILENT,
    /** All open connections fall silent for good; new ones work. */
    ALL_CONNECTIONS_FALL_SILENT,
    /** Half of the readers vanish for 6 s with what they hold. */
    READERS_VANISH,
    /** Half of the writers vanish for 2 s. */
    WRITERS_VANISH,
    /** Two in five servers vanish for 1.4 s. */
    SERVERS_VANISH,
    /** Three in five servers can't be reached for 1.4 s, and go on. */
    SERVERS_CUT_OFF,
    /** The servers of two of three zones can't be reached for 1.4 s, and go on. */
    ZONES_CUT_OFF,
    /** Three in five server processes end and start again at once. */
    PROCESSES_RESTART,
    /** Half of the servers hang for 1.4 s, and then do what has come meanwhile. */
    SERVERS_HANG
  }

  /**
   * The variant of a play.
   *
   * @param places whether the settings allow places at writers
   * @param longReads share of reads that take 0.9 or 2 s
   * @param waitingWrites share of writes that wait for up to 2.5 s at their server
   * @param holdUps whether the process is held up at times
   */
  record Variant(Fault fault, boolean places, double longReads, double waitingWrites, Duration releaseTime, boolean holdUps) {
    static Variant of(Fault fault) {
      return new Variant(fault, true, 0, 0, Duration.ofSeconds(1), false);
    }

    Variant withoutPlaces() {
      return new Variant(fault, false, longReads, waitingWrites, releaseTime, holdUps);
    }

    Variant withLongReads(double share) {
      return new Variant(fault, places, share, waitingWrites, releaseTime, holdUps);
    }

    Variant withWaitingWrites(double share) {
      return new Variant(fault, places, longReads, share, releaseTime, holdUps);
    }

    Variant withReleaseTime(Duration time) {
      return new Variant(fault, places, longReads, waitingWrites, time, holdUps);
    }

    Variant withHoldUps() {
      return new Variant(fault, places, longReads, waitingWrites, releaseTime, true);
    }
  }

  /**
   * What a play found.
   *
   * @param heldTooLong a line for each state or place that was held too long
   * @param readTwice requests that were read more than once
   * @param mostReleases most release calls for one request
   * @param mostReservations most reservation calls for one request
   * @param placesLost places that a release freed while the read beside them was out
   */
  record Result(int requests, int whole, List<String> heldTooLong, Duration longestHeld, int readTwice, int mostReleases,
      int mostReservations, int releases, int placesLost) {
    @Override
    public String toString() {
      return heldTooLong.size() + " held too long of " + requests + " requests, " + whole + " answered whole, longest held "
          + longestHeld.toMillis() + " ms, read more than once " + readTwice + ", releases " + releases + " (at most " + mostReleases
          + " for a request), at most " + mostReservations + " reservation calls for a request, places lost " + placesLost + "\n"
          + String.join("\n", heldTooLong);
    }
  }

  private static final Map<String, String> JSON = Map.of("content-type", "application/json"), DECLINED = Map.of("srv-declined", "1");
  private static final byte[] NONE = new byte[0];
  private static final byte[] LOAD = "{\"outstanding\":1,\"backlog\":0,\"x0\":0.1,\"x1\":0}".getBytes(StandardCharsets.UTF_8);
  /** What the protocol's page gives beyond the release time, and what the stand-ins themselves may add. */
  private static final Duration SOCKET_SLACK = Duration.ofMillis(300), MEASURING_TOLERANCE = Duration.ofMillis(20);
  private static final Duration UNKNOWN_READ_WAIT = Duration.ofMillis(300), POLL_INTERVAL = Duration.ofMillis(10), SHORT_OUTAGE = Duration.ofMillis(1400),
      WRITERS_OUTAGE = Duration.ofSeconds(2), LONG_OUTAGE = Duration.ofSeconds(6), SETTLE_TIME = Duration.ofMillis(5500);
  private static final Duration HOLD_UP = Duration.ofMillis(120);
  private static final int SERVERS_OF_ROLE = 6, CLIENT_DEADLINE_MS = 4500, SOCKET_TIMEOUT_MS = 15_000, CLIENT_REST_MS = 60,
      FIRST_FAULT_MS = 2500, SHORTEST_FAULT_INTERVAL_MS = 3000, FAULT_INTERVAL_RANGE_MS = 2000;
  private static final String[] ZONES = {"a", "b", "c"};

  private final LiveLoop loop = new LiveLoop("site");
  private final LiveNet net = new LiveNet("site-net", 2);
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Variant variant;
  private final SplittableRandom random;
  private final GatewayProcess gateway;
  private final FaultProxy proxy;
  private final HeldTimes heldTimes;
  private final List<FaultProxy.Hop> hops = new ArrayList<>();
  /** By server: how often it has vanished or restarted. An attempt of an earlier life does nothing more. */
  private final int[] lives = new int[2 * SERVERS_OF_ROLE];
  private final boolean[] vanished = new boolean[2 * SERVERS_OF_ROLE];
  private final Duration[] hangsUntil = new Duration[2 * SERVERS_OF_ROLE];
  private final Map<String, Integer> readsSeen = new HashMap<>(), releasesSeen = new HashMap<>(), reservationsSeen = new HashMap<>();
  /** By request: the running servers at which a read is out, and those at which a write waits for its state. */
  private final Map<String, List<Integer>> readsOut = new HashMap<>(), waitingWrites = new HashMap<>();
  private final Set<String> readOnce = new HashSet<>();
  private final AtomicInteger requests = new AtomicInteger(), whole = new AtomicInteger();
  private PlatformSite site;
  private int placesLost;
  private volatile boolean ending;

  HeldStatePlay(Path dir, Variant variant, long seed) throws IOException, InterruptedException {
    this(dir, variant, seed, null);
  }

  /** @param gatewayClasses classes that the gateway uses in place of those of the same name, or null */
  HeldStatePlay(Path dir, Variant variant, long seed, Path gatewayClasses) throws IOException, InterruptedException {
    this.variant = variant;
    random = new SplittableRandom(seed);
    heldTimes = new HeldTimes(loop::now, variant.releaseTime.plus(SOCKET_SLACK).plus(MEASURING_TOLERANCE));
    proxy = new FaultProxy(seed);
    gateway = new GatewayProcess("n0", dir);
    loop.runAndWait(() -> {
      try {
        site = new PlatformSite(loop, net, SERVERS_OF_ROLE, SERVERS_OF_ROLE, Duration.ofMillis(5), 3);
        for (int i = 0; i < site.modelServers.size(); i++) {
          ModelServer server = site.modelServers.get(i);
          hops.add(proxy.openHop(server.address()));
          server.proxyPort = hops.get(i).port();
          server.zone = ZONES[i % ZONES.length];
        }
        site.interceptor = this::serve;
        gateway.configure(config());
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    });
    if (gatewayClasses != null) {
      gateway.overrideClasses(gatewayClasses);
    }
    gateway.start();
    if (!gateway.awaitReady()) {
      throw new IOException("the gateway is not ready, see " + gateway.log());
    }
  }

  private String config() {
    return site.config("127.0.0.1:" + gateway.port).replace("\"localities\":[\"here\"]", "\"localities\":[\"a\",\"b\",\"c\"]")
        .replace("\"ahead\":true", "\"ahead\":" + variant.places)
        .replace("\"releaseWithinUs\":1000000", "\"releaseWithinUs\":" + variant.releaseTime.toNanos() / 1000);
  }

  GatewayProcess gateway() {
    return gateway;
  }

  /** Lets clients send requests one after another for a time, and returns what was found. */
  Result play(int clients, Duration length) throws Exception {
    long until = System.nanoTime() + length.toNanos();
    List<Future<?>> running = new ArrayList<>();
    for (int client = 0; client < clients; client++) {
      int number = client;
      running.add(threads.submit(() -> {
        for (int i = 0; System.nanoTime() < until; i++) {
          request("c" + number + "x" + i);
          Thread.sleep(CLIENT_REST_MS);
        }
        return null;
      }));
    }
    threads.submit(() -> failAgainAndAgain(until));
    if (variant.holdUps) {
      threads.submit(this::holdUpAtTimes);
    }
    for (Future<?> client : running) {
      client.get();
    }
    Thread.sleep(SETTLE_TIME.toMillis());
    ending = true;
    if (proxy.failure() != null) {
      throw new IllegalStateException("the fault proxy has failed", proxy.failure());
    }
    Result[] result = new Result[1];
    loop.runAndWait(() -> result[0] = new Result(requests.get(), whole.get(), heldTimes.finish(), heldTimes.longest(),
        (int) readsSeen.values().stream().filter(count -> count > 1).count(), most(releasesSeen), most(reservationsSeen),
        releasesSeen.values().stream().mapToInt(count -> count).sum(), placesLost));
    return result[0];
  }

  private static int most(Map<String, Integer> counts) {
    return counts.values().stream().mapToInt(count -> count).max().orElse(0);
  }

  // Model servers

  private boolean serve(ModelServer server, Exchange exchange) {
    int number = site.modelServers.indexOf(server);
    String path = exchange.request().path();
    if (hangsUntil[number] != null && loop.now().compareTo(hangsUntil[number]) < 0) {
      loop.after(hangsUntil[number].minus(loop.now()), () -> serve(server, exchange));
      return true;
    } else if (vanished[number] || !exchange.isOpen()) {
      return true;                                            // nothing comes back
    } else if (path.startsWith("/kv/leases/")) {
      lease(number, exchange, path.substring("/kv/leases/".length()));
    } else if (exchange.request().header("req-id") == null) {
      exchange.respond(200, JSON, LOAD);
    } else if (server.reader) {
      read(number, exchange, exchange.request().header("req-id"));
    } else {
      write(number, exchange, exchange.request().header("req-id"));
    }
    return true;
  }

  private static boolean isAnyOut(Map<String, List<Integer>> attempts, String id) {
    return !attempts.getOrDefault(id, List.of()).isEmpty();
  }

  private void lease(int server, Exchange exchange, String id) {
    if (exchange.request().method().equals("DELETE")) {
      releasesSeen.merge(id, 1, Integer::sum);
      release(server, id);
      exchange.respond(204, JSON, NONE);
      return;
    }
    reservationsSeen.merge(id, 1, Integer::sum);
    reserve(server, exchange, id, loop.now().plus(UNKNOWN_READ_WAIT));
  }

  /** Grants a place once a read of the request is out; if none comes in time, none is known. */
  private void reserve(int server, Exchange exchange, String id, Duration until) {
    if (isAnyOut(readsOut, id)) {
      for (int other = SERVERS_OF_ROLE; other < 2 * SERVERS_OF_ROLE; other++) {
        if (other != server) {
          heldTimes.freed(id, other);                         // a second place gives the first one up
        }
      }
      heldTimes.held(id, server);
      exchange.respond(200, JSON, "{}".getBytes(StandardCharsets.UTF_8));
    } else if (loop.now().compareTo(until) < 0) {
      loop.after(POLL_INTERVAL, () -> reserve(server, exchange, id, until));
    } else {
      heldTimes.note(id, "place is not known at " + server);
      exchange.respond(204, JSON, NONE);
    }
  }

  /** Releases all that is held for a request but the state that a write waits for. */
  private void release(int server, String id) {
    heldTimes.note(id, "released at " + server);
    for (int i = 0; i < 2 * SERVERS_OF_ROLE; i++) {
      boolean isState = i < SERVERS_OF_ROLE;
      if (!isState || !isAnyOut(waitingWrites, id)) {
        placesLost += !isState && heldTimes.isHeldAt(id, i) && isAnyOut(readsOut, id) ? 1 : 0;
        heldTimes.freed(id, i);
      }
    }
  }

  private void read(int server, Exchange exchange, String id) {
    int life = lives[server];
    HeldTimes.Attempt attempt = heldTimes.attemptArrived(id, server, "read");
    readsSeen.merge(id, 1, Integer::sum);
    readsOut.computeIfAbsent(id, i -> new ArrayList<>()).add(server);
    Duration takes = random.nextDouble() < variant.longReads ? Duration.ofMillis(random.nextBoolean() ? 900 : 2000)
        : Duration.ofMillis(20 + random.nextInt(130));
    boolean[] over = new boolean[1];
    Predicate<String> end = how -> {
      if (over[0]) {
        return false;
      }
      over[0] = true;
      readsOut.get(id).remove((Integer) server);
      heldTimes.attemptEnded(attempt, how);
      return true;
    };
    exchange.onDisconnect(() -> end.test("read is given up"));
    loop.after(deadlineOf(exchange), () -> end.test("read is over its deadline"));
    loop.after(takes, () -> {
      if (end.test("read ends") && lives[server] == life) {
        readOnce.add(id);
        heldTimes.held(id, server);
        exchange.respond(202, JSON, "{\"cached_tokens\":128}".getBytes(StandardCharsets.UTF_8));
      }
    });
  }

  /** The time that the gateway told to wait, after which a server drops an attempt. */
  private static Duration deadlineOf(Exchange exchange) {
    return Duration.ofMillis(Long.parseLong(exchange.request().headers().getOrDefault("req-deadline-ms", "5000")));
  }

  private void write(int server, Exchange exchange, String id) {
    int life = lives[server];
    HeldTimes.Attempt attempt = heldTimes.attemptArrived(id, server, "write");
    waitingWrites.computeIfAbsent(id, i -> new ArrayList<>()).add(server);
    Duration waits = Duration.ofMillis(random.nextDouble() < variant.waitingWrites ? 600 + random.nextInt(1900) : 5 + random.nextInt(30));
    boolean[] waiting = {true};
    Runnable endOfWait = () -> {
      if (waiting[0]) {
        waiting[0] = false;
        waitingWrites.get(id).remove((Integer) server);
      }
    };
    exchange.onDisconnect(() -> {
      endOfWait.run();
      heldTimes.attemptEnded(attempt, "write is given up");
    });
    loop.after(deadlineOf(exchange), () -> {
      if (waiting[0]) {
        endOfWait.run();
        heldTimes.attemptEnded(attempt, "write is over its deadline");
      }
    });
    loop.after(waits, () -> {
      boolean wasWaiting = waiting[0];
      endOfWait.run();
      if (wasWaiting && lives[server] == life) {
        answer(exchange, id, attempt);
      }
    });
  }

  private void answer(Exchange exchange, String id, HeldTimes.Attempt attempt) {
    boolean stateHeld = false;
    for (int reader = 0; reader < SERVERS_OF_ROLE; reader++) {
      stateHeld |= heldTimes.isHeldAt(id, reader);
    }
    if (!stateHeld && readOnce.contains(id)) {
      heldTimes.attemptEnded(attempt, "write has no state");
      exchange.respond(410, DECLINED, NONE);
      return;
    }
    heldTimes.freed(id);
    exchange.begin(200, Map.of("content-type", "text/event-stream"));
    exchange.write(PlatformSite.eventText(0));
    exchange.write(PlatformSite.STREAM_END);
    exchange.end();
    heldTimes.attemptEnded(attempt, "write ends");
  }

  // Faults

  private Void failAgainAndAgain(long until) throws InterruptedException {
    Thread.sleep(FIRST_FAULT_MS);
    while (!ending && System.nanoTime() < until) {
      loop.execute(this::fail);
      Thread.sleep(SHORTEST_FAULT_INTERVAL_MS + random.nextInt(FAULT_INTERVAL_RANGE_MS));
    }
    return null;
  }

  private void fail() {
    switch (variant.fault) {
      case NONE -> { }
      case READER_CONNECTIONS_FALL_SILENT -> hops.subList(0, SERVERS_OF_ROLE).forEach(hop -> hop.silenceOpenConnections(0.5));
      case ALL_CONNECTIONS_FALL_SILENT -> hops.forEach(hop -> hop.silenceOpenConnections(1));
      case READERS_VANISH -> cutOff(number -> number < SERVERS_OF_ROLE && random.nextBoolean(), LONG_OUTAGE, true);
      case WRITERS_VANISH -> cutOff(number -> number >= SERVERS_OF_ROLE && random.nextBoolean(), WRITERS_OUTAGE, true);
      case SERVERS_VANISH -> cutOff(number -> random.nextDouble() < 0.42, SHORT_OUTAGE, true);
      case SERVERS_CUT_OFF -> cutOff(number -> random.nextDouble() < 0.6, SHORT_OUTAGE, false);
      case ZONES_CUT_OFF -> {
        int left = random.nextInt(ZONES.length);
        cutOff(number -> number % ZONES.length != left, SHORT_OUTAGE, false);
      }
      case PROCESSES_RESTART -> restart(number -> random.nextDouble() < 0.6);
      case SERVERS_HANG -> {
        Duration until = loop.now().plus(SHORT_OUTAGE);
        for (int i = 0; i < hangsUntil.length; i++) {
          hangsUntil[i] = random.nextBoolean() ? until : hangsUntil[i];
        }
      }
    }
  }

  private void cutOff(Predicate<Integer> chosen, Duration span, boolean vanish) {
    for (int i = 0; i < hops.size(); i++) {
      int server = i;
      if (vanished[server] || !chosen.test(server)) {
        continue;
      }
      hops.get(server).setMode(FaultProxy.Mode.UNREACHABLE);
      if (vanish) {
        vanished[server] = true;
        endLife(server);
      }
      loop.after(span, () -> {
        vanished[server] = false;
        hops.get(server).setMode(FaultProxy.Mode.PASS);
      });
    }
  }

  private void endLife(int server) {
    lives[server]++;
    heldTimes.serverGone(server);
    readsOut.values().forEach(servers -> servers.removeIf(out -> out == server));
    waitingWrites.values().forEach(servers -> servers.removeIf(out -> out == server));
  }

  private void restart(Predicate<Integer> chosen) {
    for (int i = 0; i < hops.size(); i++) {
      int server = i;
      if (chosen.test(server)) {
        endLife(server);
        hops.get(server).setMode(FaultProxy.Mode.RESET);
        loop.after(Duration.ofMillis(50), () -> hops.get(server).setMode(FaultProxy.Mode.PASS));
      }
    }
  }

  private Void holdUpAtTimes() throws IOException, InterruptedException {
    while (!ending) {
      Thread.sleep(300);
      gateway.signal("STOP");
      Thread.sleep(HOLD_UP.toMillis());
      gateway.signal("CONT");
    }
    return null;
  }

  // Clients

  private void request(String id) throws IOException {
    requests.incrementAndGet();
    try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), gateway.port)) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MS);
      String body = "{\"model\":\"talk\",\"stream\":true,\"messages\":[]}";
      socket.getOutputStream().write(("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\nReq-Id: " + id
          + "\r\nReq-Kind: talk\r\nReq-Owner: town\r\nReq-Key: " + Integer.toHexString(id.hashCode()) + "\r\nReq-Deadline-Ms: "
          + CLIENT_DEADLINE_MS + "\r\nReq-Extra: prompt_len=2900,max_out=80\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
              .getBytes(StandardCharsets.US_ASCII));
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String answer = new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
      if (answer.startsWith("HTTP/1.1 200") && answer.contains("data: [DONE]")) {
        whole.incrementAndGet();
      }
      if (!answer.startsWith("HTTP/1.1 200")) {
        loop.execute(() -> heldTimes.note(id, "client gets " + answer.lines().findFirst().orElse("nothing")));
      }
    }
  }

  @Override
  public void close() throws IOException, InterruptedException {
    ending = true;
    threads.shutdownNow();
    threads.awaitTermination(5, TimeUnit.SECONDS);
    gateway.kill();
    gateway.releasePort();
    loop.runAndWait(site::close);
    loop.close();
    net.close();
    proxy.close();
  }

  /** Plays one variant by hand: DIR FAULT PLACES LONG_READS WAITING_WRITES RELEASE_MS HOLD_UPS CLIENTS SECONDS SEED. */
  public static void main(String[] args) throws Exception {
    Path dir = Files.createDirectories(Path.of(args[0]));
    Variant variant = new Variant(Fault.valueOf(args[1]), Boolean.parseBoolean(args[2]), Double.parseDouble(args[3]),
        Double.parseDouble(args[4]), Duration.ofMillis(Long.parseLong(args[5])), Boolean.parseBoolean(args[6]));
    try (HeldStatePlay play = new HeldStatePlay(dir, variant, Long.parseLong(args[9]))) {
      System.out.println(variant + ": " + play.play(Integer.parseInt(args[7]), Duration.ofSeconds(Long.parseLong(args[8]))));
    }
    System.exit(0);
  }
}
