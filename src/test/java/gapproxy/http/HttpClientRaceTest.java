package gapproxy.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.Filter;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Races in the HTTP client, on loopback. The test acts as the server and controls each byte that the server sends. */
class HttpClientRaceTest {
  private static final String VALID_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  private static final int BODY_BEYOND_SOCKET_BUFFERS = 32 << 20;
  private LiveLoop loop;
  private LiveNet net;
  private HttpClient http;
  private ServerSocket server;

  @BeforeEach
  void start() throws Exception {
    loop = new LiveLoop("client");
    net = new LiveNet("client-net", 1);
    loop.runAndWait(() -> http = new HttpClient(loop, net, Duration.ofSeconds(20)));
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    server.setSoTimeout(5_000);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    loop.close();
    net.close();
  }

  private record Result(int status, String body, HttpClient.Failure failure) {}

  private CompletableFuture<Result> ask(HttpClient client, BooleanSupplier wanted) {
    CompletableFuture<Result> result = new CompletableFuture<>();
    loop.execute(() -> client.fetch(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "GET", "/", Map.of(),
        new byte[0], Duration.ofSeconds(5), Duration.ofSeconds(10), 1 << 20, false, wanted,
        (status, h, body, failure, why) -> result.complete(new Result(status, new String(body, StandardCharsets.ISO_8859_1), failure))));
    return result;
  }

  private CompletableFuture<Result> ask() {
    return ask(http, () -> true);
  }

  private Socket accept() throws IOException {
    Socket socket = server.accept();
    socket.setSoTimeout(5_000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  /** Reads a complete request, or returns null if the connection ends. */
  private static String readRequest(Socket socket) throws IOException {
    StringBuilder request = new StringBuilder();
    while (!request.toString().endsWith("\r\n\r\n")) {
      int nextByte = socket.getInputStream().read();
      if (nextByte < 0) {
        return null;
      }
      request.append((char) nextByte);
    }
    return request.toString();
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static void pause(int millis) throws InterruptedException {
    new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
  }

  private void awaitIdleConnections(int count) throws InterruptedException {
    InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    int[] idle = new int[1];
    for (int i = 0; i < 500 && idle[0] < count; i++) {
      pause(10);
      loop.runAndWait(() -> idle[0] = http.idleConnections(address));
    }
    assertEquals(count, idle[0]);
  }

  private void assertNextRequestUsesNewConnection() throws Exception {
    CompletableFuture<Result> next = ask();
    try (Socket socket = accept()) {
      readRequest(socket);
      send(socket, VALID_RESPONSE);
      assertEquals(new Result(200, "hello", null), next.get(5, TimeUnit.SECONDS));
    }
  }

  /** A loop that runs what is posted on its own thread later than what other threads post. */
  private record OwnTasksLateLoop(LiveLoop loop, Thread thread) implements Loop {
    private static final Duration DELAY = Duration.ofMillis(200);

    @Override
    public Duration now() {
      return loop.now();
    }

    @Override
    public Instant wallClock() {
      return loop.wallClock();
    }

    @Override
    public void execute(Runnable task) {
      if (Thread.currentThread() == thread) {
        loop.after(DELAY, task);
      } else {
        loop.execute(task);
      }
    }

    @Override
    public Timer after(Duration delay, Runnable task) {
      return loop.after(delay, task);
    }

    @Override
    public void whenIdle(Runnable task) {
      loop.whenIdle(task);
    }
  }

  /** A request that had been written was told as never sent if its connection ended at once, so that it might have run twice. */
  @Test
  void requestThatWasWrittenMayHaveRunThoughItsConnectionEndsAtOnce() throws Exception {
    Thread[] thread = new Thread[1];
    loop.runAndWait(() -> thread[0] = Thread.currentThread());
    HttpClient client = new HttpClient(new OwnTasksLateLoop(loop, thread[0]), net, Duration.ofSeconds(20));
    CompletableFuture<Result> result = ask(client, () -> true);
    try (Socket socket = accept()) {
      readRequest(socket);
    }
    assertEquals(HttpClient.Failure.BROKEN, result.get(5, TimeUnit.SECONDS).failure());
  }

  /** Bytes received on an idle connection close it, so that they are not taken for the next response. */
  @Test
  void bytesOnIdleConnectionCloseIt() throws Exception {
    for (String unsolicited : List.of("H", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\n", VALID_RESPONSE, "\u0000")) {
      loop.runAndWait(() -> http.closeIdle(null));
      CompletableFuture<Result> first = ask();
      try (Socket socket = accept()) {
        readRequest(socket);
        send(socket, VALID_RESPONSE);
        assertEquals("hello", first.get(5, TimeUnit.SECONDS).body());
        pause(50);                                            // the connection is idle in the pool by now
        send(socket, unsolicited);
        try {
          assertEquals(null, readRequest(socket), "connection is reused after " + unsolicited);
        } catch (java.net.SocketException e) {
          assertTrue(e.getMessage().contains("reset"), e.getMessage());
        }
        assertNextRequestUsesNewConnection();
      }
    }
  }

  private void answerAndAwait(CompletableFuture<Result> result, Socket socket) throws Exception {
    readRequest(socket);
    send(socket, VALID_RESPONSE);
    assertEquals("hello", result.get(5, TimeUnit.SECONDS).body());
  }

  /** If a request gets no response, older idle connections may be dead as well, so none of them is reused. */
  @Test
  void unresponsiveRequestClosesOlderIdleConnections() throws Exception {
    CompletableFuture<Result> first = ask();
    CompletableFuture<Result> second = ask();
    try (Socket firstSocket = accept(); Socket secondSocket = accept()) {
      for (Socket socket : List.of(firstSocket, secondSocket)) {
        readRequest(socket);
        send(socket, VALID_RESPONSE);
      }
      first.get(5, TimeUnit.SECONDS);
      second.get(5, TimeUnit.SECONDS);
      awaitIdleConnections(2);
      HttpClient.Call[] call = new HttpClient.Call[1];
      loop.runAndWait(() -> call[0] = http.call(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "GET", "/silent",
          Map.of(), new byte[0], Duration.ofSeconds(5), new BufferedResponseListener(100, (status, h, body, failure, why) -> { })));
      pause(50);
      loop.runAndWait(() -> call[0].cancelUnresponsive());
      assertNextRequestUsesNewConnection();
    }
  }

  /** A caller can demand a new connection, in case every idle one is dead. */
  @Test
  void requestCanForceNewConnection() throws Exception {
    CompletableFuture<Result> first = ask();
    try (Socket pooledSocket = accept()) {
      answerAndAwait(first, pooledSocket);
      pause(50);
      CompletableFuture<Result> result = new CompletableFuture<>();
      loop.execute(() -> http.fetch(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "DELETE", "/", Map.of(),
          new byte[0], Duration.ofSeconds(5), Duration.ofSeconds(10), 1 << 20, true, () -> true,
          (status, h, body, failure, why) -> result.complete(new Result(status, new String(body, StandardCharsets.ISO_8859_1), failure))));
      try (Socket newSocket = accept()) {
        answerAndAwait(result, newSocket);
      }
    }
  }

  @Test
  void partialLineAfterResponseClosesConnection() throws Exception {
    CompletableFuture<Result> first = ask();
    try (Socket socket = accept()) {
      readRequest(socket);
      send(socket, VALID_RESPONSE + "HTTP/1.1 2");
      assertEquals("hello", first.get(5, TimeUnit.SECONDS).body());
      assertNextRequestUsesNewConnection();
    }
  }

  @Test
  void pooledConnectionClosedBeforeLoopNotices() throws Exception {
    CompletableFuture<Result> first = ask();
    try (Socket pooledSocket = accept()) {
      readRequest(pooledSocket);
      send(pooledSocket, VALID_RESPONSE);
      first.get(5, TimeUnit.SECONDS);
      pause(50);
      CountDownLatch loopBlocked = new CountDownLatch(1);
      CountDownLatch unblockLoop = new CountDownLatch(1);
      loop.execute(() -> {
        loopBlocked.countDown();
        try {
          assertTrue(unblockLoop.await(5, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      });
      assertTrue(loopBlocked.await(5, TimeUnit.SECONDS));
      CompletableFuture<Result> next = ask();                 // started by the loop before it learns of the close
      pooledSocket.close();
      pause(100);
      unblockLoop.countDown();
      try (Socket newSocket = accept()) {
        readRequest(newSocket);
        send(newSocket, VALID_RESPONSE);
        assertEquals(new Result(200, "hello", null), next.get(5, TimeUnit.SECONDS));
      }
    }
  }

  /** Makes a client that learns of an established connection only when {@code gate} is counted down. */
  private HttpClient clientWithDelayedConnects(CountDownLatch gate, CountDownLatch connected) {
    Net gated = new Net() {
      @Override
      public Port listen(InetSocketAddress address, Supplier<List<Filter>> filters) throws IOException {
        return net.listen(address, filters);
      }

      @Override
      public void connect(InetSocketAddress address, Supplier<List<Filter>> filters, ConnectListener listener) {
        net.connect(address, filters, new ConnectListener() {
          @Override
          public void connected(Connection<?> connection) {
            Thread thread = new Thread(() -> {
              try {
                assertTrue(gate.await(5, TimeUnit.SECONDS));
              } catch (InterruptedException e) {
                throw new IllegalStateException(e);
              }
              listener.connected(connection);
              connected.countDown();
            });
            thread.setDaemon(true);
            thread.start();
          }

          @Override
          public void failed(IOException why) {
            listener.failed(why);
          }
        });
      }

      @Override
      public void setReading(Connection<?> connection, boolean on) {
        net.setReading(connection, on);
      }
    };
    HttpClient[] client = new HttpClient[1];
    loop.runAndWait(() -> client[0] = new HttpClient(loop, gated, Duration.ofSeconds(20)));
    return client[0];
  }

  @Test
  void unwantedRequestIsNotSentAfterLateConnect() throws Exception {
    CountDownLatch gate = new CountDownLatch(1);
    CountDownLatch connected = new CountDownLatch(1);
    HttpClient client = clientWithDelayedConnects(gate, connected);
    boolean[] wanted = {true};
    CompletableFuture<Result> first = ask(client, () -> wanted[0]);
    try (Socket socket = accept()) {
      loop.runAndWait(() -> wanted[0] = false);
      gate.countDown();
      assertEquals(HttpClient.Failure.NOT_WANTED, first.get(5, TimeUnit.SECONDS).failure());
      pause(50);
      CompletableFuture<Result> next = ask(client, () -> true); // uses the first request's connection
      assertTrue(readRequest(socket).startsWith("GET / "));
      send(socket, VALID_RESPONSE);
      assertEquals(new Result(200, "hello", null), next.get(5, TimeUnit.SECONDS));
    }
  }

  @Test
  void headersAreMadeWhenConnectionIsReady() throws Exception {
    CountDownLatch gate = new CountDownLatch(1);
    HttpClient client = clientWithDelayedConnects(gate, new CountDownLatch(1));
    String[] headerValue = {"2000"};
    loop.execute(() -> client.call(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "GET", "/",
        () -> Map.of("Left", headerValue[0]), new byte[0], Duration.ofSeconds(5),
        new BufferedResponseListener(1, (status, h, body, failure, why) -> { })));
    try (Socket socket = accept()) {
      loop.runAndWait(() -> headerValue[0] = "1500");
      gate.countDown();
      assertTrue(readRequest(socket).contains("1500"));
    }
  }

  @Test
  void cancelBeforeLateConnectSendsNothing() throws Exception {
    CountDownLatch gate = new CountDownLatch(1);
    CountDownLatch connected = new CountDownLatch(1);
    HttpClient client = clientWithDelayedConnects(gate, connected);
    HttpClient.Call[] call = new HttpClient.Call[1];
    loop.runAndWait(() -> call[0] = client.call(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "GET", "/", Map.of(),
        new byte[0], Duration.ofSeconds(5), new BufferedResponseListener(1, (status, h, body, failure, why) -> { })));
    try (Socket socket = accept()) {
      loop.runAndWait(call[0]::cancel);
      gate.countDown();
      assertTrue(connected.await(5, TimeUnit.SECONDS));
      assertEquals(null, readRequest(socket), "closed without a byte");
    }
  }

  /** Opens a connection that nothing is sent on; all connections have one reading thread. */
  private Connection<?> connectUnused() throws Exception {
    CompletableFuture<Connection<?>> connected = new CompletableFuture<>();
    net.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), List::of, new Net.ConnectListener() {
      @Override
      public void connected(Connection<?> connection) {
        connected.complete(connection);
      }

      @Override
      public void failed(IOException why) {
        connected.completeExceptionally(why);
      }
    });
    accept();
    return connected.get(5, TimeUnit.SECONDS);
  }

  /** A second answer that had come in time, but was not read yet, passed as the answer to the next request. */
  @Test
  void secondAnswerIsSeenThoughTheReadingThreadIsBehind() throws Exception {
    Connection<?> unused = connectUnused();
    for (int delayMs : new int[] {0, 5, 20, 40}) {
      loop.runAndWait(() -> http.closeIdle(null));
      CompletableFuture<Result> first = ask();
      try (Socket socket = accept()) {
        readRequest(socket);
        send(socket, VALID_RESPONSE);
        assertEquals("hello", first.get(5, TimeUnit.SECONDS).body());
        net.runOnReadingThread(unused, () -> {
          try {
            pause(200);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
        pause(delayMs);
        send(socket, VALID_RESPONSE.replace("hello", "other"));
        pause(80 - delayMs);                                  // the connection would be in the pool by now
        assertNextRequestUsesNewConnection();
      }
    }
  }

  private CompletableFuture<Result> post(byte[] body) {
    CompletableFuture<Result> result = new CompletableFuture<>();
    loop.execute(() -> http.fetch(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), "POST", "/", Map.of(), body,
        Duration.ofSeconds(5), Duration.ofSeconds(10), 1 << 20,
        (status, h, answer, failure, why) -> result.complete(new Result(status, new String(answer, StandardCharsets.ISO_8859_1), failure))));
    return result;
  }

  /** Requests stood behind the rest of an earlier one that its server had answered before reading it, until their deadline. */
  @Test
  void connectionIsNotReusedBeforeItsRequestWasWritten() throws Exception {
    server.setReceiveBufferSize(4 << 10);
    CompletableFuture<Result> first = post(new byte[BODY_BEYOND_SOCKET_BUFFERS]);
    try (Socket early = accept()) {
      readRequest(early);
      early.getOutputStream().write(VALID_RESPONSE.getBytes(StandardCharsets.US_ASCII));
      assertEquals(new Result(200, "hello", null), first.get(5, TimeUnit.SECONDS), "the early answer stands");
      TimeUnit.MILLISECONDS.sleep(100);                       // past the time after which a connection is reused
      CompletableFuture<Result> second = ask();
      try (Socket other = accept()) {
        readRequest(other);
        other.getOutputStream().write(VALID_RESPONSE.getBytes(StandardCharsets.US_ASCII));
        assertEquals(new Result(200, "hello", null), second.get(5, TimeUnit.SECONDS));
      }
      long received = 0;
      try {
        for (int n = early.getInputStream().read(new byte[64 << 10]); n >= 0; n = early.getInputStream().read(new byte[64 << 10])) {
          received += n;
        }
      } catch (SocketException e) {
        assertTrue(received < BODY_BEYOND_SOCKET_BUFFERS);    // reset: what was not written was dropped
      }
      assertTrue(received < BODY_BEYOND_SOCKET_BUFFERS, "the rest was written on");
    }
  }

  @Test
  void connectionIsReusedWhenItsAnswerFollowsTheLastByteAtOnce() throws Exception {
    int bytes = 200_000;
    CompletableFuture<Result> pending = post(new byte[bytes]);
    try (Socket only = accept()) {
      for (int i = 0; i < 20; i++) {
        readRequest(only);
        only.getInputStream().readNBytes(bytes);
        only.getOutputStream().write(VALID_RESPONSE.getBytes(StandardCharsets.US_ASCII));
        assertEquals(200, pending.get(5, TimeUnit.SECONDS).status());
        TimeUnit.MILLISECONDS.sleep(100);
        pending = post(new byte[bytes]);
      }
    }
    assertEquals(1, http.openedConnections());
  }
}
