package gapproxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import gapproxy.standin.PlatformSite;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs a gateway with the platform's protocol on loopback. Clients send raw bytes; model servers and discovery are emulated by
 * {@link PlatformSite}.
 */
class PlatformTest {
  private static final String BODY = "{\"model\":\"talk\",\"stream\":true,\"messages\":[]}";
  private LiveLoop loop;
  private LiveNet net;
  private PlatformSite site;
  private PlatformNode node;

  @BeforeEach
  void start() throws Exception {
    loop = new LiveLoop("site");
    net = new LiveNet("site-net", 1);
    IOException[] failed = new IOException[1];
    loop.runAndWait(() -> {
      try {
        site = new PlatformSite(loop, net, 2, 2, Duration.ofMillis(5), 3);
      } catch (IOException e) {
        failed[0] = e;
      }
    });
    assertEquals(null, failed[0]);
    node = PlatformNode.start(config());
  }

  @AfterEach
  void stop() throws Exception {
    node.close();
    loop.runAndWait(site::close);
    loop.close();
    net.close();
  }

  private byte[] config() {
    return site.config("127.0.0.1:0").getBytes(StandardCharsets.UTF_8);
  }

  private static String requestHead(String id, String headersAndBody) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: talk\r\n"
        + "Req-Owner: town\r\nReq-Key: 7f\r\nReq-Deadline-Ms: 3000\r\n"
        + "Req-Extra: prefix=5c,prompt_len=900,prefix_len=400,max_out=80\r\n" + headersAndBody;
  }

  private static String req(String id) {
    return requestHead(id, "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(node.address().getAddress(), node.address().getPort());
    socket.setSoTimeout(10_000);
    return socket;
  }

  /** Reads until the gateway closes the connection, the last chunk arrives, or a response with a content length is complete. */
  private static String readResponse(Socket socket) throws IOException {
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    InputStream input = socket.getInputStream();
    try {
      for (int next = input.read(); next >= 0; next = input.read()) {
        received.write(next);
        String text = received.toString(StandardCharsets.UTF_8);
        int bodyStart = text.indexOf("\r\n\r\n") + 4;
        int lengthHeader = text.toLowerCase().indexOf("content-length: ");
        if (text.endsWith("\r\n0\r\n\r\n") || bodyStart >= 4 && lengthHeader >= 0 && text.length() - bodyStart
            == Integer.parseInt(text.substring(lengthHeader + 16, text.indexOf("\r\n", lengthHeader)))) {
          break;
        }
      }
    } catch (java.net.SocketException e) {
      return received.toString(StandardCharsets.UTF_8); // connection reset: return what arrived before it
    }
    return received.toString(StandardCharsets.UTF_8);
  }

  private String send(String bytes) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
      return readResponse(socket);
    }
  }

  private static int status(String answer) {
    return answer.isEmpty() ? 0 : Integer.parseInt(answer.substring(9, 12));
  }

  /** Polls a condition on the emulated platform's loop until the condition holds, for about 5 s at most; returns whether it held. */
  private boolean eventually(BooleanSupplier condition) throws InterruptedException {
    boolean[] holds = new boolean[1];
    for (int i = 0; i < 500 && !holds[0]; i++) {
      loop.runAndWait(() -> holds[0] = condition.getAsBoolean());
      if (!holds[0]) {
        new CountDownLatch(1).await(10, TimeUnit.MILLISECONDS);
      }
    }
    return holds[0];
  }

  @Test
  void reqIsReadAtReaderAndStreamIsRelayedUnchanged() throws Exception {
    String response = send(req("a1"));
    assertEquals(200, status(response));
    for (int i = 0; i < 3; i++) {
      assertTrue(response.contains(PlatformSite.eventText(i)), response);
    }
    assertTrue(response.contains("data: [DONE]"), response);
    assertTrue(eventually(() -> site.callCounts.getOrDefault("POST /v1/chat/completions", 0) == 2), "a read and a write");
    assertTrue(eventually(() -> site.heldStates.isEmpty()), "state is still held");
    assertEquals(200, status(send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")));
  }

  @Test
  void invalidRequestGetsErrorAndReachesNoServer() throws Exception {
    Map<String, String> invalidRequests = Map.of(
        "no id", req("x").replace("Req-Id: x\r\n", ""), "no such group", req("b1").replace("talk\r\n", "sing\r\n"),
        "deadline", req("b2").replace("3000", "soon"), "negative deadline", req("b3").replace("3000", "-1"),
        "huge deadline", req("b4").replace("3000", "99999999999999999999"), "prompt", req("b5").replace("=900", "=-900"),
        "noise", "\u0000\u0001\u0002 what\r\n\r\n",
        "negative length", requestHead("b7", "Content-Length: -5\r\n\r\n" + BODY),
        "60 MB", requestHead("b8", "Content-Length: 60000000\r\n\r\n"));
    for (Map.Entry<String, String> entry : invalidRequests.entrySet()) {
      String response = send(entry.getValue());
      assertTrue(response.isEmpty() || status(response) >= 400, entry.getKey() + ": " + response);
    }
    Map<String, String> requestsByHeader = Map.of("Req-Kind", req("b10").replace("talk\r\n", "sing\r\n"),
        "Req-Owner", req("b11").replace("town\r\n", "village\r\n"));
    for (Map.Entry<String, String> entry : requestsByHeader.entrySet()) {
      for (String request : List.of(entry.getValue(), entry.getValue().replaceAll(entry.getKey() + ": [a-z]+\r\n", ""))) {
        String response = send(request);
        assertEquals(400, status(response));
        assertTrue(response.contains(entry.getKey()), "the header is named: " + response);
      }
    }
    assertFalse(site.callCounts.containsKey("POST /v1/chat/completions"), "a server received an invalid request");
    assertEquals(200, status(send(req("b9"))), "a valid req is still served");
  }

  @Test
  void clientHeadersAreForwarded() throws Exception {
    Map<String, String> seen = new java.util.concurrent.ConcurrentHashMap<>();
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      if (exchange.request().path().startsWith("/v1/")) {
        seen.putAll(exchange.request().headers());
      }
      return false;
    });
    assertEquals(200, status(send(req("h9").replace("Req-Key", "Idempotency-Key: k-1\r\nX-Odd: a\r\nConnection: x-odd\r\nReq-Key"))));
    assertEquals("k-1", seen.get("idempotency-key"));
    assertEquals("h9", seen.get("req-id"));
    assertTrue(Integer.parseInt(seen.get("req-deadline-ms")) <= 3000, seen.toString());
    assertFalse(seen.containsKey("x-odd"), "x-odd is listed in Connection, so it is hop-by-hop");
  }

  @Test
  void contentLengthWithChunkedEncodingCannotSmuggleReq() throws Exception {
    String response = send(requestHead("c1", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + req("c2")));
    assertTrue(response.isEmpty() || status(response) >= 400, response);
    assertFalse(site.callCounts.containsKey("POST /v1/chat/completions"));
  }

  @Test
  void chunkedReqIsParsedByteByByte() throws Exception {
    String chunks = "5;part=1\r\n" + BODY.substring(0, 5) + "\r\n" + Integer.toHexString(BODY.length() - 5).toUpperCase() + "\r\n"
        + BODY.substring(5) + "\r\n0;last\r\nA: b\r\n\r\n";
    for (String coding : List.of("chunked", "CHUNKED")) {
      byte[] bytes = (requestHead("p" + coding, "transfer-encoding:  " + coding + "\r\n\r\n") + chunks).getBytes(StandardCharsets.UTF_8);
      try (Socket socket = connect()) {
        socket.setTcpNoDelay(true);
        for (byte b : bytes) {
          socket.getOutputStream().write(b);
          java.util.concurrent.locks.LockSupport.parkNanos(100_000);
        }
        String response = readResponse(socket);
        assertEquals(200, status(response), response);
        assertTrue(response.contains("data: [DONE]"), response);
      }
    }
  }

  @Test
  void idOfOpenReqIsRejected() throws Exception {
    CountDownLatch forwarded = new CountDownLatch(1);
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      if (exchange.request().path().startsWith("/v1/")) {
        forwarded.countDown();
        return true;                                          // never answered
      }
      return false;
    });
    try (Socket first = connect()) {
      first.getOutputStream().write(req("d1").getBytes(StandardCharsets.UTF_8));
      assertTrue(forwarded.await(5, TimeUnit.SECONDS));
      assertEquals(409, status(send(req("d1"))));
    }
  }

  @Test
  void silentConnectionIsClosedInTime() throws Exception {
    long startNanos = System.nanoTime();
    try (Socket socket = connect()) {
      assertEquals(-1, socket.getInputStream().read());
    }
    try (Socket socket = connect()) {
      socket.getOutputStream().write("POST /v1/chat".getBytes(StandardCharsets.UTF_8));
      String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertEquals(408, status(response), response);
    }
    assertTrue(System.nanoTime() - startNanos < 5_800_000_000L, "each within 2.9 s");
  }

  @Test
  void heldStateIsReleasedWhenClientDisconnects() throws Exception {
    // Writers never answer.
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> exchange.request().path().startsWith("/v1/") && !model.reader);
    try (Socket socket = connect()) {
      socket.getOutputStream().write(req("e1").getBytes(StandardCharsets.UTF_8));
      assertTrue(eventually(() -> site.heldStates.containsKey("e1")));
    }
    assertTrue(eventually(() -> !site.heldStates.containsKey("e1")), "the state was not released");
  }

  @Test
  void brokenStreamEndsClientConnectionWithoutLastChunk() throws Exception {
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      if (model.reader || !exchange.request().path().startsWith("/v1/")) {
        return false;
      }
      exchange.begin(200, Map.of("content-type", "text/event-stream"));
      exchange.write(PlatformSite.eventText(0));
      loop.after(Duration.ofMillis(20), exchange::abort);
      return true;
    });
    String response = send(req("f1"));
    assertTrue(response.contains(PlatformSite.eventText(0)), response);
    assertFalse(response.endsWith("0\r\n\r\n"), response);
  }

  /** A stream that its server had finished was cut off ahead of the last chunk if no blank line followed its load report. */
  @ParameterizedTest
  @ValueSource(strings = {"data: [DONE]\n\n: Srv-Load: {}\n", "data: [DONE]\n\n: Srv-Load: {}\r\n", "data: [DONE]\n\n: Srv-Load: {}",
      ": Srv-Load: {}\ndata: [DONE]\n\n", "data: [DONE]\n: Srv-Load: {}\n\n", "data: [DONE]\n\n\n", "data: [DONE]\n\n: a\n: b\n"})
  void streamThatEndsWithACommentLineIsPassedOnWhole(String end) throws Exception {
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      if (model.reader || !exchange.request().path().startsWith("/v1/")) {
        return false;
      }
      exchange.begin(200, Map.of("content-type", "text/event-stream"));
      exchange.write(PlatformSite.eventText(0));
      exchange.write(end);
      exchange.end();
      return true;
    });
    String response = send(req("report"));
    assertEquals(200, status(response), response);
    assertTrue(response.endsWith("\r\n0\r\n\r\n") && response.contains("data: [DONE]"), response);
  }

  /** A stream that rested for less than the 5 s that the protocol allows was cut off after 4.5 s. */
  @ParameterizedTest
  @ValueSource(ints = {4600, 4750, 4850})
  void streamThatRestsIsNotCutOff(int restMs) throws Exception {
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      if (model.reader || !exchange.request().path().startsWith("/v1/")) {
        return false;
      }
      exchange.begin(200, Map.of("content-type", "text/event-stream"));
      exchange.write(PlatformSite.eventText(0));
      loop.after(Duration.ofMillis(restMs), () -> {
        exchange.write(PlatformSite.STREAM_END);
        exchange.end();
      });
      return true;
    });
    String response = send(req("rest"));
    assertTrue(response.endsWith("\r\n0\r\n\r\n"), response);
  }

  @Test
  void malformedStreamIsRetriedAtAnotherServer() throws Exception {
    boolean[] malformedSent = new boolean[1];
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      if (model.reader || malformedSent[0] || !exchange.request().path().startsWith("/v1/")) {
        return false;
      }
      malformedSent[0] = true;
      exchange.begin(200, Map.of("content-type", "text/event-stream"));
      exchange.write("noise that is no event\n\n");
      return true;
    });
    String response = send(req("g1"));
    assertTrue(malformedSent[0]);
    assertEquals(200, status(response));
    assertFalse(response.contains("noise"), response);
    assertTrue(response.contains("data: [DONE]"), response);
  }

  @Test
  void watchMovesToNewDiscoveryAddress() throws Exception {
    assertTrue(eventually(() -> site.callCounts.getOrDefault("watch", 0) == 1));
    loop.runAndWait(() -> {
      try {
        site.startDiscovery();
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    });
    node.reload("no configuration".getBytes(StandardCharsets.UTF_8)); // invalid, so nothing changes
    node.reload(config());
    assertTrue(eventually(() -> site.callCounts.getOrDefault("watch", 0) >= 2));
    assertTrue(drainTakesEffect(1000));
  }

  /** Publishes all servers as draining, and returns whether the gateway reports itself not ready within the given milliseconds. */
  private boolean drainTakesEffect(int timeoutMs) throws Exception {
    loop.runAndWait(() -> site.modelServers.forEach(model -> site.publishHealth(model, "draining")));
    long deadlineNanos = System.nanoTime() + timeoutMs * 1_000_000L;
    int upStatus = 200;
    while (upStatus != 503 && System.nanoTime() < deadlineNanos) {
      upStatus = status(send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"));
    }
    return upStatus == 503;
  }

  @Test
  void multiLineListsAreParsed() throws Exception {
    loop.runAndWait(() -> site.indented = true);
    node.close();
    node = PlatformNode.start(config());
    assertTrue(drainTakesEffect(1000));
    assertEquals(2, site.callCounts.get("watch"), "each gateway opens one watch");
  }

  @Test
  void silentWatchIsReopenedWithinSixSeconds() throws Exception {
    assertTrue(eventually(() -> site.callCounts.getOrDefault("watch", 0) == 1));
    loop.runAndWait(site::forgetWatches);
    assertTrue(drainTakesEffect(4500));
  }

  @Test
  void unansweredWatchIsReopenedAtOnce() throws Exception {
    loop.runAndWait(() -> site.discoverySilent = true);
    node.close();
    node = PlatformNode.start(config());
    assertEquals(200, status(send(req("w1"))), "the known list stays in use meanwhile");
    loop.runAndWait(() -> site.discoverySilent = false);
    assertTrue(drainTakesEffect(1500));
  }

  @Test
  void watchWithHeadButNoListIsReopened() throws Exception {
    assertTrue(eventually(() -> site.callCounts.getOrDefault("watch", 0) == 1));
    loop.runAndWait(() -> {
      site.discoveryHeadOnly = true;
      site.forgetWatches();
    });
    assertTrue(eventually(() -> site.callCounts.get("watch") >= 2), "the silent watch was not reopened");
    loop.runAndWait(() -> site.discoveryHeadOnly = false);
    assertTrue(drainTakesEffect(2900), "a response head alone counted as a list");
  }

  @Test
  void malformedObjectTriggersRequestForCompleteList() throws Exception {
    assertTrue(eventually(() -> site.callCounts.getOrDefault("watch", 0) == 1));
    loop.runAndWait(() -> site.writeRaw("{\"seq\":nonsense}\n\n{\"seq\":99,\"whole\":false,\"hosts\":[]}\n"));
    assertTrue(eventually(() -> site.callCounts.get("watch") == 2));
    assertTrue(drainTakesEffect(1000));
  }

  @Test
  void changesOfLowerVersionAreRejected() throws Exception {
    assertTrue(eventually(() -> site.callCounts.getOrDefault("watch", 0) == 1));
    loop.runAndWait(() -> {
      site.writeRaw("{\"seq\":50,\"whole\":false,\"hosts\":[]}\n");
      site.restartVersionsFrom(3);
      site.writeRaw("{\"seq\":3,\"whole\":false,\"hosts\":[]}\n");
    });
    assertTrue(eventually(() -> site.callCounts.get("watch") == 2), "the complete list was not requested");
    assertTrue(drainTakesEffect(1000));
  }

  @Test
  void oldDiscoveryIsIgnoredAfterAddressChange() throws Exception {
    assertTrue(eventually(() -> site.callCounts.getOrDefault("watch", 0) == 1));
    loop.runAndWait(() -> {
      site.keepsOldDiscovery = true;
      try {
        site.startDiscovery();
      } catch (IOException e) {
        throw new java.io.UncheckedIOException(e);
      }
    });
    node.reload(config());
    assertTrue(eventually(() -> site.callCounts.get("watch") == 2));
    loop.runAndWait(() -> site.publishHealthToOldestWatch(site.modelServers, "draining"));
    assertEquals(200, status(send(req("o1"))));
  }

  @Test
  void watchWorksWhileServersOccupyAllConnections() throws Exception {
    node.close();
    node = PlatformNode.start(new String(config(), StandardCharsets.UTF_8).replace("\"sockets\":512", "\"sockets\":56")
        .getBytes(StandardCharsets.UTF_8));
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> exchange.request().path().startsWith("/v1/")); // never answered
    assertTrue(eventually(() -> site.callCounts.getOrDefault("watch", 0) >= 2));
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      Socket socket = connect();
      socket.getOutputStream().write(req("k" + i).getBytes(StandardCharsets.UTF_8));
      sockets.add(socket);
    }
    assertTrue(eventually(() -> site.callCounts.getOrDefault("POST /v1/chat/completions", 0) >= 6));
    loop.runAndWait(site::forgetWatches);
    assertTrue(drainTakesEffect(4500));
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Test
  void disconnectIsDetectedBehindPipelinedReqs() throws Exception {
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> exchange.request().path().startsWith("/v1/")); // never answered
    try (Socket socket = connect()) {
      StringBuilder pipelinedReqs = new StringBuilder();
      for (int i = 0; i < 40; i++) {
        pipelinedReqs.append(req("n" + i));
      }
      socket.getOutputStream().write(pipelinedReqs.toString().getBytes(StandardCharsets.UTF_8));
      assertTrue(eventually(() -> site.callCounts.getOrDefault("POST /v1/chat/completions", 0) >= 1));
    }
    long disconnectNanos = System.nanoTime();
    assertTrue(eventually(() -> site.openCallCount() == 0), "the open call was not cancelled");
    assertTrue(System.nanoTime() - disconnectNanos < 1_500_000_000L, "the disconnect was noticed only at the deadline");
    assertEquals(1, site.callCounts.get("POST /v1/chat/completions"), "a pipelined req was forwarded after the disconnect");
  }

  @Test
  void reqAfterDrainGraceIsRejectedAndNotForwarded() throws Exception {
    CountDownLatch serverCalled = new CountDownLatch(1);
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      serverCalled.countDown();
      return exchange.request().path().startsWith("/v1/"); // never answered, so the shutdown stays in progress
    });
    try (Socket openReqSocket = connect(); Socket halfSentReqSocket = connect()) {
      openReqSocket.getOutputStream().write(req("q1").getBytes(StandardCharsets.UTF_8));
      assertTrue(serverCalled.await(5, TimeUnit.SECONDS));
      String halfSentReq = req("q2");
      halfSentReqSocket.getOutputStream().write(halfSentReq.substring(0, 60).getBytes(StandardCharsets.UTF_8));
      node.stop(() -> { });
      new CountDownLatch(1).await(700, TimeUnit.MILLISECONDS);
      int callsBefore = site.callCounts.get("POST /v1/chat/completions");
      halfSentReqSocket.getOutputStream().write(halfSentReq.substring(60).getBytes(StandardCharsets.UTF_8));
      assertEquals(503, status(readResponse(halfSentReqSocket)));
      assertEquals(callsBefore, site.callCounts.get("POST /v1/chat/completions"));
    }
  }

  @Test
  void shutdownWaitsForSlowClient() throws Exception {
    String longEvent = PlatformSite.eventText(0).replace("w0", "z".repeat(60_000));
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      if (model.reader || !exchange.request().path().startsWith("/v1/")) {
        return false;
      }
      exchange.begin(200, Map.of("content-type", "text/event-stream"));
      for (int i = 0; i < 100; i++) {
        exchange.write(longEvent);
      }
      exchange.write(PlatformSite.STREAM_END);
      exchange.end();
      return true;
    });
    try (Socket socket = connect()) {
      socket.getOutputStream().write(req("s1").getBytes(StandardCharsets.UTF_8));
      assertTrue(eventually(() -> site.openCallCount() == 0 && site.callCounts.getOrDefault("POST /v1/chat/completions", 0) == 2));
      CountDownLatch stopped = new CountDownLatch(1);
      node.stop(stopped::countDown);
      new CountDownLatch(1).await(800, TimeUnit.MILLISECONDS);
      String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(response.contains("data: [DONE]") && response.endsWith("0\r\n\r\n"), "answer cut off after " + response.length());
      assertTrue(stopped.await(5, TimeUnit.SECONDS));
    }
  }

  /** A restarted gateway sent to servers that drained, by its old list, while discovery took 3 s for the first one or was down for 8 s. */
  @ParameterizedTest
  @ValueSource(ints = {0, 700, 1500, 3000, 3500, 8000})
  void serversDrainedBeforeStartGetNothingWhileDiscoveryIsSlow(int delayMs) throws Exception {
    byte[] configBeforeDrain = config();
    loop.runAndWait(() -> {
      site.modelServers.forEach(model -> site.publishHealth(model, "draining"));
      site.discoveryDelay = Duration.ofMillis(delayMs);
    });
    node.close();
    node = PlatformNode.open(configBeforeDrain, () -> { });
    Thread waiting = new Thread(() -> {
      try {
        node.awaitFirstList();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    waiting.start();
    while (waiting.isAlive()) {
      send(req("w" + System.nanoTime()));
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertEquals(503, status(send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")));
    send(req("last"));
    assertFalse(site.callCounts.containsKey("POST /v1/chat/completions"), "a drained server got a req");
  }

  /** The other side of the wait for discovery: without an answer from it, a restarted gateway is ready by the old list within 10 s. */
  @Test
  void restartedGatewayIsReadyInTimeWithoutDiscovery() throws Exception {
    byte[] config = config();
    loop.runAndWait(() -> site.discoveryDelay = Duration.ofMinutes(1));
    node.close();
    long startedNanos = System.nanoTime();
    node = PlatformNode.start(config);
    assertEquals(200, status(send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")));
    assertTrue(System.nanoTime() - startedNanos < TimeUnit.SECONDS.toNanos(10));
  }

  @Test
  void serversDrainedBeforeStartAreNotTakenFromKnownList() throws Exception {
    byte[] configBeforeDrain = config();
    loop.runAndWait(() -> site.modelServers.forEach(model -> site.publishHealth(model, "draining")));
    node.close();
    node = PlatformNode.start(configBeforeDrain);
    assertEquals(503, status(send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")));
    assertEquals(503, status(send(req("w2"))));
    assertFalse(site.callCounts.containsKey("POST /v1/chat/completions"), "a drained server got a req");
  }

  @Test
  void shutdownLetsOpenStreamsFinish() throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      if (!model.reader && exchange.request().path().startsWith("/v1/")) {
        begun.countDown();
      }
      return false;
    });
    CountDownLatch stopped = new CountDownLatch(1);
    try (Socket socket = connect()) {
      socket.getOutputStream().write(req("h1").getBytes(StandardCharsets.UTF_8));
      assertTrue(begun.await(5, TimeUnit.SECONDS));
      node.stop(stopped::countDown);
      String response = readResponse(socket);
      assertTrue(response.contains("data: [DONE]") && response.endsWith("0\r\n\r\n"), response);
    }
    assertTrue(stopped.await(5, TimeUnit.SECONDS));
  }

  @Test
  void shutdownEndsStreamsBeforeKillWhereClientsResume() throws Exception {
    node.close();
    node = PlatformNode.start(new String(config(), StandardCharsets.UTF_8)
        .replace("\"localRead\":true", "\"localRead\":true,\"resume\":true")
        .getBytes(StandardCharsets.UTF_8));
    CountDownLatch begun = new CountDownLatch(1);
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> {
      if (model.reader || !exchange.request().path().startsWith("/v1/")) {
        return false;
      }
      exchange.begin(200, Map.of("content-type", "text/event-stream"));
      exchange.write(PlatformSite.eventText(0)); // the stream never ends
      begun.countDown();
      return true;
    });
    CountDownLatch stopped = new CountDownLatch(1);
    try (Socket socket = connect()) {
      socket.getOutputStream().write(req("m1").getBytes(StandardCharsets.UTF_8));
      assertTrue(begun.await(5, TimeUnit.SECONDS));
      node.stop(stopped::countDown);
      assertTrue(stopped.await(3500, TimeUnit.MILLISECONDS), "shutdown must end before the kill");
      String response = readResponse(socket);
      assertTrue(response.contains(PlatformSite.eventText(0)) && !response.endsWith("0\r\n\r\n"), response);
    }
  }

  /**
   * Runs an action while clients send reqs one after the other, each on a new connection. Returns the reqs that were answered wrongly.
   *
   * @param portCloses whether connections may fail, since the port closes during the run
   */
  private List<String> runUnderLoad(int clients, int reqsPerClient, boolean portCloses, Runnable midway) throws Exception {
    List<String> failures = new CopyOnWriteArrayList<>();
    CountDownLatch warmUpReqs = new CountDownLatch(clients * 5);
    List<Thread> threads = new ArrayList<>();
    for (int client = 0; client < clients; client++) {
      String idPrefix = "load" + client + "-";
      Thread thread = new Thread(() -> {
        for (int i = 0; i < reqsPerClient; i++) {
          try (Socket socket = connect()) {
            socket.getOutputStream().write(req(idPrefix + i).getBytes(StandardCharsets.UTF_8));
            String response = readResponse(socket);
            if (portCloses && (response.isEmpty() || status(response) == 503)) {
              // The connection was waiting to be accepted when the port closed, or came after the drain grace period.
              return;
            } else if (!response.contains("data: [DONE]") || !response.endsWith("0\r\n\r\n")) {
              failures.add(idPrefix + i + ": " + response);
            }
          } catch (IOException e) {
            if (!portCloses) {
              failures.add(idPrefix + i + ": " + e);
            }
            return;
          }
          warmUpReqs.countDown();
        }
      }, idPrefix);
      thread.start();
      threads.add(thread);
    }
    assertTrue(warmUpReqs.await(10, TimeUnit.SECONDS));
    midway.run();
    for (Thread thread : threads) {
      thread.join(10_000);
    }
    return failures;
  }

  @Test
  void reloadsUnderLoadLoseNoReq() throws Exception {
    assertEquals(List.of(), runUnderLoad(4, 60, false, () -> {
      for (int i = 0; i < 3; i++) {
        loop.runAndWait(() -> {
          try {
            site.startDiscovery();
          } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
          }
        });
        node.reload(config());
      }
    }));
    assertTrue(eventually(() -> site.callCounts.getOrDefault("watch", 0) >= 2), "the watch did not follow discovery");
  }

  @Test
  void shutdownUnderLoadAnswersAcceptedReqsAndReleasesState() throws Exception {
    CountDownLatch stopped = new CountDownLatch(1);
    assertEquals(List.of(), runUnderLoad(4, 400, true, () -> node.stop(stopped::countDown)));
    assertTrue(stopped.await(5, TimeUnit.SECONDS));
    assertTrue(eventually(() -> site.heldStates.isEmpty()), "state is still held");
  }

  @Test
  void invalidConfigurationErrorNamesTheKey() {
    PlatformNode.InvalidConfigException exception = assertThrows(PlatformNode.InvalidConfigException.class,
        () -> PlatformNode.start("{\"seed\":\"x\"}".getBytes(StandardCharsets.UTF_8)));
    assertTrue(exception.getMessage().contains("/seed"), exception.getMessage());
  }

  /** Guards against an error that ends the loop and leaves open reqs unanswered, or the process running. */
  @Test
  void loopErrorFailsOpenReqsAndNotifiesOwner() throws Exception {
    node.close();
    CountDownLatch fatal = new CountDownLatch(1);
    node = PlatformNode.start(config(), fatal::countDown);
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> exchange.request().path().startsWith("/v1/"));
    try (Socket socket = connect()) {
      socket.getOutputStream().write(req("f1").getBytes(StandardCharsets.UTF_8));
      assertTrue(eventually(() -> site.callCounts.containsKey("POST /v1/chat/completions")));
      node.loop().execute(() -> {
        throw new AssertionError("planted");
      });
      assertEquals(502, status(readResponse(socket)));
    }
    assertTrue(fatal.await(5, TimeUnit.SECONDS));
  }

  /**
   * Guards against a gateway that gets no list from a slow discovery service, because each further call that it opens cancels the one
   * that would have delivered the list.
   */
  @Test
  void slowDiscoveryIsWaitedFor() throws Exception {
    node.close();
    loop.runAndWait(() -> {
      site.discoveryDelay = Duration.ofMillis(900);
      site.callCounts.clear();
    });
    node = PlatformNode.start(new String(config(), StandardCharsets.UTF_8).replaceFirst("\"known\":\\{.*\\},\n", "\"known\":null,\n")
        .getBytes(StandardCharsets.UTF_8));
    boolean ready = false;
    for (int i = 0; i < 30 && !ready; i++) {
      ready = status(send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")) == 200;
      new CountDownLatch(1).await(100, TimeUnit.MILLISECONDS);
    }
    assertTrue(ready, "no list after 3 s and " + site.callCounts.get("watch") + " calls");
  }

  /** Drains were never heard where discovery took over 4 s for a call, since each call was cancelled after 4 s to make room for another. */
  @ParameterizedTest
  @ValueSource(ints = {2500, 4500, 6500})
  void callsOfASlowDiscoveryAreNotCancelled(int delayMs) throws Exception {
    assertTrue(eventually(() -> site.callCounts.getOrDefault("watch", 0) == 1));
    loop.runAndWait(() -> {
      site.discoveryDelay = Duration.ofMillis(delayMs);
      site.forgetWatches();
    });
    // The silent watch is given up after 3 s, and a new call is answered after the delay.
    TimeUnit.MILLISECONDS.sleep(3000);
    assertTrue(drainTakesEffect(delayMs + 2000), "the drain was not heard; calls: " + site.callCounts.get("watch"));
  }

  /**
   * Guards against state that stays held because the gateway takes a successful connect for proof that a write has arrived: the operating
   * system accepts connections for a hung process, too.
   */
  @Test
  void stateIsReleasedWhenHungServerStillAcceptsConnections() throws Exception {
    node.close();
    node = PlatformNode.start(new String(config(), StandardCharsets.UTF_8).replace("\"mayProbe\":true", "\"mayProbe\":false")
        .replace("\"source\":\"pull\"", "\"source\":\"silent\"").getBytes(StandardCharsets.UTF_8));
    assertEquals(200, status(send(req("u1"))));
    loop.runAndWait(() -> site.interceptor = (model, exchange) -> !model.reader); // all decode servers hang
    try (Socket socket = connect()) {
      socket.getOutputStream().write(req("u2").getBytes(StandardCharsets.UTF_8));
      assertTrue(eventually(() -> site.heldStates.containsKey("u2")), "the prefill server holds no state");
      long heldSinceNanos = System.nanoTime();
      assertTrue(eventually(() -> !site.heldStates.containsKey("u2")), "the state was not released");
      long elapsedMs = (System.nanoTime() - heldSinceNanos) / 1_000_000;
      assertTrue(elapsedMs < 1300, "released after " + elapsedMs + " ms, 1000 are allowed");
    }
  }
}
