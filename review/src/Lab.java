import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-ins for the platform (clients, model servers, discovery) on loopback, and a launcher for the gateway under test. */
final class Lab implements AutoCloseable {
  static final InetAddress LOCAL = InetAddress.getLoopbackAddress();
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final long startNanos = System.nanoTime();
  final Path temp;
  private final List<String> record = new ArrayList<>();
  private final Path recordFile;
  final List<ModelServer> servers = new CopyOnWriteArrayList<>();
  final List<Gateway> gateways = new CopyOnWriteArrayList<>();
  Discovery discovery;
  /** What model servers hold, by req id: the names of the holders. */
  final Map<String, Set<String>> held = new ConcurrentHashMap<>();
  int sockets = 256;
  int memoryMb = 192;

  Lab(String caseDir) throws IOException {
    recordFile = Path.of(caseDir, "record.txt");
    temp = Files.createTempDirectory("gapproxy-review");
    discovery = new Discovery();
    Thread watchdog = new Thread(() -> {
      pause(110_000);
      note("the case ran for too long");
      finish(2);
    });
    watchdog.setDaemon(true);
    watchdog.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  double ms() {
    return Math.round((System.nanoTime() - startNanos) / 1e4) / 100.0;
  }

  void note(String line) {
    synchronized (record) {
      record.add(String.format(Locale.ROOT, "%10.2f ms  %s", ms(), line));
    }
  }

  /** Writes the record, ends everything that was started, and exits. */
  void finish(int code) {
    try {
      synchronized (record) {
        record.add("exit code " + code + (code == 1 ? ": the rule was broken" : code == 0 ? ": the rule held" : ": the case could not run"));
        Files.write(recordFile, record);
        System.out.println(record.get(record.size() - 1));
      }
    } catch (IOException e) {
      e.printStackTrace();
    }
    close();
    Runtime.getRuntime().halt(code);
  }

  @Override
  public void close() {
    gateways.forEach(Gateway::kill);
    try (var files = Files.walk(temp)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    } catch (IOException e) {
      // Nothing is left to clean up.
    }
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread spawn(Runnable task) {
    Thread t = new Thread(task);
    t.setDaemon(true);
    t.start();
    return t;
  }

  /** The settings of the site logger-assist-nz with one gateway, as far as a gateway reads them, in the form of the wire page. */
  static final String SETTINGS = """
      {"balancers":1,"tickUs":4000,"locality":0,"localities":["akl-east"],"kinds":["prefill","decode"],
       "classes":[{"name":"field-query","repeat":"read_like","group":"all","windowUs":5000000,"sloUs":1200000,"giveUpUs":6000000,
        "worth":3.0,"lateWorth":0.3,"stream":true}],
       "projects":[{"name":"northern-metro-water","quotaRps":100.0,"portion":1.0}],"overShareWorth":0.1,"registryMode":"pushed",
       "clients":{"marksRetry":false},"family":"twostage",
       "familyInfo":{"ahead":false,"localRead":true,"resume":false,"releaseWithinUs":500000,"roleByKind":["read","write"],
        "memoryTokens":[200000,160000],"aimUsPer1000PromptTokens":[40000.0],"tokenAimUs":[60000.0],
        "reportX0":"share of memory that is held","reportX1":"thousands of prompt tokens waiting to be read or fetched"},
       "guarantees":{"answerSlackUs":16000,"drainGraceUs":500000,"startCapacity":0.26,"warmUpUs":14000000,"tipMultiple":2.5,
        "fallUs":3000000,"mustAskInUs":10000000},
       "policyLimits":{"connIdleUs":15000000,"connectTimeoutUs":250000,"maxAttempts":6,"mayCancel":true,"mayDuplicate":false,
        "mayProbe":true,"peers":false,"retryAfter":true,"maxRetryAfterUs":1000000,"streamsPerConn":1},
       "stats":{"source":"piggyback","columns":["recent_ms","x0","x1"]}}""";
  static final String LOAD_REPORT = "{\"recent_ms\":40,\"x0\":0.1,\"x1\":0}";

  // ---- HTTP

  /** A request or the head of a response. */
  record Head(String first, Map<String, String> headers, byte[] body) {
    String id() {
      return headers.get("req-id");
    }

    String method() {
      return first.split(" ")[0];
    }

    String path() {
      return first.split(" ")[1];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return null;
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  static Head readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Head(first, headers, null);
  }

  /** Reads a request with its body; null at the end of the connection. */
  static Head readRequest(InputStream in) throws IOException {
    Head head = readHead(in);
    if (head == null) {
      return null;
    }
    int length = Integer.parseInt(head.headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    return body.length < length ? null : new Head(head.first, head.headers, body);
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(bytes(text));
    out.flush();
  }

  static String response(String status, String headers, String body) {
    return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + bytes(body).length + "\r\n\r\n" + body;
  }

  static String chunk(String text) {
    return Integer.toHexString(bytes(text).length) + "\r\n" + text + "\r\n";
  }

  static String event(String content, boolean last) {
    return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content + "\"},\"finish_reason\":" + (last ? "\"stop\"" : "null")
        + "}]}\n\n";
  }

  static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  static final String STREAM_TAIL = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":1000,\"completion_tokens\":9,"
      + "\"prompt_tokens_details\":{\"cached_tokens\":500}}}\n\ndata: [DONE]\n\n";

  // ---- model servers

  /** One connection to a model server. */
  static final class Peer {
    final Socket socket;
    final BufferedInputStream in;
    final OutputStream out;

    Peer(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      out = socket.getOutputStream();
    }

    /** Whether the other side has closed the connection; waits for that at most the given time. */
    boolean closedWithin(int ms) {
      try {
        socket.setSoTimeout(Math.max(1, ms));
        in.mark(1);
        int b = in.read();
        if (b >= 0) {
          in.reset();
        }
        return b < 0;
      } catch (SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        return true;
      } finally {
        try {
          socket.setSoTimeout(0);
        } catch (IOException e) {
          // The connection is closed.
        }
      }
    }

    void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // It was closed already.
      }
    }
  }

  /** What a model server does with a chat request in place of the usual; returns true if it has handled it. */
  interface Hook {
    boolean handle(ModelServer at, Peer peer, Head request) throws IOException;
  }

  /** A model server that follows the protocol page. */
  final class ModelServer {
    final String name;
    final boolean reader;
    final ServerSocket socket;
    volatile String health = "up";
    volatile long bornMs;
    volatile Hook hook;
    volatile int readMs = 20, firstTokenMs = 20, gapMs = 20, events = 10;
    /** How fast a reader reads; 0 for reads of {@link #readMs}. */
    volatile int tokensPerMs;

    ModelServer(String name, boolean reader) throws IOException {
      this.name = name;
      this.reader = reader;
      socket = new ServerSocket(0, 1024, LOCAL);
      spawn(() -> {
        try {
          while (true) {
            Socket s = socket.accept();
            spawn(() -> serve(s));
          }
        } catch (IOException e) {
          note(name + " stops listening");
        }
      });
    }

    private void serve(Socket s) {
      try (s) {
        Peer peer = new Peer(s);
        for (Head request = readRequest(peer.in); request != null; request = readRequest(peer.in)) {
          if (!handle(peer, request)) {
            return;
          }
        }
      } catch (IOException e) {
        // The gateway has closed the connection.
      }
    }

    private boolean handle(Peer peer, Head request) throws IOException {
      String path = request.path();
      if (path.startsWith("/kv/leases/")) {
        String id = path.substring("/kv/leases/".length());
        if (request.method().equals("DELETE")) {
          boolean any = held.remove(id) != null;
          note(name + " release of " + id + (any ? ", which was held" : ""));
          write(peer.out, "HTTP/1.1 204 No Content\r\n\r\n");
        } else {
          write(peer.out, response("404 Not Found", "", ""));
        }
        return true;
      } else if (path.equals("/metrics/load")) {
        write(peer.out, response("200 OK", "Content-Type: application/json\r\n", LOAD_REPORT));
        return true;
      } else if (path.equals("/alive")) {
        write(peer.out, response("200 OK", "", ""));
        return true;
      }
      String id = request.id();
      note(name + " gets " + id + ", told " + request.headers.get("req-deadline-ms") + " ms");
      if (hook != null && hook.handle(this, peer, request)) {
        return !peer.socket.isClosed();
      }
      int forMs = readMs;
      if (tokensPerMs > 0) {
        forMs = Math.max(1, Integer.parseInt(request.headers.get("req-extra").replaceAll(".*prompt_len=(\\d+).*", "$1")) / tokensPerMs);
      }
      return reader ? read(peer, id, forMs) : stream(peer, id);
    }

    boolean read(Peer peer, String id, int forMs) throws IOException {
      boolean gone = peer.closedWithin(forMs);
      if (gone) {
        note(name + " drops the read of " + id + ": its connection is closed");
        return false;
      }
      held.computeIfAbsent(id, i -> ConcurrentHashMap.newKeySet()).add(name);
      note(name + " has read " + id);
      write(peer.out, response("202 Accepted", "Content-Type: application/json\r\n", "{\"cached_tokens\":500}"));
      return true;
    }

    boolean stream(Peer peer, String id) throws IOException {
      held.remove(id);
      if (peer.closedWithin(firstTokenMs)) {
        note(name + " drops " + id + ": its connection is closed");
        return false;
      }
      write(peer.out, STREAM_HEAD);
      for (int i = 0; i < events; i++) {
        write(peer.out, chunk(event(id + "-" + i, i == events - 1)));
        if (peer.closedWithin(gapMs)) {
          note(name + " ends the stream of " + id + ": its connection is closed");
          return false;
        }
      }
      write(peer.out, chunk(STREAM_TAIL) + "0\r\n\r\n");
      note(name + " has served " + id);
      return true;
    }

    String json() {
      return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + socket.getLocalPort() + "\",\"site\":\"akl-east\",\"class\":\""
          + (reader ? "prefill" : "decode") + "\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }
  }

  ModelServer server(String name, boolean reader) throws IOException {
    ModelServer s = new ModelServer(name, reader);
    servers.add(s);
    return s;
  }

  // ---- discovery

  /** Discovery's agent: the whole list at once, then the changes; an empty line every 2 s. */
  final class Discovery {
    final ServerSocket socket = new ServerSocket(0, 256, LOCAL);
    private final List<Peer> watches = new CopyOnWriteArrayList<>();
    /** How long a new call waits for its answer. */
    volatile int answerDelayMs;
    private int seq = 41;

    Discovery() throws IOException {
      spawn(() -> {
        try {
          while (true) {
            Socket s = socket.accept();
            spawn(() -> serve(s));
          }
        } catch (IOException e) {
          note("discovery stops listening");
        }
      });
      spawn(() -> {
        while (true) {
          pause(2000);
          watches.forEach(w -> push(w, "\n"));
        }
      });
    }

    String whole() {
      return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":["
          + String.join(",", servers.stream().filter(s -> !s.health.equals("removed")).map(ModelServer::json).toList()) + "]}\n";
    }

    private void serve(Socket s) {
      try {
        Peer peer = new Peer(s);
        Head request = readRequest(peer.in);
        if (request == null) {
          return;
        }
        note("discovery is asked: " + request.path());
        if (answerDelayMs > 0 && peer.closedWithin(answerDelayMs)) {
          note("discovery's caller has closed its connection before the answer");
          s.close();
          return;
        }
        synchronized (this) {
          write(peer.out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(whole()));
          watches.add(peer);
        }
        note("discovery has sent the list");
      } catch (IOException e) {
        // The gateway has closed the connection.
      }
    }

    private void push(Peer watch, String text) {
      try {
        synchronized (this) {
          write(watch.out, chunk(text));
        }
      } catch (IOException e) {
        watches.remove(watch);
      }
    }

    void publish(ModelServer server, String health) {
      synchronized (this) {
        seq++;
        server.health = health;
        note("discovery has: " + server.name + " is " + health);
        watches.forEach(w -> push(w, "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + server.json() + "]}\n"));
      }
    }

    void resetWatches() {
      watches.forEach(w -> {
        try {
          w.socket.setSoLinger(true, 0);
        } catch (IOException e) {
          // It is closed.
        }
        w.close();
      });
      watches.clear();
    }
  }

  // ---- the gateway

  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, LOCAL)) {
      return s.getLocalPort();
    }
  }

  /** A gateway process, started by the command of the deploy file. */
  final class Gateway {
    final String name;
    final int port;
    final Path config, log;
    Process process;

    Gateway(String name) throws IOException {
      this.name = name;
      port = freePort();
      config = temp.resolve(name + ".json");
      log = temp.resolve(name + ".log");
      gateways.add(this);
    }

    void writeConfig(String known) throws IOException {
      Path next = temp.resolve(name + ".next");
      Files.writeString(next, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
          + discovery.socket.getLocalPort() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
          + ",\"sockets\":" + sockets + "},\"known\":" + known + ",\"settings\":" + SETTINGS + "}");
      Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    void start() throws IOException {
      start(discovery.whole());
    }

    void start(String known) throws IOException {
      writeConfig(known);
      String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream().filter(l -> l.startsWith("run = \"")).findFirst()
          .orElseThrow().replaceFirst("^run = \"", "").replaceFirst("\"\\s*(#.*)?$", "");
      Path tmp = Files.createDirectories(temp.resolve(name + ".tmp"));
      ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run);
      b.environment().putAll(Map.of("LB_NAME", name, "LB_LISTEN", "127.0.0.1:" + port, "LB_DISCOVERY",
          "127.0.0.1:" + discovery.socket.getLocalPort(), "LB_CONFIG", config.toString(), "TMPDIR", tmp.toString()));
      b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = b.start();
      note("gateway " + name + " is started");
      for (int i = 0; i < 300; i++) {
        pause(50);
        try (Socket s = connect()) {
          write(s.getOutputStream(), "GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
          Head head = readHead(new BufferedInputStream(s.getInputStream()));
          if (head != null && head.status() == 200) {
            note("gateway " + name + " is ready");
            return;
          }
        } catch (IOException e) {
          // It does not listen yet.
        }
      }
      note("gateway " + name + " did not get ready");
      finish(2);
    }

    Socket connect() throws IOException {
      Socket s = new Socket();
      s.connect(new InetSocketAddress(LOCAL, port), 5000);
      s.setTcpNoDelay(true);
      return s;
    }

    void signal(String signal) throws IOException {
      note("SIG" + signal + " to gateway " + name);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    }

    void kill() {
      if (process != null && process.isAlive()) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }

    String logText() throws IOException {
      return Files.exists(log) ? Files.readString(log) : "";
    }
  }

  // ---- clients

  private final AtomicInteger ids = new AtomicInteger();

  String newId(String prefix) {
    return prefix + String.format(Locale.ROOT, "%06x", ids.incrementAndGet());
  }

  /** The text of a chat request. */
  static String chat(String id, int deadlineMs, int promptTokens, String key) {
    String body = "{\"model\":\"field-query\",\"stream\":true,\"max_tokens\":80,\"messages\":[{\"role\":\"user\",\"content\":\"" + id + "\"}]}";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: field-query\r\nReq-Owner: northern-metro-water\r\n"
        + "Req-Key: " + key + "\r\nReq-Deadline-Ms: " + deadlineMs + "\r\nReq-Extra: prompt_len=" + promptTokens
        + ",prefix_len=0,max_out=80\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** What a client got: whether the answer came whole, and whether the gateway closes the connection after it. */
  record Answer(String id, int status, String text, boolean complete, double sentMs, double endMs, boolean close) {}

  /** Sends a request on a connection and reads its answer. */
  Answer ask(Peer peer, String id, String request) {
    double sent = ms();
    try {
      write(peer.out, request);
      return readAnswer(peer, id, sent);
    } catch (IOException e) {
      return new Answer(id, 0, "", false, sent, ms(), true);
    }
  }

  Answer readAnswer(Peer peer, String id, double sent) {
    int status = 0;
    StringBuilder text = new StringBuilder();
    try {
      Head head = readHead(peer.in);
      if (head == null) {
        return new Answer(id, 0, "", false, sent, ms(), true);
      }
      status = head.status();
      boolean close = "close".equalsIgnoreCase(head.headers.get("connection"));
      if (head.headers.containsKey("content-length")) {
        text.append(new String(peer.in.readNBytes(Integer.parseInt(head.headers.get("content-length"))), StandardCharsets.UTF_8));
        return new Answer(id, status, text.toString(), true, sent, ms(), close);
      }
      while (true) {
        String line = readLine(peer.in);
        if (line == null) {
          return new Answer(id, status, text.toString(), false, sent, ms(), true);
        }
        int size = Integer.parseInt(line.trim(), 16);
        byte[] part = peer.in.readNBytes(size);
        text.append(new String(part, StandardCharsets.UTF_8));
        if (readLine(peer.in) == null || part.length < size) {
          return new Answer(id, status, text.toString(), false, sent, ms(), true);
        } else if (size == 0) {
          return new Answer(id, status, text.toString(), true, sent, ms(), close);
        }
      }
    } catch (IOException | NumberFormatException e) {
      return new Answer(id, status, text.toString(), false, sent, ms(), true);
    }
  }

  void note(Answer a) {
    note("client has the answer to " + a.id + ": status " + a.status + (a.complete ? ", whole" : ", not whole") + ", after "
        + Math.round(a.endMs - a.sentMs) + " ms");
  }
}
