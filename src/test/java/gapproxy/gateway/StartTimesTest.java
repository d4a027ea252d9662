package gapproxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gapproxy.api.Event;
import gapproxy.config.Config;
import gapproxy.config.ConfigReader;
import gapproxy.list.ServerList;
import gapproxy.runtime.Loop;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How the start times of listed servers are converted to the loop's clock, also when the wall clock is stepped. */
class StartTimesTest {
  private static final Instant EPOCH = Instant.parse("2026-01-01T00:00:00Z");
  private Duration now = Duration.ofSeconds(100);
  private Duration wallClockOffset = Duration.ZERO;

  private final Loop loop = new Loop() {
    @Override
    public Duration now() {
      return now;
    }

    @Override
    public Instant wallClock() {
      return EPOCH.plus(now).plus(wallClockOffset);
    }

    @Override
    public void execute(Runnable work) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Timer after(Duration span, Runnable work) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void whenIdle(Runnable work) {
      throw new UnsupportedOperationException();
    }
  };

  private Duration upSince(Fleet fleet, long index, Instant since) throws Exception {
    return upSince(fleet, index, "127.0.0.1:9", since);
  }

  private Duration upSince(Fleet fleet, long index, String address, Instant since) throws Exception {
    String servers = "{\"id\": 1, \"address\": \"" + address + "\", \"kind\": \"w\""
        + (since == null ? "" : ", \"up_since_ms\": " + since.toEpochMilli()) + "}";
    Event.ServerList list = fleet.apply(ServerList.parse(("{\"epoch\": \"e\", \"index\": " + index + ", \"servers\": [" + servers + "]}")
        .getBytes(StandardCharsets.UTF_8)), false);
    return list.lines().isEmpty() ? null : list.lines().get(0).upSince();
  }

  private static Config config() throws Exception {
    return ConfigReader.parse("""
        {"name": "g", "groups": [{"name": "m", "models": ["m"]}], "kinds": [{"name": "w", "role": "write", "memory_tokens": 1000}],
         "list": {"file": "x"}}
        """, "test");
  }

  @Test
  void changedAddressIsANewEngineThatStartsNow() throws Exception {
    Fleet fleet = new Fleet(GatewaySettings.of(config()), loop, a -> { });
    assertEquals(null, upSince(fleet, 1, "127.0.0.1:9", null));
    now = Duration.ofSeconds(150);
    assertEquals(now, upSince(fleet, 2, "127.0.0.1:10", null));
    Duration addressChangedAt = now;
    now = Duration.ofSeconds(160);
    assertEquals(addressChangedAt, upSince(fleet, 3, "127.0.0.1:10", null));
    assertEquals(now, upSince(fleet, 4, "127.0.0.1:11", EPOCH.plusSeconds(20)), "what was sent before went to the previous engine");
  }

  @Test
  void clockStepDoesNotMoveStartTimes() throws Exception {
    Fleet fleet = new Fleet(GatewaySettings.of(config()), loop, a -> { });
    Instant firstStart = EPOCH.plusSeconds(40);
    assertEquals(Duration.ofSeconds(40), upSince(fleet, 1, firstStart));
    now = Duration.ofSeconds(200);
    // The wall clock is stepped ahead. The unchanged start time in the list is no new start.
    wallClockOffset = Duration.ofMinutes(5);
    assertEquals(Duration.ofSeconds(40), upSince(fleet, 2, firstStart));
    now = Duration.ofSeconds(230);
    // A start 2 s ago, which is 302 s ago by the wrong clock.
    Instant secondStart = EPOCH.plusSeconds(228);
    assertEquals(Duration.ofSeconds(228), upSince(fleet, 3, secondStart), "the actual start time");
    wallClockOffset = Duration.ZERO;
    assertEquals(Duration.ofSeconds(228), upSince(fleet, 4, secondStart));
  }

  /**
   * A clock that is ahead when the process starts shows no step. The start time is bounded by the previous list, which did not contain it.
   */
  @Test
  void clockAheadFromProcessStartMakesNoServerWarm() throws Exception {
    wallClockOffset = Duration.ofMinutes(5);
    for (GatewaySettings settings : List.of(GatewaySettings.of(config()), singleClockTerms())) {
      now = Duration.ofSeconds(100);
      Fleet fleet = new Fleet(settings, loop, a -> { });
      upSince(fleet, 1, EPOCH.plusSeconds(40));
      now = Duration.ofSeconds(200);
      upSince(fleet, 2, EPOCH.plusSeconds(40));
      now = Duration.ofSeconds(230);
      assertEquals(Duration.ofSeconds(200), upSince(fleet, 3, EPOCH.plusSeconds(228)), "not before the list that did not contain it");
    }
  }

  private static GatewaySettings singleClockTerms() throws Exception {
    GatewaySettings settings = GatewaySettings.of(config());
    return new GatewaySettings(settings.name(), settings.settings(), settings.groups(), settings.zones(), settings.kinds(),
        settings.releaseWithin(), settings.maxAnswerTime(), settings.silenceLimit(), settings.stopTimeout(), settings.maxOpenReqs(), true);
  }

  /** If servers and this machine share one clock, start times stay correct whichever way that clock is stepped. */
  @Test
  void steppedClockDoesNotChangeWarmUp() throws Exception {
    for (Duration step : List.of(Duration.ofHours(1), Duration.ofHours(-1), Duration.ofSeconds(7), Duration.ofSeconds(-7))) {
      now = Duration.ofSeconds(100);
      wallClockOffset = Duration.ZERO;
      Fleet fleet = new Fleet(singleClockTerms(), loop, a -> { });
      upSince(fleet, 1, EPOCH.plusSeconds(40));
      now = Duration.ofSeconds(200);
      wallClockOffset = step;
      assertEquals(Duration.ofSeconds(198), upSince(fleet, 2, EPOCH.plusSeconds(198)), "started 2 s ago, clock stepped by " + step);
      now = Duration.ofSeconds(300);
      // The clock is stepped back.
      wallClockOffset = Duration.ZERO;
      assertEquals(Duration.ofSeconds(298), upSince(fleet, 3, EPOCH.plusSeconds(298)), "after the clock was stepped back from " + step);
    }
  }
}
