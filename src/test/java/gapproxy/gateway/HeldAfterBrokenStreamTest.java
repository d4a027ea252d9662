package gapproxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.engine.EngineFailure;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A first token was taken for proof that nothing is held any longer. Where it was not this attempt's, or its server had not fetched the state,
 * the state stayed held after the answer was broken off.
 */
class HeldAfterBrokenStreamTest extends GatewayHarness {
  private static final Duration PAST_THE_CUT = Duration.ofMillis(5100);
  private static final Duration RELEASE_TIME = Duration.ofSeconds(1);

  private FakeReq req;

  @BeforeEach
  void beginRemoteAnswer() {
    req = sendReq();
    servers.reads.get(0).sent();
    servers.reservations.get(0).answered(Servers.ReservationResult.HELD);
    advance(TICK);
    servers.reads.get(0).readDone("", 0, 0);
    advance(TICK);
    servers.writes.get(0).sent();
    servers.writes.get(0).chunk("first", true);
    advance(TICK);
    servers.releases.clear();
  }

  private void assertReleased() {
    advance(RELEASE_TIME.dividedBy(2));
    assertTrue(servers.releases.contains("r"), "not released");
    advance(Duration.ofSeconds(10));
    assertEquals(0, gateway.possiblyHeldIds(), "the release does not come to its end");
    assertEquals(0, gateway.openReqCount());
  }

  @Test
  void stateIsReleasedWhenServerFallsSilentInItsAnswer() {
    advance(PAST_THE_CUT);
    assertEquals(List.of("begin", "failed"), req.answers);
    assertReleased();
  }

  @Test
  void stateIsReleasedWhenAnswerBreaks() {
    servers.writes.get(0).failed(new EngineFailure(EngineFailure.Kind.BROKEN, 200, new byte[0], "the connection ended"));
    assertReleased();
  }

  @Test
  void stateIsReleasedWhenClientLeavesInTheAnswer() {
    req.disconnectHandler.run();
    assertReleased();
  }

  @Test
  void nothingIsReleasedAfterWholeAnswer() {
    servers.writes.get(0).done();
    advance(Duration.ofSeconds(10));
    assertEquals(List.of(), servers.releases);
  }
}
