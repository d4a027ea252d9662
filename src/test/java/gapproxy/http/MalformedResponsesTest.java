package gapproxy.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** How the HTTP client handles malformed or unsolicited responses, sent as raw bytes on a connection that stays open. */
class MalformedResponsesTest {
  private static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  /** As long as a body that is kept may be, see {@link #ask}. */
  private static final int MAX_STATED_BYTES = 1 << 20;
  private static final String VALID_RESPONSE = CHUNKED_HEAD + "5\r\nhello\r\n0\r\n\r\n";
  private final List<Socket> accepted = new ArrayList<>();
  private LiveLoop loop;
  private LiveNet net;
  private HttpClient http;
  private ServerSocket server;
  private volatile String answer = "";
  private volatile boolean closesInsteadOfAnswering;
  private volatile int writeBytes = Integer.MAX_VALUE;        // bytes per write
  private volatile long answerDelayMs, secondAnswerDelayMs;
  private volatile List<String> secondAnswer = List.of();      // pieces written after the answer, each with the delay
  private volatile int floodWrites;                           // blocks of 64 KiB written after the answer

  @BeforeEach
  void start() throws IOException {
    loop = new LiveLoop("client");
    net = new LiveNet("client-net", 1);
    loop.runAndWait(() -> http = new HttpClient(loop, net, Duration.ofSeconds(5)));
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::acceptConnections, "raw");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket socket = server.accept();
        synchronized (accepted) {
          accepted.add(socket);
        }
        Thread thread = new Thread(() -> serveConnection(socket), "raw-one");
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException e) {
      return;                                                 // the test is over
    }
  }

  private void serveConnection(Socket socket) {
    try {
      byte[] readBuffer = new byte[4096];
      OutputStream out = socket.getOutputStream();
      socket.setTcpNoDelay(true);
      while (socket.getInputStream().read(readBuffer) > 0) {
        if (closesInsteadOfAnswering) {
          socket.close();
          return;
        }
        pause(answerDelayMs);
        byte[] bytes = answer.getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length; i += writeBytes) {
          out.write(bytes, i, Math.min(writeBytes, bytes.length - i));
          LockSupport.parkNanos(writeBytes < bytes.length ? 200_000 : 0);
        }
        for (String piece : secondAnswer) {
          pause(secondAnswerDelayMs);
          out.write(piece.getBytes(StandardCharsets.ISO_8859_1));
        }
        byte[] flood = "x".repeat(64 << 10).getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < floodWrites; i++) {
          out.write(flood);
        }
      }
    } catch (IOException e) {
      return;                                                 // closed by the client
    }
  }

  private static void pause(long ms) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ms));
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    synchronized (accepted) {
      for (Socket socket : accepted) {
        socket.close();
      }
    }
    loop.close();
    net.close();
  }

  private record Result(int status, String body, HttpClient.Failure failure) {}

  private Result ask() throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    Result[] result = new Result[1];
    loop.execute(() -> http.call(new InetSocketAddress("127.0.0.1", server.getLocalPort()), "GET", "/", Map.of(), new byte[0],
        Duration.ofSeconds(5), new BufferedResponseListener(1 << 20, (status, h, body, failure, why) -> {
          result[0] = new Result(status, new String(body, StandardCharsets.ISO_8859_1), failure);
          done.countDown();
        })));
    assertTrue(done.await(5, TimeUnit.SECONDS), "no result for " + answer);
    return result[0];
  }

  /** A body that is passed on as it comes has no limit as a whole, but each length that is stated for it has. */
  private Result askForStream() throws Exception {
    CompletableFuture<Result> result = new CompletableFuture<>();
    loop.execute(() -> http.call(new InetSocketAddress("127.0.0.1", server.getLocalPort()), "GET", "/", Map.of(), new byte[0],
        Duration.ofSeconds(5), new HttpClient.Listener() {
          private final StringBuilder body = new StringBuilder();
          private int status;

          @Override
          public long maxStatedBytes() {
            return MAX_STATED_BYTES;
          }

          @Override
          public void head(int s, Map<String, String> headers) {
            status = s;
          }

          @Override
          public void data(byte[] bytes) {
            body.append(new String(bytes, StandardCharsets.ISO_8859_1));
          }

          @Override
          public void end() {
            result.complete(new Result(status, body.toString(), null));
          }

          @Override
          public void failed(HttpClient.Failure how, String why) {
            result.complete(new Result(0, "", how));
          }
        }));
    return result.get(5, TimeUnit.SECONDS);
  }

  private void assertResponseFails(String response) throws Exception {
    int flood = floodWrites;
    answer = response;
    assertEquals(HttpClient.Failure.BROKEN, askForStream().failure(), "passed on: " + response.substring(0, Math.min(60, response.length())));
    floodWrites = flood;
    assertEquals(HttpClient.Failure.BROKEN, ask().failure(), response.substring(0, Math.min(60, response.length())));
    floodWrites = 0;
    answer = VALID_RESPONSE;
    assertEquals(new Result(200, "hello", null), ask(), "next request");
  }

  @Test
  void invalidHeadFails() throws Exception {
    assertResponseFails("\u0001\u0002\u0003 noise \u0004\r\n\r\n");
    assertResponseFails("HTTP/1.1 what OK\r\n\r\n");
    assertResponseFails("HTTP/9.9 200 OK\r\nContent-Length: many\r\n\r\n");
  }

  @Test
  void unterminatedHeadFails() throws Exception {
    floodWrites = 4;
    assertResponseFails("HTTP/1.1 200 OK\r\nA: ");
    floodWrites = 4;
    assertResponseFails("HTTP/1.1 200 OK ");
    floodWrites = 4;
    assertResponseFails("noise without a line's end ");
  }

  @Test
  void invalidChunkSizeFails() throws Exception {
    assertResponseFails(CHUNKED_HEAD + "5\r\nhello\r\nzz\r\nhello\r\n");
    assertResponseFails(CHUNKED_HEAD + "-5\r\nhello\r\n");
    assertResponseFails(CHUNKED_HEAD + "5\r\nhello\r\n\r\nhello\r\n0\r\n\r\n");
    assertResponseFails(CHUNKED_HEAD + ";a=b\r\nhello\r\n0\r\n\r\n");
    assertResponseFails(CHUNKED_HEAD + "5 5\r\nhello\r\n0\r\n\r\n");
  }

  @Test
  void chunkLongerThanItsSizeFails() throws Exception {
    assertResponseFails(CHUNKED_HEAD + "4\r\nhello\r\n0\r\n\r\n");
    assertResponseFails(CHUNKED_HEAD + "5\r\nhellohello\r\n0\r\n\r\n");
  }

  @Test
  void overflowingChunkSizeFails() throws Exception {
    assertResponseFails(CHUNKED_HEAD + "fffffffffffffffffff\r\nhello\r\n");
  }

  @Test
  void endlessChunkFails() throws Exception {
    floodWrites = 400;
    assertResponseFails(CHUNKED_HEAD + "c0000000\r\nhello");
  }

  /** A chunk of gigabytes was read until the body as a whole was too long, or for ever where that has no limit. */
  @ParameterizedTest
  @ValueSource(strings = {"c0000000", "ffffffff", "100001", "0000100001;a=b", "fffffffffffffff", "7fffffffffffffff"})
  void oversizedChunkFailsBeforeAnyOfItHasCome(String size) throws Exception {
    assertResponseFails(CHUNKED_HEAD + size + "\r\n");
    assertResponseFails(CHUNKED_HEAD + "5\r\nhello\r\n" + size + "\r\n");
  }

  /** A Content-Length of gigabytes was read on as well. */
  @ParameterizedTest
  @ValueSource(strings = {"3221225472", "1048577", "9223372036854775807", "99999999999999999999", "-1", "-5"})
  void oversizedLengthFailsBeforeAnyOfItHasCome(String length) throws Exception {
    assertResponseFails("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n");
    assertResponseFails("HTTP/1.1 503 Busy\r\nContent-Length: " + length + "\r\n\r\nhello");
  }

  @Test
  void longestChunkAndLengthAreRead() throws Exception {
    String longest = "x".repeat(MAX_STATED_BYTES);
    for (String form : List.of(CHUNKED_HEAD + "100000\r\n" + longest + "\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + longest)) {
      answer = form;
      assertEquals(new Result(200, longest, null), ask());
      assertEquals(new Result(200, longest, null), askForStream());
    }
  }

  /** Chunks that are sound one by one: a body that is kept ends by their sum, one that is passed on does not. */
  @Test
  void sumOfChunksIsLimitedWhereTheBodyIsKept() throws Exception {
    String half = "80000\r\n" + "x".repeat(1 << 19) + "\r\n";
    answer = CHUNKED_HEAD + half + half + "1\r\nx\r\n0\r\n\r\n";
    assertEquals(HttpClient.Failure.BROKEN, ask().failure());
    assertEquals(200, askForStream().status());
  }

  /** A response that has no body by its status states nothing by its length. */
  @ParameterizedTest
  @ValueSource(ints = {204, 304})
  void lengthOfAResponseWithoutBodyIsIgnored(int status) throws Exception {
    answer = "HTTP/1.1 " + status + " None\r\nContent-Length: 3221225472\r\n\r\n";
    assertEquals(new Result(status, "", null), ask());
    assertEquals(new Result(status, "", null), askForStream());
  }

  /** Of two lengths the first was believed, and an unknown transfer coding was read until the connection ended. */
  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 5\r\nContent-Length: 9", "Content-Length: 9\r\nContent-Length: 5", "Content-Length: 5, 5",
      "Content-Length: +5", "Content-Length: 0x5", "Content-Length:", "Content-Length : 5", " Content-Length: 5", "Transfer-Encoding: xchunked",
      "Transfer-Encoding: gzip, chunked", "Transfer-Encoding : chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"})
  void ambiguousFramingFails(String fields) throws Exception {
    for (int size : new int[] {Integer.MAX_VALUE, 1, 7}) {
      writeBytes = size;
      assertResponseFails("HTTP/1.1 200 OK\r\nX: a\r\n" + fields + "\r\n\r\nhello");
    }
  }

  @Test
  void validResponsesParseWithAnySegmentation() throws Exception {
    List<String> forms = List.of(VALID_RESPONSE,
        CHUNKED_HEAD + "0005\r\nhello\r\n0\r\n\r\n", CHUNKED_HEAD + "5;a=b\r\nhello\r\n0;c\r\n\r\n",
        CHUNKED_HEAD + "5 \r\nhello\r\n0\r\n\r\n", CHUNKED_HEAD + "2\r\nhe\r\n3\r\nllo\r\n000\r\n\r\n",
        CHUNKED_HEAD + "5\r\nhello\r\n0\r\nA-Trailer: b\r\nOther: c\r\n\r\n",
        "HTTP/1.1 200 \r\ntransfer-encoding:CHUNKED\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA:   b  \r\nTransfer-Encoding:   chunked  \r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + VALID_RESPONSE);
    for (int size : new int[] {Integer.MAX_VALUE, 1, 2, 3, 7}) {
      for (String form : forms) {
        writeBytes = size;
        answer = form;
        assertEquals(new Result(200, "hello", null), ask(), form + " in pieces of " + size);
      }
    }
  }

  @Test
  void interimResponsesAreSkipped() throws Exception {
    answer = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + VALID_RESPONSE;
    assertEquals(new Result(200, "hello", null), ask());
  }

  @Test
  void unsolicitedSecondResponseIsDiscarded() throws Exception {
    answer = VALID_RESPONSE + VALID_RESPONSE.replace("hello", "wrong");
    assertEquals(new Result(200, "hello", null), ask());
    answer = VALID_RESPONSE;
    for (int i = 0; i < 20; i++) {
      assertEquals(new Result(200, "hello", null), ask());
    }
  }

  @Test
  void lostIdleConnectionShortensIdleLimitForAll() throws Exception {
    answer = VALID_RESPONSE;
    CountDownLatch idlePeriodEnded = new CountDownLatch(1);
    InetSocketAddress secondAddress = new InetSocketAddress("127.0.0.2", server.getLocalPort());
    try (ServerSocket secondServer = new ServerSocket(server.getLocalPort(), 50, secondAddress.getAddress())) {
      Thread thread = new Thread(() -> {
        try {
          serveConnection(secondServer.accept());
        } catch (IOException e) {
          return;                                             // the test is over
        }
      }, "raw-second");
      thread.setDaemon(true);
      thread.start();
      CountDownLatch firstAnswered = new CountDownLatch(1);
      loop.execute(() -> http.call(secondAddress, "GET", "/", Map.of(), new byte[0], Duration.ofSeconds(5),
          new BufferedResponseListener(1 << 20, (status, h, body, failure, why) -> firstAnswered.countDown())));
      assertTrue(firstAnswered.await(5, TimeUnit.SECONDS));
      assertEquals(200, ask().status());
      loop.execute(() -> loop.after(Duration.ofMillis(200), idlePeriodEnded::countDown)); // both connections are idle meanwhile
      assertTrue(idlePeriodEnded.await(5, TimeUnit.SECONDS));
      closesInsteadOfAnswering = true;
      assertEquals(HttpClient.Failure.BROKEN, ask().failure());
      int[] openedConnections = new int[2];
      CountDownLatch secondFinished = new CountDownLatch(1);
      loop.execute(() -> {
        openedConnections[0] = http.openedConnections();
        http.call(secondAddress, "GET", "/", Map.of(), new byte[0], Duration.ofSeconds(5),
            new BufferedResponseListener(1 << 20, (status, h, body, failure, why) -> {
              openedConnections[1] = http.openedConnections();
              secondFinished.countDown();
            }));
        loop.after(Duration.ofMillis(100), () -> {
          openedConnections[1] = http.openedConnections();
          secondFinished.countDown();
        });
      });
      assertTrue(secondFinished.await(5, TimeUnit.SECONDS));
      assertEquals(openedConnections[0] + 1, openedConnections[1], "a connection that was idle as long was reused");
    }
  }

  /** A second answer some milliseconds late went to the client of the connection's next request. */
  @ParameterizedTest
  @CsvSource({"0,false", "3,false", "11,false", "15,false", "30,false", "3,true", "11,true", "20,true", "30,true"})
  void secondAnswerGoesToNobody(int lateMs, boolean inPieces) throws Exception {
    String second = VALID_RESPONSE.replace("hello", "other");
    answer = VALID_RESPONSE;
    answerDelayMs = 20;
    secondAnswerDelayMs = lateMs;
    secondAnswer = inPieces ? List.of(second.substring(0, 9), second.substring(9)) : List.of(second);
    for (int i = 0; i < 8; i++) {
      assertEquals("hello", fetchText(), "request " + i);
      TimeUnit.MILLISECONDS.sleep(i * 4);
    }
  }

  private void fetch(CompletableFuture<String> result) {
    http.fetch((InetSocketAddress) server.getLocalSocketAddress(), "GET", "/", Map.of(), new byte[0], Duration.ofSeconds(5),
        Duration.ofSeconds(5), 1 << 20, (status, headers, body, failure, why) ->
            result.complete(failure == null ? new String(body, StandardCharsets.US_ASCII) : why));
  }

  private String fetchText() throws Exception {
    CompletableFuture<String> result = new CompletableFuture<>();
    loop.execute(() -> fetch(result));
    return result.get(5, TimeUnit.SECONDS);
  }
}
