package gapproxy.soak;

import gapproxy.standin.PlatformSite;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Plays clients with large requests, and usual clients beside them, through one gateway process. Its model servers read the large requests
 * slowly and may answer them before they have read them.
 */
final class EarlyAnswerPlay implements AutoCloseable {
  /** How a model server answers a large request. */
  enum Answer {
    /** Turned away after its first bytes. */
    EARLY_DECLINE,
    /** Failed after its first bytes. */
    EARLY_ERROR,
    /** Served after its first bytes, with a whole stream or the result of a read. */
    EARLY_SUCCESS,
    /** Served once it was read. */
    WHEN_READ
  }

  /**
   * What became of the requests of some clients.
   *
   * @param whole answers that came whole
   * @param refused answers of 429 and 503
   * @param other requests that got something else or nothing
   * @param longestMs the longest time until a request's end
   */
  record Outcome(int whole, int refused, int other, long longestMs) {
    private Outcome plus(Outcome more) {
      return new Outcome(whole + more.whole, refused + more.refused, other + more.other, Math.max(longestMs, more.longestMs));
    }
  }

  /** The outcomes of both kinds of clients. */
  record Result(Outcome usual, Outcome large, int connectionsOpened) {}

  private static final int LARGE_BODY_BYTES = 256 << 10, LARGE_FROM_BYTES = 100_000, EARLY_BYTES = 8_000, SERVER_BUFFER_BYTES = 4 << 10,
      SERVERS_OF_ROLE = 4, USUAL_DEADLINE_MS = 3000;
  private static final String EVENT_STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      READ_DONE = "HTTP/1.1 202 Accepted\r\nContent-Length: 21\r\n\r\n{\"cached_tokens\":128}";

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<ServerSocket> servers = new ArrayList<>();
  private final GatewayProcess gateway;
  private final int bytesPerSecond;
  private final Answer answer;
  private final AtomicInteger opened = new AtomicInteger();

  EarlyAnswerPlay(Path dir, Answer answer, int bytesPerSecond) throws IOException, InterruptedException {
    this.answer = answer;
    this.bytesPerSecond = bytesPerSecond;
    gateway = new GatewayProcess("n0", dir);
    StringBuilder hosts = new StringBuilder();
    for (int i = 0; i < 2 * SERVERS_OF_ROLE; i++) {
      boolean reader = i < SERVERS_OF_ROLE;
      int port = listen(SERVER_BUFFER_BYTES, socket -> serve(socket, reader));
      hosts.append(i == 0 ? "" : ",").append("{\"host\":\"s-" + i + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"here\",\"class\":\""
          + (reader ? "reading" : "writing") + "\",\"block\":0,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}");
    }
    String list = "{\"seq\":1,\"whole\":true,\"hosts\":[" + hosts + "]}";
    int discovery = listen(0, socket -> serveDiscovery(socket, list));
    gateway.configure("""
        {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"2a","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "known":%s,"settings":%s}""".formatted(gateway.port, discovery, list, PlatformSite.SETTINGS));
    gateway.start();
    if (!gateway.awaitReady()) {
      throw new IOException("the gateway is not ready, see " + gateway.log());
    }
  }

  GatewayProcess gateway() {
    return gateway;
  }

  /** Serves one connection. */
  private interface Handler {
    void handle(Socket socket) throws IOException, InterruptedException;
  }

  private int listen(int receiveBufferBytes, Handler handler) throws IOException {
    ServerSocket server = new ServerSocket();
    if (receiveBufferBytes > 0) {
      server.setReceiveBufferSize(receiveBufferBytes);
    }
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
    servers.add(server);
    threads.submit(() -> {
      while (!server.isClosed()) {
        Socket socket = server.accept();
        threads.submit(() -> {
          try (socket) {
            handler.handle(socket);
          } catch (IOException | InterruptedException e) {
            return;                                           // the gateway closed the connection, or the play is over
          }
        });
      }
      return null;
    });
    return server.getLocalPort();
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private void serveDiscovery(Socket socket, String list) throws IOException, InterruptedException {
    socket.getInputStream().read();
    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n");
    for (;;) {
      TimeUnit.SECONDS.sleep(1);
      write(socket, "1\r\n\n\r\n");
    }
  }

  /** The head of a message. */
  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      int b = in.read();
      if (b < 0) {
        throw new IOException("closed");
      }
      head.append((char) b);
    }
    return head.toString();
  }

  private static int length(String head) {
    int at = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
    return at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
  }

  private void serve(Socket socket, boolean reader) throws IOException, InterruptedException {
    opened.incrementAndGet();
    socket.setTcpNoDelay(true);
    InputStream in = new BufferedInputStream(socket.getInputStream(), 512);
    for (;;) {
      String head = readHead(in);
      int length = length(head);
      if (length < LARGE_FROM_BYTES) {
        in.readNBytes(length);
        answerUsual(socket, head, reader);
      } else {
        answerLarge(socket, in, length, reader);
      }
    }
  }

  private void answerUsual(Socket socket, String head, boolean reader) throws IOException, InterruptedException {
    if (head.startsWith("GET ")) {
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n{\"outstanding\":1,\"backlog\":0,\"x0\":0,\"x1\":0}");
    } else if (head.startsWith("DELETE ")) {
      write(socket, "HTTP/1.1 204 No Content\r\n\r\n");
    } else if (head.startsWith("POST /kv/")) {
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    } else {
      TimeUnit.MILLISECONDS.sleep(5);
      succeed(socket, reader);
    }
  }

  private static void succeed(Socket socket, boolean reader) throws IOException {
    write(socket, reader ? READ_DONE : EVENT_STREAM + chunk(PlatformSite.eventText(1)) + chunk(PlatformSite.STREAM_END) + "0\r\n\r\n");
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private void answerLarge(Socket socket, InputStream in, int length, boolean reader) throws IOException, InterruptedException {
    int early = answer == Answer.WHEN_READ ? length : EARLY_BYTES;
    readSlowly(in, early);
    switch (answer) {
      case EARLY_DECLINE -> write(socket, "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
      case EARLY_ERROR -> write(socket, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n");
      default -> succeed(socket, reader);
    }
    readSlowly(in, length - early);
  }

  private void readSlowly(InputStream in, int bytes) throws IOException, InterruptedException {
    int pieceBytes = Math.max(1, bytesPerSecond / 100);
    for (int total = 0; total < bytes; ) {
      int count = in.readNBytes(Math.min(pieceBytes, bytes - total)).length;
      if (count == 0) {
        throw new IOException("closed");
      }
      total += count;
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  private static byte[] request(String id, int promptTokens, int deadlineMs, int bodyBytes) {
    return ("POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nReq-Id: " + id + "\r\nReq-Kind: talk\r\nReq-Owner: town\r\nReq-Key: "
        + Integer.toHexString(id.hashCode()) + "\r\nReq-Deadline-Ms: " + deadlineMs + "\r\nReq-Extra: prompt_len=" + promptTokens
        + ",prefix_len=0,max_out=80\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes)).getBytes(StandardCharsets.US_ASCII);
  }

  /** Sends requests one after the other, each on a connection of its own, until a time. */
  private Outcome ask(String name, int promptTokens, int deadlineMs, int bodyBytes, long untilNanos) throws IOException, InterruptedException {
    Outcome outcome = new Outcome(0, 0, 0, 0);
    for (int i = 0; System.nanoTime() < untilNanos; i++) {
      long sentNanos = System.nanoTime();
      String answer = "";
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), gateway.port)) {
        socket.setSoTimeout(deadlineMs + 10_000);
        socket.getOutputStream().write(request(name + "-" + i, promptTokens, deadlineMs, bodyBytes));
        answer = readAnswer(new BufferedInputStream(socket.getInputStream()));
      } catch (IOException e) {
        answer = "";
      }
      long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
      boolean refused = answer.startsWith("HTTP/1.1 429") || answer.startsWith("HTTP/1.1 503");
      boolean whole = answer.startsWith("HTTP/1.1 200") && answer.contains("[DONE]") && answer.endsWith("0\r\n\r\n");
      outcome = outcome.plus(new Outcome(whole ? 1 : 0, refused ? 1 : 0, whole || refused ? 0 : 1, ms));
      TimeUnit.MILLISECONDS.sleep(refused ? 50 : 5);
    }
    return outcome;
  }

  private static String readAnswer(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder(readHead(in));
    if (!text.toString().startsWith("HTTP/1.1 200")) {
      return text.toString();
    }
    for (int b = in.read(); b >= 0; b = in.read()) {
      text.append((char) b);
      if (b == '\n' && text.length() > 5 && text.substring(text.length() - 5).equals("0\r\n\r\n")) {
        break;
      }
    }
    return text.toString();
  }

  /** Plays both kinds of clients side by side. */
  Result play(int usualClients, int largeClients, int largeDeadlineMs, int largePromptTokens, Duration length) throws Exception {
    long until = System.nanoTime() + length.toNanos();
    List<Future<Outcome>> usual = new ArrayList<>(), large = new ArrayList<>();
    for (int i = 0; i < largeClients; i++) {
      String name = "large" + i;
      large.add(threads.submit((Callable<Outcome>) () -> ask(name, largePromptTokens, largeDeadlineMs, LARGE_BODY_BYTES, until)));
    }
    for (int i = 0; i < usualClients; i++) {
      String name = "usual" + i;
      usual.add(threads.submit((Callable<Outcome>) () -> ask(name, 900, USUAL_DEADLINE_MS, 100, until)));
    }
    return new Result(sum(usual), sum(large), opened.get());
  }

  private static Outcome sum(List<Future<Outcome>> outcomes) throws Exception {
    Outcome sum = new Outcome(0, 0, 0, 0);
    for (Future<Outcome> outcome : outcomes) {
      sum = sum.plus(outcome.get());
    }
    return sum;
  }

  @Override
  public void close() throws IOException, InterruptedException {
    threads.shutdownNow();
    for (ServerSocket server : servers) {
      server.close();
    }
    gateway.kill();
    gateway.releasePort();
  }

  /**
   * Prints the outcomes of one play. Arguments: folder, answer, bytes per second, usual clients, large clients, their deadline in ms, their prompt
   * in tokens, seconds.
   */
  public static void main(String[] args) throws Exception {
    try (EarlyAnswerPlay play = new EarlyAnswerPlay(Path.of(args[0]), Answer.valueOf(args[1]), Integer.parseInt(args[2]))) {
      System.out.println(args[1] + " " + play.play(Integer.parseInt(args[3]), Integer.parseInt(args[4]), Integer.parseInt(args[5]),
          Integer.parseInt(args[6]), Duration.ofSeconds(Long.parseLong(args[7]))));
    }
    System.exit(0);
  }
}
