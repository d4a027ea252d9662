package gapproxy.sim;

import gapproxy.runtime.Loop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The event loop of one simulated process, on virtual time. It can be paused, as by a long garbage collection, and killed. */
final class SimLoop implements Loop {
  private static final Instant EPOCH = Instant.parse("2026-01-01T00:00:00Z");

  private final Scheduler scheduler;
  private final Duration origin;
  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private final List<Runnable> idleTasks = new ArrayList<>();
  private final Set<SimTimer> timers = new HashSet<>();
  private Duration pausedUntil = Duration.ZERO;
  private Duration wallClockOffset = Duration.ZERO;
  private boolean turnScheduled;
  private boolean dead;

  private final class SimTimer implements Timer {
    Runnable cancel;

    @Override
    public void cancel() {
      timers.remove(this);
      cancel.run();
    }
  }

  SimLoop(Scheduler scheduler) {
    this.scheduler = scheduler;
    origin = scheduler.now();
  }

  @Override
  public Duration now() {
    return scheduler.now().minus(origin);
  }

  @Override
  public Instant wallClock() {
    return EPOCH.plus(scheduler.now()).plus(wallClockOffset);
  }

  @Override
  public void execute(Runnable work) {
    if (!dead) {
      tasks.add(work);
      scheduleTurn();
    }
  }

  private void scheduleTurn() {
    if (!turnScheduled) {
      turnScheduled = true;
      scheduler.after(pausedUntil.minus(scheduler.now()), this::runTurn);
    }
  }

  private void runTurn() {
    if (dead) {
      return;
    }
    if (pausedUntil.compareTo(scheduler.now()) > 0) {
      scheduler.after(pausedUntil.minus(scheduler.now()), this::runTurn);
      return;
    }
    while (!tasks.isEmpty() && !dead) {
      tasks.poll().run();
    }
    for (int i = 0; i < idleTasks.size() && !dead; i++) {
      idleTasks.get(i).run();
    }
    turnScheduled = false;
    if (!tasks.isEmpty()) {
      scheduleTurn();
    }
  }

  @Override
  public Timer after(Duration span, Runnable work) {
    SimTimer timer = new SimTimer();
    timers.add(timer);
    timer.cancel = scheduler.after(span, () -> {
      if (timers.remove(timer)) {
        execute(work);
      }
    });
    return timer;
  }

  @Override
  public void whenIdle(Runnable work) {
    idleTasks.add(work);
  }

  /** Runs nothing for the given span; tasks that become due meanwhile wait. */
  void pause(Duration span) {
    pausedUntil = scheduler.now().plus(span);
  }

  /** Moves the wall clock ahead or back; the monotonic time is unaffected. */
  void adjustWallClock(Duration by) {
    wallClockOffset = wallClockOffset.plus(by);
  }

  /** Drops all tasks and timers, and accepts no further task. */
  void kill() {
    dead = true;
    tasks.clear();
    List.copyOf(timers).forEach(SimTimer::cancel);
  }

  boolean dead() {
    return dead;
  }

  /** Number of pending timers. */
  int timers() {
    return timers.size();
  }
}
