package gapproxy.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import gapproxy.LoopbackFleet;
import gapproxy.engine.EngineClient;
import gapproxy.engine.EngineFailure;
import gapproxy.http.ServerLimits;
import gapproxy.http.Exchange;
import gapproxy.http.StreamContent;
import gapproxy.http.HttpClient;
import gapproxy.http.HttpRequest;
import gapproxy.http.HttpServer;
import gapproxy.list.ServerList.State;
import gapproxy.openai.CompletionChunk;
import gapproxy.openai.ChatRequest;
import gapproxy.standin.ChatClient;
import gapproxy.standin.ChatClient.Request;
import gapproxy.standin.ChatClient.Outcome;
import gapproxy.standin.Engine;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the audit detects violations: a minimal gateway with a planted fault for each rule fails, and the same gateway without a
 * fault passes.
 */
class PlantedFaultsTest {
  private static final Duration SOON = Duration.ofSeconds(5);

  /** A minimal gateway that sends all reqs to one writer and has at most one planted fault. */
  private static final class FaultyGateway implements HttpServer.Handler {
    final LoopbackFleet bed;
    final EngineClient engines;
    final String fault;
    final Engine writer;
    int n;

    FaultyGateway(LoopbackFleet bed, String fault, Engine writer) {
      this.bed = bed;
      this.fault = fault;
      this.writer = writer;
      engines = new EngineClient(new HttpClient(bed.loop, bed.net, SOON), bed.loop, "bad", SOON, SOON);
    }

    @Override
    public Object decode(HttpRequest request) {
      return ChatRequest.parse(request.body());
    }

    @Override
    public void handle(Exchange exchange, Object decoded) {
      ChatRequest chat = (ChatRequest) decoded;
      String name = "bad-" + n++;
      if (fault.equals("no answer")) {
        return;
      }
      if (fault.equals("state kept") || fault.equals("none")) {
        Engine reader = bed.engines("read").get(0);
        Duration wait = fault.equals("none") ? Duration.ofMillis(300) : Duration.ofMillis(1500);
        engines.read(reader.address(), name + "-0", null, chat, new EngineClient.ReadListener() {
          @Override
          public void readDone(JsonNode transfer, long kept, long prompt) {
            bed.loop.after(wait, () -> write(exchange, chat, name + "-1", transfer));
          }

          @Override
          public void failed(EngineFailure failure) {
            exchange.terminate();
          }
        });
      } else {
        write(exchange, chat, name + "-0", null);
      }
    }

    private void write(Exchange exchange, ChatRequest chat, String id, JsonNode transfer) {
      engines.write(writer.address(), id, null, null, chat, transfer, new EngineClient.WriteListener() {
        @Override
        public void chunk(CompletionChunk chunk) {
          if (!exchange.hasBegun()) {
            exchange.begin(200, Map.of("content-type", "text/event-stream"));
          }
          exchange.write("data: " + chunk.data() + "\n\n");
        }

        @Override
        public void readDelivered(StreamContent content, long unfinishedBytes) {}

        @Override
        public void done() {
          if (fault.equals("run again") && id.endsWith("-0")) {
            write(exchange, chat, id.replace("-0", "-1"), null);
            return;
          }
          exchange.write("data: [DONE]\n\n");
          if (fault.equals("second answer")) {
            exchange.write("data: [DONE]\n\n");
          }
          exchange.end();
        }

        @Override
        public void failed(EngineFailure failure) {
          exchange.terminate();
        }
      });
    }
  }

  @ParameterizedTest
  @CsvSource({"none,0", "second answer,1", "no answer,1", "run again,2", "sent to a drained server,3", "burst on a cold one,4",
      "state kept,5"})
  void plantedFaultViolatesItsRule(String fault, int rule) throws Exception {
    try (LoopbackFleet bed = new LoopbackFleet(0, 1, 2, "")) {
      Engine writer = bed.engines("write").get(0);
      FaultyGateway gateway = new FaultyGateway(bed, fault, writer);
      HttpServer server = HttpServer.open(bed.loop, bed.net, new InetSocketAddress("127.0.0.1", 0), ServerLimits.DEFAULT, gateway);
      bed.onLoop(() -> {
        bed.audit.gateway(bed.loop.now(), "bad", true);
        bed.audit.told(bed.loop.now(), "bad", writer.spec.id(), true, null);
        return null;
      });
      int reqCount = 1;
      if (fault.startsWith("sent")) {
        bed.publishState(writer, State.DRAINING);
        bed.onLoop(() -> {
          bed.audit.told(bed.loop.now(), "bad", writer.spec.id(), false, null);
          return null;
        });
        // Longer than the drain grace and the audit's slack.
        Thread.sleep(1100);
      } else if (fault.startsWith("burst")) {
        bed.onLoop(() -> {
          bed.fleet.restart(writer, Duration.ZERO);
          return null;
        });
        LoopbackFleet.awaitCondition("it is up again", () -> bed.onLoop(writer::isUp));
        bed.onLoop(() -> {
          bed.audit.told(bed.loop.now(), "bad", writer.spec.id(), true, writer.entry(State.READY).upSince());
          return null;
        });
        reqCount = 150;
      }
      CompletableFuture<Outcome> last = null;
      for (int i = 0; i < reqCount; i++) {
        CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        Request request = new Request("f" + i, "draft", "non_replayable", true, "", null, LoopbackFleet.words(50), 2,
            Duration.ofMillis(2500), fault.equals("no answer") ? Duration.ofSeconds(30) : null, 0, 0, false);
        bed.loop.execute(() -> bed.clients.send(request, () -> new ChatClient.Target("bad", server.address()), outcome::complete));
        last = outcome;
      }
      if (fault.equals("no answer")) {
        // Longer than the req's time budget and the audit's slack.
        Thread.sleep(3000);
      } else {
        last.get(20, TimeUnit.SECONDS);
      }
      Audit.Report report = bed.onLoop(() -> bed.audit.finish(bed.loop.now()));
      bed.onLoop(() -> {
        server.closeNow();
        return null;
      });
      if (rule == 0) {
        assertEquals(java.util.List.of(), report.violations());
      } else {
        assertTrue(report.counts()[rule] > 0, report.toString());
      }
    }
  }
}
