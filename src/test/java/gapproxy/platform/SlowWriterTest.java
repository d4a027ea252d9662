package gapproxy.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.http.Exchange;
import gapproxy.standin.PlatformSite;
import java.io.BufferedInputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

/** Streams that their model servers write slowly, in long events or in small pieces. Whatever goes on being written is not cut off. */
class SlowWriterTest {
  private static final Duration STEP = Duration.ofMillis(5);
  private static final int LONG_EVENT_BYTES = 300 << 10;

  private PlatformFixture fixture;

  /** One stream: the pieces in which its bytes are written, and the time between them. */
  private record Play(String name, List<String> pieces, Duration pause) {}

  private static List<String> split(String text, int pieces) {
    List<String> all = new ArrayList<>();
    int length = (text.length() + pieces - 1) / pieces;
    for (int from = 0; from < text.length(); from += length) {
      all.add(text.substring(from, Math.min(text.length(), from + length)));
    }
    return all;
  }

  private static String longEvent(int bytes) {
    return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + "w".repeat(bytes) + "\"},\"finish_reason\":null}]}\n\n";
  }

  private static String eventOf(int bytes) {
    return longEvent(bytes - longEvent(0).length());
  }

  private static List<String> after(String first, List<String> pieces) {
    List<String> all = new ArrayList<>(List.of(first));
    all.addAll(pieces);
    return all;
  }

  private static List<Play> plays() {
    String event = PlatformSite.eventText(0);
    return List.of(
        new Play("second event in pieces", after(event, split(PlatformSite.eventText(1), 6)), Duration.ofMillis(1200)),
        new Play("second event in many pieces", after(event, split(PlatformSite.eventText(1), 40)), Duration.ofMillis(200)),
        new Play("event in pieces with rests", after(event, split(PlatformSite.eventText(1), 2)), Duration.ofMillis(4000)),
        new Play("long first event", split(longEvent(LONG_EVENT_BYTES), 60), Duration.ofMillis(20)),
        new Play("long second event", after(event, split(eventOf(Protocol.MAX_BODY_BYTES), 60)), Duration.ofMillis(100)),
        new Play("long event at once", after(event, split(longEvent(LONG_EVENT_BYTES), 2)), Duration.ZERO),
        new Play("longest chunk", List.of(event, eventOf(Protocol.MAX_BODY_BYTES)), Duration.ZERO),
        new Play("last events in pieces", after(event, split(PlatformSite.STREAM_END, 8)), Duration.ofMillis(1000)),
        new Play("comment in pieces", after(event, split(": " + "c".repeat(20) + "\n", 6)), Duration.ofMillis(600)));
  }

  private void write(Exchange exchange, Play play, int next) {
    if (!exchange.isOpen()) {
      return;
    } else if (next < play.pieces.size()) {
      exchange.write(play.pieces.get(next));
      fixture.loop.after(play.pause, () -> write(exchange, play, next + 1));
    } else {
      exchange.write(play.name.startsWith("last") ? "" : PlatformSite.STREAM_END);
      exchange.end();
    }
  }

  private String play(Play play, int number) throws Exception {
    try (Socket socket = fixture.connect()) {
      socket.setSoTimeout(30_000);
      socket.getOutputStream().write(PlatformFixture.request("p" + number, PlatformFixture.BODY));
      return PlatformFixture.readAnswer(new BufferedInputStream(socket.getInputStream()));
    }
  }

  /** A stream was cut off while its server went on writing one event: for its length, or as no event had been completed for 4.5 s. */
  @Test
  void streamThatGoesOnBeingWrittenIsNotCutOff() throws Exception {
    List<Play> plays = plays();
    ExecutorService clients = Executors.newFixedThreadPool(plays.size());
    try (PlatformFixture started = new PlatformFixture(STEP)) {
      fixture = started;
      fixture.intercept((model, exchange) -> {
        if (model.reader || !exchange.request().path().startsWith("/v1/")) {
          return false;
        }
        exchange.begin(200, Map.of("content-type", "text/event-stream"));
        write(exchange, plays.get(Integer.parseInt(exchange.request().header("req-id").substring(1))), 0);
        return true;
      });
      List<Future<String>> answers = new ArrayList<>();
      for (int i = 0; i < plays.size(); i++) {
        int number = i;
        answers.add(clients.submit((Callable<String>) () -> play(plays.get(number), number)));
      }
      List<String> cutOff = new ArrayList<>();
      for (int i = 0; i < plays.size(); i++) {
        String answer = answers.get(i).get();
        if (!answer.startsWith("HTTP/1.1 200") || !answer.endsWith("\r\n0\r\n\r\n") || !answer.contains("[DONE]")) {
          cutOff.add(plays.get(i).name);
        }
      }
      assertTrue(cutOff.isEmpty(), "cut off: " + cutOff);
    } finally {
      clients.shutdownNow();
    }
  }
}
