package gapproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gapproxy.api.Event;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** What a gateway keeps of its sends to one server. */
class ServerViewTest {
  private static final Duration RETENTION = Duration.ofMillis(3400);

  private final ServerView server = new ServerView(RulesHarness.plainSettings(), 1,
      new Event.Line(1, 0, 1, 0, Event.State.READY, 1, null)) {
    @Override
    void receive(Object message) {}
  };

  /** Each send was kept for ever where the server never reports its load. */
  @Test
  void sendsAreForgottenWithoutLoadReports() {
    for (int i = 0; i < 100_000; i++) {
      server.recordSend(100, Duration.ofMillis(100L * i), RETENTION);
    }
    assertEquals(35, server.recentSends.size());
  }

  /** The other side: what a report that is still in use may not cover is kept. */
  @Test
  void sendsOfTheLifetimeOfAReportAreKept() {
    for (int ms = 0; ms <= RETENTION.toMillis(); ms += 10) {
      server.recordSend(100, Duration.ofMillis(ms), RETENTION);
    }
    assertEquals(341, server.recentSends.size());
    assertEquals(Duration.ZERO, server.recentSends.peek().at());
  }
}
