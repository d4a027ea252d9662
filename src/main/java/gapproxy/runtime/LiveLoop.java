package gapproxy.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A loop in real time, on a thread of its own. An exception in a task is logged and counted, and the loop continues, so that the failure of
 * one request does not affect others. An {@link Error} ends the loop, since the state that the error leaves behind cannot be trusted. The
 * owner of the loop is notified and must end the process, which would otherwise accept requests that are never answered.
 */
public final class LiveLoop implements Loop, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(LiveLoop.class);
  /** Tasks posted by other threads that may wait for the loop. */
  private static final int INBOX_CAPACITY = 1 << 16;
  private static final int MAX_TASKS_PER_TURN = 4096;         // before timers are checked again
  /** Time after which a turn runs no further posted tasks. Without this limit, a turn would never end while peers send continuously. */
  private static final long MAX_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final int TASKS_PER_CLOCK_CHECK = 16;
  private static final int MAX_CANCELLED_TIMERS = 1024;       // that may be queued before they are purged
  private static final long MAX_SLEEP_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final Duration LATE_THRESHOLD = Duration.ofMillis(150); // slower turns, and timers that run later, are logged
  private static final long MAX_RECORDED_MICROS = TimeUnit.MINUTES.toMicros(1);

  private final MpscArrayQueue<Runnable> inbox = new MpscArrayQueue<>(INBOX_CAPACITY);
  private final ArrayDeque<Runnable> localTasks = new ArrayDeque<>(); // posted on the loop thread
  private final PriorityQueue<ScheduledTimer> timers = new PriorityQueue<>();
  private final List<Runnable> idleTasks = new ArrayList<>();
  private final long startNanos = System.nanoTime();
  private final Thread thread;
  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile boolean asleep;
  private volatile boolean stopping;
  private final Consumer<Throwable> onFatal;
  private final Histogram timerDelays = new Histogram(MAX_RECORDED_MICROS, 2); // in microseconds
  private final Histogram turnDurations = new Histogram(MAX_RECORDED_MICROS, 2); // in microseconds
  private volatile int failures;
  private long timerSequence;
  private int cancelledTimers;

  private final class ScheduledTimer implements Timer, Comparable<ScheduledTimer> {
    final long dueNanos;
    final long sequence = timerSequence++;                    // timers due at the same time run in this order
    Runnable task;

    ScheduledTimer(long dueNanos, Runnable task) {
      this.dueNanos = dueNanos;
      this.task = task;
    }

    @Override
    public void cancel() {
      if (task != null) {
        task = null;
        cancelledTimers++;
      }
    }

    @Override
    public int compareTo(ScheduledTimer other) {
      return dueNanos != other.dueNanos ? Long.compare(dueNanos, other.dueNanos) : Long.compare(sequence, other.sequence);
    }
  }

  /** Starts a loop whose end by an error is only logged. */
  public LiveLoop(String name) {
    this(name, cause -> { });
  }

  /**
   * Starts a loop.
   *
   * @param name name of the thread
   * @param onFatal called with the error that ended the loop, as the last action on its thread
   */
  public LiveLoop(String name, Consumer<Throwable> onFatal) {
    this.onFatal = onFatal;
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - startNanos);
  }

  @Override
  public Instant wallClock() {
    return Instant.now();
  }

  @Override
  public void execute(Runnable task) {
    if (Thread.currentThread() == thread) {
      localTasks.add(task);
      return;
    }
    while (!inbox.offer(task)) {
      if (stopping) {
        return;
      }
      LockSupport.parkNanos(50_000);
    }
    if (asleep) {
      LockSupport.unpark(thread);
    }
  }

  @Override
  public Timer after(Duration delay, Runnable task) {
    if (cancelledTimers > MAX_CANCELLED_TIMERS && cancelledTimers > timers.size() / 2) {
      timers.removeIf(d -> d.task == null);
      cancelledTimers = 0;
    }
    ScheduledTimer timer = new ScheduledTimer(System.nanoTime() - startNanos + Math.max(0, delay.toNanos()), task);
    timers.add(timer);
    return timer;
  }

  /** Number of queued timers, including cancelled ones. Called on the loop. */
  int queuedTimers() {
    return timers.size();
  }

  /** Number of tasks that threw an exception or an error. */
  public int failures() {
    return failures;
  }

  /** Delays of timers past their due time, in microseconds. Called on the loop. */
  public Histogram timerDelays() {
    return timerDelays;
  }

  /** Durations of the turns that ran a timer or a posted task, in microseconds. Called on the loop. */
  public Histogram turnDurations() {
    return turnDurations;
  }

  @Override
  public void whenIdle(Runnable task) {
    idleTasks.add(task);
  }

  /** Runs a task on the loop and waits until it has run or the loop has ended. Meant for threads that start and stop a process. */
  public void runAndWait(Runnable task) {
    CountDownLatch done = new CountDownLatch(1);
    execute(() -> {
      try {
        task.run();
      } finally {
        done.countDown();
      }
    });
    try {
      while (!done.await(20, TimeUnit.MILLISECONDS) && ended.getCount() > 0) {
        continue;                                             // checked periodically, since an ended loop runs nothing more
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    stopping = true;
    LockSupport.unpark(thread);
    try {
      if (Thread.currentThread() != thread && !ended.await(5, TimeUnit.SECONDS)) {
        LOG.warn("loop {} did not end within 5 s", thread.getName());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!stopping) {
        runTurn();
      }
    } catch (Throwable fatal) {
      stopping = true;
      reportFatal(fatal);
    } finally {
      ended.countDown();
    }
  }

  /** Runs due timers, posted tasks and the idle tasks once, then sleeps if no timer was due and no task was posted. */
  private void runTurn() {
    long startedAt = System.nanoTime();
    boolean any = runDueTasks();
    for (int i = 0; i < idleTasks.size(); i++) {
      runSafely(idleTasks.get(i));
    }
    if (any) {
      recordDelay(turnDurations, System.nanoTime() - startedAt, "loop turn took long");
    }
    if (!any && localTasks.isEmpty()) {
      sleep();
    }
  }

  private void reportFatal(Throwable fatal) {
    failures++;
    try {
      LOG.atError().setCause(fatal).addKeyValue("loop", thread.getName()).log("loop ended by an error");
    } finally {
      onFatal.accept(fatal);
    }
  }

  private static void recordDelay(Histogram histogram, long nanos, String message) {
    histogram.recordValue(Math.max(0, Math.min(MAX_RECORDED_MICROS, nanos / 1000)));
    if (nanos > LATE_THRESHOLD.toNanos()) {
      LOG.atInfo().addKeyValue("cause", "loop_late").addKeyValue("ms", nanos / 1_000_000).log(message);
    }
  }

  /** Runs due timers and a bounded number of posted tasks; returns whether there were any. */
  private boolean runDueTasks() {
    boolean any = false;
    long now = System.nanoTime() - startNanos;
    for (ScheduledTimer timer = timers.peek(); timer != null && (timer.task == null || timer.dueNanos <= now); timer = timers.peek()) {
      timers.poll();
      if (timer.task != null) {
        recordDelay(timerDelays, now - timer.dueNanos, "timer ran late");
        runSafely(timer.task);
        timer.task = null;                                    // a later cancel has no effect
        any = true;
      } else {
        cancelledTimers--;
      }
    }
    for (int i = 0; i < MAX_TASKS_PER_TURN; i++) {
      Runnable task = nextTask(i % 2 == 0);
      if (task == null) {
        break;
      }
      runSafely(task);
      any = true;
      if (i % TASKS_PER_CLOCK_CHECK == TASKS_PER_CLOCK_CHECK - 1 && System.nanoTime() - startNanos - now > MAX_TURN_NANOS) {
        break;
      }
    }
    return any;
  }

  /** Takes a task. Tasks that were posted on the loop and by other threads take turns, so that neither can hold up the others. */
  private Runnable nextTask(boolean localFirst) {
    Runnable first = localFirst ? localTasks.poll() : inbox.poll();
    if (first != null) {
      return first;
    }
    return localFirst ? inbox.poll() : localTasks.poll();
  }

  private void sleep() {
    asleep = true;
    if (inbox.isEmpty() && !stopping) {
      ScheduledTimer next = timers.peek();
      long nanos = next == null ? MAX_SLEEP_NANOS : next.dueNanos - (System.nanoTime() - startNanos);
      if (nanos > 0) {
        LockSupport.parkNanos(Math.min(nanos, MAX_SLEEP_NANOS));
      }
    }
    asleep = false;
  }

  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      failures++;
      LOG.error("task on the loop failed", e);
    }
  }
}
