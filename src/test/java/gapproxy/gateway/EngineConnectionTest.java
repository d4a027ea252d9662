package gapproxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.LoopbackFleet;
import gapproxy.audit.Traffic;
import gapproxy.standin.ChatClient;
import gapproxy.standin.Engine;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What becomes of the connections to engines. */
class EngineConnectionTest {
  private static final int REQUESTS = 6;

  /** Guards against a gateway that closes each connection at the last event of a stream, ahead of the end of the response. */
  @Test
  void connectionsAreKeptAfterWholeStreams() throws Exception {
    try (LoopbackFleet fleet = new LoopbackFleet(1, 1, 1, "")) {
      Engine writer = fleet.engines("write").get(0);
      List<CompletableFuture<ChatClient.Outcome>> answers = IntStream.range(0, REQUESTS)
          .mapToObj(i -> fleet.send(fleet.request(20, 40))).toList();
      for (CompletableFuture<ChatClient.Outcome> answer : answers) {
        assertEquals(Traffic.Answer.DONE, answer.get(20, TimeUnit.SECONDS).answer());
      }
      fleet.awaitEmpty();
      TimeUnit.MILLISECONDS.sleep(300);
      int open = fleet.onLoop(writer::openConnections);
      assertTrue(open >= REQUESTS, open + " connections are open");
    }
  }
}
