import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/**
 * Stand-ins for one small deployment on loopback: discovery's agent, model servers, a proxy in front of each model server, and clients.
 * They speak the platform's protocol as PROTOCOL.md tells it. Gateways are started as separate processes by the deploy file's run command.
 */
final class Rig implements AutoCloseable {
  static final byte[] CRLF2 = {13, 10, 13, 10};
  final long t0 = System.nanoTime();
  final Path root, tmp;
  final PrintWriter record;
  final ExecutorService pool = Executors.newCachedThreadPool(r -> {
    Thread t = new Thread(null, r, "rig", 256 << 10);
    t.setDaemon(true);
    return t;
  });
  final List<Server> servers = new CopyOnWriteArrayList<>();
  final List<Gateway> gateways = new CopyOnWriteArrayList<>();
  final Map<String, Work> works = new ConcurrentHashMap<>();
  Agent agent;

  Rig(Path root, Path record) throws IOException {
    this.root = root;
    this.tmp = Files.createTempDirectory("rig2");
    this.record = new PrintWriter(Files.newBufferedWriter(record), true);
    // Also where a case ends early or is ended from outside.
    Runtime.getRuntime().addShutdownHook(new Thread(() -> {
      gateways.forEach(Gateway::kill);
      deleteFolder();
    }));
  }

  /** Milliseconds since the start of the run. */
  double now() {
    return (System.nanoTime() - t0) / 1e6;
  }

  void log(String format, Object... args) {
    String line = String.format(Locale.ROOT, "%9.1f ", now()) + String.format(Locale.ROOT, format, args);
    synchronized (record) {
      record.println(line);
    }
  }

  static void sleep(double ms) {
    try {
      Thread.sleep((long) ms, (int) ((ms - Math.floor(ms)) * 1e6));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  boolean await(double ms, BooleanSupplier2 what) {
    double end = now() + ms;
    while (now() < end) {
      if (what.get()) {
        return true;
      }
      sleep(5);
    }
    return what.get();
  }

  interface BooleanSupplier2 {
    boolean get();
  }

  @Override
  public void close() {
    for (Gateway g : gateways) {
      g.kill();
    }
    for (Server s : servers) {
      s.shut();
    }
    if (agent != null) {
      agent.shut();
    }
    deleteFolder();
    record.flush();
  }

  private void deleteFolder() {
    if (!Files.exists(tmp)) {
      return;
    }
    try (var walk = Files.walk(tmp)) {
      walk.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
    } catch (IOException | UncheckedIOException e) {
      // the folder is a temporary one
    }
  }

  // ---- HTTP

  /** One HTTP message as it was read. */
  static final class Msg {
    String first;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];
    double firstByteAt;

    String h(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); ; b = in.read()) {
      if (b < 0) {
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
      } else if (b == '\n') {
        String s = line.toString(StandardCharsets.ISO_8859_1);
        return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
      }
      line.write(b);
    }
  }

  Msg readHead(InputStream in) throws IOException {
    in.mark(1);
    int b = in.read();
    if (b < 0) {
      return null;
    }
    in.reset();
    Msg m = new Msg();
    m.firstByteAt = now();
    m.first = readLine(in);
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      m.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return m;
  }

  Msg readRequest(InputStream in) throws IOException {
    Msg m = readHead(in);
    if (m == null) {
      return null;
    }
    if (m.h("content-length") != null) {
      int n = Integer.parseInt(m.h("content-length"));
      m.body = in.readNBytes(n);
      if (m.body.length < n) {
        return null;
      }
    }
    return m;
  }

  static byte[] bytes(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }

  // ---- what became of one request

  /** One attempt as its model server saw it. */
  static final class Try {
    Server server;
    String what;
    double firstByteAt, arrivedAt, endedAt = Double.NaN;
    String end = "open";
    volatile boolean ran;

    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%s %s %.0f..%.0f %s", server.name, what, arrivedAt, endedAt, end);
    }
  }

  static final class Work {
    final String id;
    String kind = "";
    double sentAt = Double.NaN, deadlineMs, clientGoneAt = Double.NaN;
    final List<Try> tries = new CopyOnWriteArrayList<>();
    /** Servers that hold a state or a place, and since when. */
    final Map<String, Double> held = new ConcurrentHashMap<>();
    final AtomicInteger reading = new AtomicInteger(), waitingWrites = new AtomicInteger(), effects = new AtomicInteger();
    volatile boolean fetched;

    Work(String id) {
      this.id = id;
    }
  }

  Work work(String id) {
    return works.computeIfAbsent(id, Work::new);
  }

  // ---- model servers

  /** Takes over a request; returns false to have it served as usual. */
  interface Play {
    boolean serve(Server at, Conn conn, Msg m, Try attempt) throws IOException;
  }

  final class Conn {
    final Socket socket;
    final OutputStream out;
    volatile boolean closed;

    Conn(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      out = socket.getOutputStream();
    }

    void write(String s) throws IOException {
      out.write(bytes(s));
      out.flush();
    }

    void chunk(String s) throws IOException {
      byte[] b = bytes(s);
      write(Integer.toHexString(b.length) + "\r\n" + s + "\r\n");
    }

    void respond(int status, String headers, String body) throws IOException {
      write("HTTP/1.1 " + status + " X\r\n" + headers + (status == 204 ? "" : "Content-Length: " + bytes(body).length + "\r\n") + "\r\n" + body);
    }

    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // closed already
      }
    }
  }

  final class Server {
    final String name, role, site;
    final int block;
    volatile ServerSocket listener;
    final Proxy proxy;
    final Set<Conn> conns = ConcurrentHashMap.newKeySet();
    volatile String health = "up";
    volatile long bornMs;
    volatile double readMs = 60, stepMs = 30;
    volatile int events = 10;
    volatile boolean hung, up = true;
    volatile Play play;
    final AtomicInteger running = new AtomicInteger();
    final int port;

    Server(String name, String role, String site, int block) throws IOException {
      this.name = name;
      this.role = role;
      this.site = site;
      this.block = block;
      listener = listen(0);
      port = listener.getLocalPort();
      proxy = new Proxy(this);
      serveAll(listener);
    }

    /** One of many: it has no proxy, and one thread accepts for all of them. */
    Server(String name, String role, String site, int block, java.nio.channels.Selector accepts) throws IOException {
      this.name = name;
      this.role = role;
      this.site = site;
      this.block = block;
      var channel = java.nio.channels.ServerSocketChannel.open();
      channel.bind(new InetSocketAddress("127.0.0.1", 0), 50);
      channel.configureBlocking(false);
      channel.register(accepts, java.nio.channels.SelectionKey.OP_ACCEPT, this);
      listener = channel.socket();
      port = listener.getLocalPort();
      proxy = null;
    }

    private ServerSocket listen(int port) throws IOException {
      ServerSocket s = new ServerSocket();
      s.setReuseAddress(true);
      s.bind(new InetSocketAddress("127.0.0.1", port), 500);
      return s;
    }

    private void serveAll(ServerSocket on) {
      pool.execute(() -> {
        while (true) {
          try {
            Socket s = on.accept();
            Conn c = new Conn(s);
            conns.add(c);
            pool.execute(() -> serve(c));
          } catch (IOException e) {
            return;
          }
        }
      });
    }

    void shut() {
      up = false;
      try {
        listener.close();
      } catch (IOException e) {
        // closed already
      }
      conns.forEach(Conn::reset);
      if (proxy != null) {
        proxy.shut();
      }
    }

    /** The process dies: connections are reset, new ones refused, what was held is gone. */
    void kill() {
      log("server %s dies", name);
      up = false;
      try {
        listener.close();
      } catch (IOException e) {
        // closed already
      }
      proxy.refuse();
      conns.forEach(Conn::reset);
      works.values().forEach(w -> w.held.remove(name));
    }

    /** Starts again, cold. */
    void restart() throws IOException {
      bornMs = System.currentTimeMillis();
      listener = listen(port);
      hung = false;
      up = true;
      serveAll(listener);
      proxy.open();
      log("server %s is back", name);
    }

    private void serve(Conn c) {
      Try current = null;
      try (Socket s = c.socket) {
        InputStream in = new BufferedInputStream(s.getInputStream(), 64 << 10);
        while (true) {
          Msg m = readRequest(in);
          if (m == null) {
            return;
          }
          awaitRunning();
          if (m.first.startsWith("POST /v1/")) {
            String id = m.h("req-id");
            if (id == null || !works.containsKey(id)) {
              log("FOREIGN %s got %s id=%s", name, m.first, id);
              c.respond(id == null ? 404 : 400, "", "");
              continue;
            }
            Try t = new Try();
            t.server = this;
            t.what = role;
            t.firstByteAt = m.firstByteAt;
            t.arrivedAt = now();
            current = t;
            work(id).tries.add(t);
            log("%s gets %s told=%s", name, id, m.h("req-deadline-ms"));
            pool.execute(() -> chat(c, m, t, work(id)));
          } else {
            pool.execute(() -> other(c, m));
          }
        }
      } catch (IOException e) {
        // the connection ended
      } finally {
        c.closed = true;
        conns.remove(c);
        if (current != null && Double.isNaN(current.endedAt)) {
          current.endedAt = now();
          current.end = "closed";
        }
      }
    }

    void awaitRunning() {
      while (hung) {
        sleep(2);
      }
    }

    private void end(Try t, String how) {
      if (Double.isNaN(t.endedAt)) {
        t.endedAt = now();
        t.end = how;
      }
    }

    private void pause(double ms, Conn c) {
      double end = now() + ms;
      while ((!c.closed || goesOn) && (now() < end || hung)) {
        sleep(Math.max(0.2, Math.min(5, end - now())));
      }
    }

    private void chat(Conn c, Msg m, Try t, Work w) {
      running.incrementAndGet();
      try {
        if (play != null && play.serve(this, c, m, t)) {
          end(t, "played");
          return;
        } else if (role.equals("read")) {
          read(c, t, w);
        } else {
          write(c, t, w);
        }
      } catch (IOException e) {
        end(t, "broken");
      } finally {
        running.decrementAndGet();
      }
    }

    void read(Conn c, Try t, Work w) throws IOException {
      w.reading.incrementAndGet();
      try {
        pause(readMs, c);
        if (c.closed) {
          end(t, "cancelled");
          return;
        }
        w.held.put(name, now());
      } finally {
        w.reading.decrementAndGet();
      }
      end(t, "read");
      c.respond(202, "Content-Type: application/json\r\n", "{\"cached_tokens\":0}");
    }

    void write(Conn c, Try t, Work w) throws IOException {
      w.waitingWrites.incrementAndGet();
      try {
        pause(stepMs, c);
        if (c.closed && !goesOn) {
          end(t, "cancelled");
          return;
        }
        if (w.held.isEmpty() && !localRead && !role.equals("both")) {
          end(t, "declined");
          c.respond(410, "Srv-Declined: 1\r\n", "");
          return;
        } else if (w.held.isEmpty()) {
          pause(readMs, c);
        }
        w.held.clear();
        w.fetched = true;
      } finally {
        w.waitingWrites.decrementAndGet();
      }
      w.effects.incrementAndGet();
      t.ran = true;
      log("%s runs %s%s", name, w.id, c.closed ? ", its connection is closed" : "");
      c.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = 0; i < events; i++) {
        c.chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + w.id + "-" + name + "-" + i + "\"},\"finish_reason\":null}]}\n\n");
        pause(stepMs, c);
        if (c.closed) {
          end(t, "left");
          return;
        }
      }
      end(t, "served");
      c.chunk("data: {\"choices\":[],\"usage\":{\"prompt_tokens\":900,\"completion_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n");
      c.chunk("data: [DONE]\n\n");
      c.write("0\r\n\r\n");
    }

    private void other(Conn c, Msg m) {
      try {
        if (m.first.startsWith("GET /metrics/load") || m.first.startsWith("GET /alive")) {
          c.respond(200, "Content-Type: application/json\r\n", "{\"outstanding\":" + running.get() + ",\"backlog\":0,\"x0\":0.1,\"x1\":0}");
        } else if (m.first.startsWith("DELETE /kv/leases/")) {
          String id = m.first.split(" ")[1].substring("/kv/leases/".length());
          Work w = works.get(id);
          log("%s releases %s", name, id);
          if (w != null && w.waitingWrites.get() == 0) {
            w.held.clear();
          }
          c.respond(204, "", "");
        } else if (m.first.startsWith("POST /kv/leases/")) {
          String id = m.first.split(" ")[1].substring("/kv/leases/".length());
          Work w = works.get(id);
          double end = now() + 300;
          while (w != null && w.reading.get() == 0 && now() < end) {
            sleep(2);
          }
          boolean read = w != null && w.reading.get() > 0;
          if (read && places) {
            w.held.put(name + "/place", now());
          }
          log("%s asked for a place for %s: %s", name, id, read ? places : "not known");
          c.respond(read ? places ? 200 : 409 : 204, "", "");
        } else {
          log("FOREIGN %s got %s", name, m.first);
          c.respond(404, "", "");
        }
      } catch (IOException e) {
        // the connection ended
      }
    }

    String entry() {
      return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + (proxy == null ? port : proxy.port) + "\",\"site\":\"" + site + "\",\"class\":\"" + role
          + "\",\"block\":" + block + ",\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }
  }

  /** Whether writers read by themselves, whether they have places to hold, and whether begun work goes on when its connection is closed. */
  volatile boolean localRead = true, places = true, goesOn;
  /** Connections that may wait before a model server; 1 where the way to it is to be cut. */
  volatile int backlog = 100;

  Server server(String name, String role, String site, int block) throws IOException {
    Server s = new Server(name, role, site, block);
    servers.add(s);
    return s;
  }

  /** Makes many model servers at once, in cells of eight, four readers and four writers each, each at an address of its own. */
  void fleet(int size, int sites) throws IOException {
    java.nio.channels.Selector selector = java.nio.channels.Selector.open();
    for (int i = 0; i < size; i++) {
      Server s = new Server(String.format("s-%08x", i * 2654435761L & 0xffffffffL), i % 2 == 0 ? "read" : "write",
          String.valueOf((char) ('a' + i / 8 % sites)), i / 8, selector);
      servers.add(s);
    }
    pool.execute(() -> {
      try {
        while (selector.isOpen()) {
          selector.select(key -> {
            try {
              var channel = ((java.nio.channels.ServerSocketChannel) key.channel()).accept();
              if (channel != null) {
                channel.configureBlocking(true);
                Server to = (Server) key.attachment();
                Conn c = new Conn(channel.socket());
                to.conns.add(c);
                pool.execute(() -> to.serve(c));
              }
            } catch (IOException e) {
              key.cancel();
            }
          });
        }
      } catch (IOException e) {
        // the run is over
      }
    });
  }

  // ---- the network before a model server

  /** Relays connections to one model server; may stop to carry anything, in which case nothing is said and new connections never come up. */
  final class Proxy {
    final Server to;
    final int port;
    volatile ServerSocket listener;
    volatile boolean cut;
    volatile double delayMs;
    /** Bytes a second that one connection carries towards the model server; 0 is no limit. */
    volatile double bytesPerSecond;
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Socket> fillers = new ArrayList<>();

    Proxy(Server to) throws IOException {
      this.to = to;
      listener = bind(0);
      port = listener.getLocalPort();
      acceptAll(listener);
    }

    private ServerSocket bind(int p) throws IOException {
      ServerSocket s = new ServerSocket();
      s.setReuseAddress(true);
      s.setReceiveBufferSize(64 << 10);
      s.bind(new InetSocketAddress("127.0.0.1", p), backlog);
      return s;
    }

    private void acceptAll(ServerSocket on) {
      pool.execute(() -> {
        while (true) {
          try {
            while (cut) {
              sleep(2);
            }
            Socket s = on.accept();
            while (cut) {
              sleep(2);
            }
            s.setTcpNoDelay(true);
            Socket back = new Socket();
            back.setTcpNoDelay(true);
            try {
              back.connect(new InetSocketAddress("127.0.0.1", to.port), 1000);
            } catch (IOException e) {
              s.setSoLinger(true, 0);
              s.close();
              continue;
            }
            sockets.add(s);
            sockets.add(back);
            pool.execute(() -> relay(s, back, true));
            pool.execute(() -> relay(back, s, false));
          } catch (IOException e) {
            if (on.isClosed()) {
              return;
            }
          }
        }
      });
    }

    private void relay(Socket from, Socket into, boolean towards) {
      byte[] b = new byte[16 << 10];
      double free = now();
      try {
        InputStream in = from.getInputStream();
        OutputStream out = into.getOutputStream();
        for (int n = in.read(b, 0, size(towards)); n >= 0; n = in.read(b, 0, size(towards))) {
          if (towards && bytesPerSecond > 0) {
            free = Math.max(free, now()) + n * 1000 / bytesPerSecond;
            sleep(Math.max(0, free - now()));
          }
          if (delayMs > 0) {
            sleep(delayMs);
          }
          while (cut) {
            sleep(1);
          }
          out.write(b, 0, n);
          out.flush();
        }
        while (cut) {
          sleep(1);
        }
        into.close();
        from.close();
      } catch (IOException e) {
        while (cut) {
          sleep(1);
        }
        for (Socket s : List.of(from, into)) {
          try {
            s.setSoLinger(true, 0);
            s.close();
          } catch (IOException e2) {
            // closed already
          }
        }
      } finally {
        sockets.remove(from);
      }
    }

    private int size(boolean towards) {
      return towards && bytesPerSecond > 0 ? 2 << 10 : 16 << 10;
    }

    /** Cuts the way, or mends it. While it is cut, the backlog is full, so that new connections never come up. */
    synchronized void cut(boolean on) {
      log("the way to %s is %s", to.name, on ? "cut" : "mended");
      cut = on;
      try {
        if (on) {
          for (int i = 0; i < 3; i++) {
            Socket f = new Socket();
            fillers.add(f);
            try {
              f.connect(new InetSocketAddress("127.0.0.1", port), 60);
            } catch (SocketTimeoutException e) {
              break;
            }
          }
        } else {
          for (Socket f : fillers) {
            f.close();
          }
          fillers.clear();
        }
      } catch (IOException e) {
        log("cut: %s", e);
      }
    }

    void refuse() {
      try {
        listener.close();
      } catch (IOException e) {
        // closed already
      }
    }

    void open() throws IOException {
      listener = bind(port);
      acceptAll(listener);
    }

    /** Resets all connections that are open now. */
    void resetAll() {
      for (Socket s : sockets) {
        try {
          s.setSoLinger(true, 0);
          s.close();
        } catch (IOException e) {
          // closed already
        }
      }
    }

    void shut() {
      cut = false;
      refuse();
      resetAll();
    }
  }

  // ---- discovery

  /** Discovery's agent. */
  class Agent {
    volatile ServerSocket listener;
    volatile int seq = 1;
    volatile boolean silent;
    final List<Conn> watches = new CopyOnWriteArrayList<>();

    Agent() throws IOException {
      listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
      ServerSocket on = listener;
      pool.execute(() -> {
        while (true) {
          try {
            Socket s = on.accept();
            pool.execute(() -> serve(s));
          } catch (IOException e) {
            return;
          }
        }
      });
      pool.execute(() -> {
        while (!on.isClosed()) {
          sleep(2000);
          if (!silent) {
            send("\n");
          }
        }
      });
    }

    int port() {
      return listener.getLocalPort();
    }

    private void serve(Socket s) {
      try {
        Conn c = new Conn(s);
        InputStream in = new BufferedInputStream(s.getInputStream());
        while (true) {
          Msg m = readRequest(in);
          if (m == null) {
            break;
          }
          while (silent) {
            sleep(5);
          }
          log("discovery is asked %s", m.first);
          String list;
          synchronized (this) {
            list = whole();
            if (m.first.contains("stream=1")) {
              c.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
              c.chunk(list + "\n");
              watches.add(c);
            } else {
              c.respond(200, "Content-Type: application/json\r\n", list);
            }
          }
        }
        watches.remove(c);
        s.close();
      } catch (IOException e) {
        // the connection ended
      }
    }

    String whole() {
      List<String> all = new ArrayList<>();
      servers.forEach(s -> {
        if (!s.health.equals("removed")) {
          all.add(s.entry());
        }
      });
      return "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[" + String.join(",", all) + "]}";
    }

    synchronized void tell(Server... changed) {
      seq++;
      List<String> all = new ArrayList<>();
      for (Server s : changed) {
        all.add(s.entry());
        log("told: %s %s born %d", s.name, s.health, s.bornMs);
      }
      send("{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + String.join(",", all) + "]}\n");
    }

    private void send(String text) {
      for (Conn c : watches) {
        try {
          c.chunk(text);
        } catch (IOException e) {
          watches.remove(c);
        }
      }
    }

    void shut() {
      try {
        listener.close();
      } catch (IOException e) {
        // closed already
      }
      watches.forEach(Conn::reset);
    }
  }

  // ---- gateways

  final class Gateway {
    final String name;
    final int port;
    final Path config, logFile;
    final String settings;
    final int sockets;
    volatile Process process;
    /** The list of model servers that the configuration tells, or null for discovery's. */
    volatile String known;

    Gateway(String name, String settings, int sockets) throws IOException {
      this.name = name;
      this.settings = settings;
      this.sockets = sockets;
      port = freePort();
      config = tmp.resolve(name + ".json");
      logFile = tmp.resolve(name + ".log");
      gateways.add(this);
    }

    void writeConfig() throws IOException {
      String text = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + agent.port()
          + "\",\"seed\":\"" + Long.toHexString(new Random().nextLong() >>> 1) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
          + "},\"known\":" + (known == null ? agent.whole() : known) + ",\"settings\":" + settings + "}\n";
      Files.writeString(config, text);
    }

    /** Starts the gateway by the deploy file's run command and waits until it is ready. */
    boolean start() throws IOException {
      writeConfig();
      String run = null;
      for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        if (line.startsWith("run = \"")) {
          run = line.substring(7, line.lastIndexOf("\"   #") < 0 ? line.lastIndexOf('"') : line.lastIndexOf("\"   #"));
        }
      }
      ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
      Path own = Files.createDirectories(tmp.resolve(name + ".tmp"));
      b.environment().put("TMPDIR", own.toString());
      b.environment().put("LB_NAME", name);
      b.environment().put("LB_LISTEN", "127.0.0.1:" + port);
      b.environment().put("LB_DISCOVERY", "127.0.0.1:" + agent.port());
      b.environment().put("LB_CONFIG", config.toString());
      b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()));
      process = b.start();
      log("gateway %s starts as process %d", name, process.pid());
      boolean ready = await(30_000, () -> !process.isAlive() || isReady()) && process.isAlive();
      log("gateway %s is %s", name, ready ? "ready" : "not ready");
      if (!ready) {
        Files.readAllLines(logFile).stream().limit(20).forEach(line -> log("its log: %s", line));
      }
      return ready;
    }

    boolean isReady() {
      try (Socket s = new Socket()) {
        s.connect(new InetSocketAddress("127.0.0.1", port), 200);
        s.setSoTimeout(1000);
        s.getOutputStream().write(bytes("GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n"));
        String line = readLine(s.getInputStream());
        return line != null && line.contains(" 200");
      } catch (IOException e) {
        return false;
      }
    }

    void signal(String name) {
      log("SIG%s to %s", name, this.name);
      try {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).inheritIO().start().waitFor();
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    void kill() {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor();
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    boolean alive() {
      return process != null && process.isAlive();
    }
  }

  /** A free port outside of the range that the system gives to connections, as the gateway binds it a moment later. */
  static int freePort() throws IOException {
    Random random = new Random();
    for (int i = 0; i < 200; i++) {
      try (ServerSocket s = new ServerSocket(12_000 + random.nextInt(18_000), 1, InetAddress.getByName("127.0.0.1"))) {
        return s.getLocalPort();
      } catch (BindException e) {
        continue;
      }
    }
    throw new IOException("no free port");
  }

  // ---- clients

  static final class Answer {
    int status;
    double firstAt = Double.NaN, endAt = Double.NaN;
    boolean whole, anything;
    String text = "", error = "";
    Map<String, String> headers = Map.of();
    final List<Double> eventAt = new ArrayList<>();

    @Override
    public String toString() {
      return String.format(Locale.ROOT, "status=%d first=%.0f end=%.0f whole=%b %s", status, firstAt, endAt, whole, error);
    }
  }

  /** A client's connection. */
  final class Client implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Client(int port) throws IOException {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
      in = new BufferedInputStream(socket.getInputStream(), 64 << 10);
      out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      out.write(bytes(text));
      out.flush();
    }

    /** Reads one answer; gives up after some time. */
    Answer read(double giveUpMs) {
      Answer a = new Answer();
      try {
        socket.setSoTimeout((int) Math.max(1, giveUpMs));
        Msg head = readHead(in);
        if (head == null) {
          a.error = "closed";
          a.endAt = now();
          return a;
        }
        a.anything = true;
        a.firstAt = now();
        a.status = Integer.parseInt(head.first.split(" ")[1]);
        a.headers = head.headers;
        if ("chunked".equalsIgnoreCase(head.h("transfer-encoding"))) {
          ByteArrayOutputStream all = new ByteArrayOutputStream();
          while (true) {
            String size = readLine(in);
            if (size == null) {
              a.error = "cut off";
              break;
            }
            int n = Integer.parseInt(size.trim(), 16);
            byte[] b = in.readNBytes(n);
            if (b.length < n) {
              a.error = "cut off";
              break;
            }
            a.eventAt.add(now());
            all.writeBytes(b);
            if (readLine(in) == null) {
              a.error = "cut off";
              break;
            }
            if (n == 0) {
              a.whole = true;
              break;
            }
          }
          a.text = all.toString(StandardCharsets.UTF_8);
        } else {
          int n = Integer.parseInt(head.headers.getOrDefault("content-length", "0"));
          byte[] b = in.readNBytes(n);
          a.whole = b.length == n;
          a.text = new String(b, StandardCharsets.UTF_8);
        }
      } catch (SocketTimeoutException e) {
        a.error = "no answer";
      } catch (IOException e) {
        a.error = "reset";
      }
      a.endAt = now();
      return a;
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // closed already
      }
    }
  }

  static final AtomicLong NEXT = new AtomicLong();

  String newId() {
    String id = String.format("%08x%08x", new Random().nextInt(), NEXT.incrementAndGet());
    work(id);
    return id;
  }

  /** Settings with the classes of a deployment in place of the one class. */
  static String withClasses(String settings, String classes) {
    int from = settings.indexOf("\"classes\":["), to = settings.indexOf("\"projects\"");
    return settings.substring(0, from) + "\"classes\":[" + classes + "]," + settings.substring(to);
  }

  static String clazz(String name, String repeat, String group, int windowMs, int sloMs, int giveUpMs, double worth) {
    return "{\"name\":\"" + name + "\",\"repeat\":\"" + repeat + "\",\"group\":\"" + group + "\",\"windowUs\":" + windowMs + "000,\"sloUs\":"
        + sloMs + "000,\"giveUpUs\":" + giveUpMs + "000,\"worth\":" + worth + ",\"lateWorth\":0.3,\"stream\":true}";
  }

  static String request(String id, String kind, String owner, int deadlineMs, int promptTokens, String body) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind + "\r\nReq-Owner: " + owner
        + "\r\nReq-Key: " + id + "\r\nReq-Deadline-Ms: " + deadlineMs + "\r\nReq-Extra: prompt_len=" + promptTokens
        + ",prefix_len=0,max_out=80\r\nContent-Type: application/json\r\nContent-Length: " + bytes(body).length + "\r\n\r\n" + body;
  }

  static final String BODY = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":80,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";

  /** Settings of a small deployment. */
  static String settings(String repeat, String group, int windowMs, int giveUpMs, int releaseMs, int drainMs, boolean copies, boolean resume,
      boolean localRead, boolean ahead, boolean probes, boolean cancel) {
    return "{\"balancers\":2,\"tickUs\":4000,\"locality\":0,\"localities\":[\"a\",\"b\"],\"kinds\":[\"read\",\"write\",\"both\"],"
        + "\"classes\":[{\"name\":\"talk\",\"repeat\":\"" + repeat + "\",\"group\":\"" + group + "\",\"windowUs\":" + windowMs + "000,\"sloUs\":1500000,"
        + "\"giveUpUs\":" + giveUpMs + "000,\"worth\":1.0,\"lateWorth\":0.3,\"stream\":true}],"
        + "\"projects\":[{\"name\":\"town\",\"portion\":1.0,\"quotaRps\":1000.0}],\"overShareWorth\":0.2,\"registryMode\":\"pushed\","
        + "\"family\":\"twostage\",\"familyInfo\":{\"ahead\":" + ahead + ",\"localRead\":" + localRead + ",\"resume\":" + resume + ",\"releaseWithinUs\":"
        + releaseMs + "000,\"roleByKind\":[\"read\",\"write\",\"both\"],\"memoryTokens\":[200000,200000,200000],"
        + "\"reportX0\":\"share of memory that is held\",\"reportX1\":\"thousands of prompt tokens waiting to be read or fetched\","
        + "\"aimUsPer1000PromptTokens\":[40000.0],\"tokenAimUs\":[60000.0]},"
        + "\"guarantees\":{\"answerSlackUs\":16000,\"drainGraceUs\":" + drainMs + "000,\"mustAskInUs\":10000000,\"startCapacity\":0.25,\"warmUpUs\":10000000,"
        + "\"tipMultiple\":4.0,\"fallUs\":2000000},\"policyLimits\":{\"connIdleUs\":15000000,\"connectTimeoutUs\":250000,\"maxAttempts\":4,"
        + "\"maxRetryAfterUs\":2000000,\"mayCancel\":" + cancel + ",\"mayDuplicate\":" + copies + ",\"mayProbe\":" + probes
        + ",\"peers\":false,\"retryAfter\":false,\"streamsPerConn\":100},"
        + "\"stats\":{\"source\":\"" + (probes ? "pull" : "silent") + "\",\"columns\":[\"outstanding\",\"backlog\",\"x0\",\"x1\"]}}";
  }
}
