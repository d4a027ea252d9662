package gapproxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.http.Exchange;
import gapproxy.standin.PlatformSite;
import java.io.BufferedInputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Answers that are spoilt before their first event. The server keeps the connection open, as one of no further use. */
class SpoiltBeginningTest {
  private static final Duration STEP = Duration.ofMillis(5);
  /** The time that the close of a connection may take to reach its server. */
  private static final Duration CLOSE_DELAY = Duration.ofMillis(100);
  private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final AtomicReference<Exchange> first = new AtomicReference<>();
  private final AtomicReference<Boolean> firstWasOpen = new AtomicReference<>();
  private final CountDownLatch checked = new CountDownLatch(1);

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** What a server writes in place of an answer. */
  private static List<String> spoiltAnswers() {
    return List.of(
        HEAD + chunk("\u0007 noise ~~\n"),
        HEAD + "6\r\nda\r\n",
        HEAD + chunk("da") + chunk("x"),
        HEAD + chunk(": still here\n") + chunk("noise\n\n"),
        HEAD + chunk("event: a\n"),
        HEAD + chunk("\r\n\r\nx"),
        HEAD + chunk("noise\n\n") + chunk("noise\n\n").repeat(20),
        HEAD + chunk(": c\n").repeat(300),
        HEAD + "zz\r\n",
        "noise in place of a head\r\n\r\n",
        "HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno");
  }

  private boolean serve(PlatformFixture fixture, PlatformSite.ModelServer model, Exchange exchange, String spoilt) {
    if (model.reader || !exchange.request().path().startsWith("/v1/")) {
      return false;
    } else if (first.compareAndSet(null, exchange)) {
      exchange.connection().write(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, spoilt));
      return true;
    }
    fixture.loop.after(CLOSE_DELAY, () -> {
      firstWasOpen.set(first.get().isClientConnected());
      checked.countDown();
    });
    return false;
  }

  /** A second copy was sent while the first was out on a connection that nobody closed. */
  @ParameterizedTest
  @MethodSource("spoiltAnswers")
  void connectionOfASpoiltAnswerIsClosedBeforeASecondCopyIsSent(String spoilt) throws Exception {
    try (PlatformFixture fixture = new PlatformFixture(STEP)) {
      fixture.intercept((model, exchange) -> serve(fixture, model, exchange, spoilt));
      try (Socket socket = fixture.connect()) {
        socket.getOutputStream().write(PlatformFixture.request("s1", PlatformFixture.BODY));
        String answer = PlatformFixture.readAnswer(new BufferedInputStream(socket.getInputStream()));
        assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("data: [DONE]"), answer);
      }
      assertTrue(checked.await(10, TimeUnit.SECONDS));
      assertNotNull(firstWasOpen.get());
      boolean mayStayOpen = spoilt.startsWith("HTTP/1.1 500");  // a whole answer, whose connection is used again
      assertEquals(mayStayOpen, firstWasOpen.get(), "open after the second copy was sent");
    }
  }
}
