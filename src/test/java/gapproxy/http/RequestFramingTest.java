package gapproxy.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gapproxy.runtime.ManualLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.glassfish.grizzly.Connection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How the server finds the beginning and the end of requests, wherever the bytes are split. */
class RequestFramingTest {
  private static final String BODY = "{\"model\":\"talk\",\"stream\":true,\"messages\":[]}";
  private static final int SEEDS = 200;

  private final ManualLoop loop = new ManualLoop();
  private final InMemoryNet net = new InMemoryNet();
  private final List<String> bodies = new ArrayList<>();

  private Connection<?> open() throws Exception {
    bodies.clear();
    net.written.setLength(0);
    HttpServer.open(loop, net, new InetSocketAddress("127.0.0.1", 1), ServerLimits.DEFAULT, (exchange, decoded) -> {
      bodies.add(new String(exchange.request().body(), StandardCharsets.UTF_8));
      exchange.respond(200, Map.of(), new byte[0]);
    });
    return net.open();
  }

  private void send(Connection<?> connection, byte[] bytes) {
    net.arrive(connection, bytes);
    loop.runUntil(loop.now().plus(Duration.ofMillis(1)));
  }

  private static byte[] request(String framing, String body) {
    return ("POST /a HTTP/1.1\r\nHost: m\r\n" + framing + "X-Last: 1\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8);
  }

  private static String chunked(String body) {
    return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n";
  }

  /** A request whose head came in pieces was served without its body if its transfer coding was not written in lower case. */
  @ParameterizedTest
  @ValueSource(strings = {"chunked", "Chunked", "CHUNKED", "cHuNkEd", " chunked", "Chunked \t"})
  void bodyIsReadWhereverTheHeadIsSplit(String coding) throws Exception {
    byte[] bytes = request("Transfer-Encoding:" + coding + "\r\n", chunked(BODY));
    for (int cut = 1; cut < bytes.length; cut++) {
      Connection<?> connection = open();
      send(connection, Arrays.copyOf(bytes, cut));
      send(connection, Arrays.copyOfRange(bytes, cut, bytes.length));
      assertEquals(List.of(BODY), bodies, "cut at " + cut);
    }
  }

  /** Each of these was read otherwise than RFC 9112 says, or may be by another reader: it is refused, and nothing behind it runs. */
  @ParameterizedTest
  @ValueSource(strings = {
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length : 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length : 50\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding\t: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\n Content-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nX: a\r\n b\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nX: a\rContent-Length: 5\r\nContent-Length: 0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 5, 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: +5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: -5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 0x5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length:\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.0\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nX\u0000: a\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nno colon\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\n: nameless\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n5\nhello\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello0\r\n\r\n"})
  void ambiguousRequestIsRefusedAndNothingBehindItRuns(String ambiguous) throws Exception {
    byte[] bytes = (ambiguous + "POST /hidden HTTP/1.1\r\nHost: m\r\nContent-Length: 6\r\n\r\nhidden").getBytes(StandardCharsets.ISO_8859_1);
    for (int cut : new int[] {bytes.length, ambiguous.length(), ambiguous.length() / 2, 20, 1}) {
      Connection<?> connection = open();
      send(connection, Arrays.copyOf(bytes, cut));
      send(connection, Arrays.copyOfRange(bytes, cut, bytes.length));
      assertEquals(List.of(), bodies, "cut at " + cut);
      assertEquals("HTTP/1.1 400", net.written.substring(0, Math.min(12, net.written.length())), "cut at " + cut);
      assertEquals(1, net.written.toString().split("HTTP/1.1 ", -1).length - 1, net.written.toString());
    }
  }

  /** These are framed as RFC 9112 says, and the request behind them runs as well. */
  @ParameterizedTest
  @ValueSource(strings = {
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length:5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\ncontent-LENGTH:   5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length:\t5 \r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 005\r\n\r\nhello",
      "\r\nPOST /a HTTP/1.1\r\nHost: m\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0;x\r\nTrailer: 1\r\nContent-Length: 9\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n0005\r\nhello\r\n000\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: m\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n"
          + "Content-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nHost: m\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nTransfer-Encoding: chunked\r\n\r\n"
          + "5\r\nhello\r\n0\r\n\r\n"})
  void soundRequestIsFramedAsTold(String sound) throws Exception {
    byte[] bytes = (sound + "POST /b HTTP/1.1\r\nHost: m\r\nContent-Length: 6\r\n\r\nsecond").getBytes(StandardCharsets.ISO_8859_1);
    for (int cut = 1; cut <= bytes.length; cut++) {
      Connection<?> connection = open();
      send(connection, Arrays.copyOf(bytes, cut));
      send(connection, Arrays.copyOfRange(bytes, cut, bytes.length));
      assertEquals(List.of("hello", "second"), bodies, "cut at " + cut);
    }
  }

  /** Blanks around a length are no part of it (RFC 9112, section 5); a request with a tab behind its length was refused. */
  @Test
  void tabBehindALengthIsNoPartOfIt() throws Exception {
    for (String length : List.of("5\t", "\t5", " \t5 \t", "\t\t5\t\t")) {
      byte[] bytes = request("Content-Length:" + length + "\r\n", "hello");
      for (int cut = 1; cut <= bytes.length; cut++) {
        Connection<?> connection = open();
        send(connection, Arrays.copyOf(bytes, cut));
        send(connection, Arrays.copyOfRange(bytes, cut, bytes.length));
        assertEquals(List.of("hello"), bodies, "cut at " + cut + ": " + net.written);
      }
    }
  }

  /** The same with several requests one behind the other, in many pieces. */
  @Test
  void bodiesAreReadWhereverSeveralRequestsAreSplit() throws Exception {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      List<String> expected = new ArrayList<>();
      StringBuilder text = new StringBuilder();
      for (int i = 0; i < 4; i++) {
        String body = BODY.repeat(random.nextInt(3));
        expected.add(body);
        text.append(random.nextBoolean() ? "\r\n".repeat(random.nextInt(2)) : "");
        text.append(new String(random.nextBoolean() ? request("TRANSFER-ENCODING: Chunked\r\n", body.isEmpty() ? "0\r\n\r\n" : chunked(body))
            : request("content-length: " + body.length() + "\r\n", body), StandardCharsets.UTF_8));
      }
      byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
      Connection<?> connection = open();
      int longest = 1 + random.nextInt(60);
      for (int from = 0; from < bytes.length; ) {
        int to = Math.min(bytes.length, from + 1 + random.nextInt(longest));
        send(connection, Arrays.copyOfRange(bytes, from, to));
        from = to;
      }
      assertEquals(expected, bodies, "seed " + seed);
    }
  }

  /** A request that states more than a body may hold was read up to the limit before it was refused. */
  @Test
  void requestThatStatesTooMuchIsRefusedBeforeItHasCome() throws Exception {
    int most = ServerLimits.DEFAULT.maxBodyBytes();
    for (String unsound : List.of("Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(most + 1) + "\r\n",
        "Transfer-Encoding: chunked\r\n\r\nc0000000;a=b\r\n", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n" + Integer.toHexString(most)
            + "\r\n", "Content-Length: " + (most + 1) + "\r\n\r\n", "Content-Length: 3221225472\r\n\r\n")) {
      byte[] bytes = ("POST /a HTTP/1.1\r\nHost: m\r\n" + unsound).getBytes(StandardCharsets.UTF_8);
      for (int cut : new int[] {bytes.length, bytes.length - 1, 20}) {
        Connection<?> connection = open();
        send(connection, Arrays.copyOf(bytes, cut));
        send(connection, Arrays.copyOfRange(bytes, cut, bytes.length));
        assertEquals("HTTP/1.1 413", net.written.substring(0, Math.min(12, net.written.length())), unsound + "cut at " + cut);
        assertEquals(List.of(), bodies, unsound);
      }
    }
    String longest = "x".repeat(most);
    for (byte[] sound : List.of(request("Transfer-Encoding: chunked\r\n", chunked(longest)), request("Content-Length: " + most + "\r\n", longest))) {
      send(open(), sound);
      assertEquals(List.of(longest), bodies, net.written.toString());
    }
  }

  /** The error for a badly chunked body was written ahead of the answers to earlier requests, and would have been taken for one of them. */
  @Test
  void errorForABodyComesAfterEarlierAnswers() throws Exception {
    for (String unsound : List.of("zz\r\n", "4\r\nhello\r\n", "c0000000\r\n")) {
      byte[] bytes = (new String(request("Content-Length: 5\r\n", "hello"), StandardCharsets.UTF_8)
          + "POST /b HTTP/1.1\r\nHost: m\r\nTransfer-Encoding: chunked\r\n\r\n" + unsound).getBytes(StandardCharsets.UTF_8);
      send(open(), bytes);
      assertEquals(List.of("hello"), bodies, unsound);
      String written = net.written.toString();
      assertEquals("HTTP/1.1 200", written.substring(0, 12), unsound + written);
      assertEquals(2, written.split("HTTP/1.1 [24]", -1).length - 1, unsound + written);
    }
  }

  private static String head(int fields) {
    return "GET /a HTTP/1.1\r\nHost: m\r\n" + "a: b\r\n".repeat(fields - 1);
  }

  /** Refusing a head of 1,500 fields cost three times as much as before, since it was kept and checked to its end first. */
  @Test
  void headIsRefusedAtTheFirstFieldTooMany() throws Exception {
    int most = ServerLimits.DEFAULT.maxHeaders();
    Connection<?> permitted = open();
    send(permitted, (head(most) + "\r\n").getBytes(StandardCharsets.UTF_8));
    assertEquals(1, bodies.size(), net.written.toString());
    for (int firstPart : new int[] {0, 10, head(most).length()}) {
      Connection<?> connection = open();
      byte[] unfinished = head(most + 1).getBytes(StandardCharsets.UTF_8);
      send(connection, Arrays.copyOf(unfinished, firstPart));
      assertEquals("", net.written.toString());
      send(connection, Arrays.copyOfRange(unfinished, firstPart, unfinished.length));
      assertEquals("HTTP/1.1 400", net.written.substring(0, Math.min(12, net.written.length())), "first part of " + firstPart);
    }
  }
}
