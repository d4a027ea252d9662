package gapproxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.LoopbackFleet;
import gapproxy.audit.Traffic;
import gapproxy.standin.ChatClient;
import gapproxy.standin.Engine;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What becomes of the connections to engines. */
class EngineConnectionTest {
  private static final int REQUESTS = 6;

  /** Sends requests side by side, and returns how many connections to their engine are open some time after their answers. */
  private static int openConnectionsAfterAnswers(Duration streamEndDelay, long waitMs) throws Exception {
    try (LoopbackFleet fleet = new LoopbackFleet(1, 1, 1, "")) {
      Engine writer = fleet.engines("write").get(0);
      fleet.onLoop(() -> writer.faults.streamEndDelay = streamEndDelay);
      List<CompletableFuture<ChatClient.Outcome>> answers = IntStream.range(0, REQUESTS)
          .mapToObj(i -> fleet.send(fleet.request(20, 40))).toList();
      for (CompletableFuture<ChatClient.Outcome> answer : answers) {
        assertEquals(Traffic.Answer.DONE, answer.get(20, TimeUnit.SECONDS).answer());
      }
      TimeUnit.MILLISECONDS.sleep(waitMs);
      return fleet.onLoop(writer::openConnections);
    }
  }

  /** Guards against a gateway that closes each connection at the last event of a stream, ahead of the end of the response. */
  @ParameterizedTest
  @ValueSource(longs = {0, 150, 600})
  void connectionsAreKeptAfterWholeStreams(long streamEndDelayMs) throws Exception {
    int open = openConnectionsAfterAnswers(Duration.ofMillis(streamEndDelayMs), 1800);
    assertTrue(open >= REQUESTS, open + " connections are open");
  }

  /** The other side: a response that never ends would hold its connection for good. */
  @Test
  void connectionIsClosedIfItsResponseNeverEnds() throws Exception {
    int open = openConnectionsAfterAnswers(Duration.ofMinutes(1), 1800);
    assertTrue(open < REQUESTS, open + " connections are open");
  }
}
