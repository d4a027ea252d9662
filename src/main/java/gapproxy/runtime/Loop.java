package gapproxy.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Executor;

/**
 * A single-threaded event loop. Posted tasks and due timers run in order, one at a time, in turns that end with the tasks of
 * {@link #whenIdle}. All state of a gateway, a simulated server or a client is owned by one loop; transport threads only post tasks to it.
 */
public interface Loop extends Executor {
  /** A timer that has been set. */
  interface Timer {
    /** Cancels the timer; has no effect once it has run. */
    void cancel();
  }

  /** Time since the loop was started; monotonic. */
  Duration now();

  /** Wall-clock time, for values that leave the process: logs, headers, start times in a server list. */
  Instant wallClock();

  /** Posts a task from any thread. A full queue blocks the caller, except on the loop itself. */
  @Override
  void execute(Runnable task);

  /** Sets a timer. If the delay is zero or less, the task runs in the next turn. Called on the loop only. */
  Timer after(Duration delay, Runnable task);

  /**
   * Adds a task that runs in each turn after the posted tasks and before the loop sleeps, to make decisions on everything received so far.
   */
  void whenIdle(Runnable task);
}
