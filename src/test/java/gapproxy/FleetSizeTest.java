package gapproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.api.Action;
import gapproxy.api.Event;
import gapproxy.api.Event.Outcome;
import gapproxy.api.Settings;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What the decisions cost in fleets of different sizes at the same traffic, in processor time of their thread. */
class FleetSizeTest {
  private static final int USUAL_FLEET = 200, LARGE_FLEET = 3200, SERVERS_PER_CELL = 8, SMALL_CELL = 4, REQS = 120, UNMEASURED_REQS = 40;
  private static final Duration BETWEEN_REQS = Duration.ofMillis(80);
  /** The time for one decision may grow with the fleet, and by this factor beyond that; with its square it would by sixteen. */
  private static final double TOLERANCE = 3;

  /** How servers react to what they get. */
  private enum Fleet {
    /** Quick and sound, with load reports by probes. */
    SOUND,
    /** Most reads have to wait, and half of the cells have too few readers, so that others read for them. */
    UNEVEN_CELLS,
    /** Writers report that they are full, so that reqs look for others. */
    FULL_WRITERS,
    /** Every fourth read fails. */
    FAILING
  }

  /** One gateway's decisions, and servers that answer them at once. */
  private static final class Drive {
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Rules rules;
    private final Fleet fleet;
    private final Deque<Event> replies = new ArrayDeque<>();
    private Duration now = Duration.ZERO;
    private long cpuNanos;
    private int finished, reads;
    private int attempts;                                     // of the present req

    Drive(Fleet fleet, int servers) {
      this.fleet = fleet;
      Settings settings = RulesHarness.withGateways(RulesHarness.plainSettings(), 100, Settings.Source.BY_PROBE);
      rules = new Rules(settings, 7);
      List<Event.Line> lines = new ArrayList<>();
      for (int i = 0; i < servers; i++) {
        int cell = i / (fleet == Fleet.UNEVEN_CELLS ? SMALL_CELL : SERVERS_PER_CELL);
        boolean isReader = fleet == Fleet.UNEVEN_CELLS ? (i % SMALL_CELL == 0) == (cell % 2 == 0) : i % 2 == 0;
        lines.add(new Event.Line(i + 1, cell % 3, isReader ? 0 : 1, cell, Event.State.READY, 1, null));
      }
      step(new Event.ServerList(Event.ListForm.COMPLETE, lines));
    }

    private void step(Event event) {
      long from = threads.getCurrentThreadCpuTime();
      List<Action> actions = rules.step(now, List.of(event));
      cpuNanos += threads.getCurrentThreadCpuTime() - from;
      actions.forEach(this::reply);
      while (!replies.isEmpty()) {
        step(replies.poll());
      }
    }

    private void reply(Action action) {
      if (action instanceof Action.Probe probe) {
        double memory = fleet == Fleet.FULL_WRITERS ? 1.5 : 0.1;
        replies.add(new Event.Probed(probe.server(), Outcome.DONE, Duration.ofMillis(1), new double[] {1, 0, memory, 0}));
      } else if (action instanceof Action.Forward forward && forward.path() == Action.Path.READ) {
        reads++;
        boolean fails = fleet == Fleet.FAILING && reads % 4 == 0;
        Duration took = Duration.ofMillis(fleet == Fleet.UNEVEN_CELLS && reads % 5 < 3 ? 700 : 60);
        replies.add(new Event.Ended(forward.req(), attempt(forward), fails ? Outcome.ERROR : Outcome.READ, 0, false, took, new double[0]));
      } else if (action instanceof Action.Forward forward) {
        replies.add(new Event.FirstToken(forward.req(), attempt(forward), Duration.ofMillis(30)));
        replies.add(new Event.Ended(forward.req(), attempt(forward), Outcome.DONE, 0, true, Duration.ofMillis(300), new double[0]));
        attempts = 0;
        finished++;
      } else if (action instanceof Action.PushBack || action instanceof Action.Abort) {
        attempts = 0;
        finished++;
      }
    }

    private int attempt(Action.Forward forward) {
      return attempts++;
    }

    private void reqs(int count) {
      for (int i = 0; i < count; i++) {
        now = now.plus(BETWEEN_REQS);
        attempts = 0;
        step(new Event.Accept(finished, 0, 0, 1 + i % 50, Duration.ofSeconds(5), 0, 3000, 0, 300));
      }
    }

    /** The processor time for a number of reqs and for the time between them. */
    private double millisPerReq() {
      reqs(UNMEASURED_REQS);
      cpuNanos = 0;
      reqs(REQS);
      assertEquals(UNMEASURED_REQS + REQS, finished);
      return cpuNanos / 1e6 / REQS;
    }
  }

  /** At 3,200 servers a decision took 0.4 s, as it went over all servers for each server, and reqs got no answer in time. */
  @ParameterizedTest
  @EnumSource(Fleet.class)
  void decisionsTakeNoMoreThanLinearTimeInTheSizeOfTheFleet(Fleet fleet) {
    new Drive(fleet, USUAL_FLEET).millisPerReq();             // compiles
    double usual = new Drive(fleet, USUAL_FLEET).millisPerReq();
    double large = new Drive(fleet, LARGE_FLEET).millisPerReq();
    double allowed = TOLERANCE * LARGE_FLEET / USUAL_FLEET;
    assertTrue(large <= allowed * usual, "per req " + usual + " ms with " + USUAL_FLEET + " servers, " + large + " with " + LARGE_FLEET);
  }
}
