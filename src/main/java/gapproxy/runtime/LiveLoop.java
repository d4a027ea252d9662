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
 * A loop on a thread of its own. An exception in a task is logged and counted, and the loop goes on: one request's fault must not end
 * the others. An {@link Error} ends the loop, since what it left half done can't be trusted; the owner is told and is to end the
 * process, which would else accept requests that nobody answers.
 */
public final class LiveLoop implements Loop, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(LiveLoop.class);
  private static final int INBOX = 1 << 16;
  private static final int TURN = 4096;                       // posts taken before timers are looked at again
  private static final long TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(5); // peers that send without pause would never let a turn end
  private static final int CLOCK_EVERY = 16;                  // posts, between two looks at the clock
  private static final int CANCELLED_KEPT = 1024;             // timers, before the queue is cleared of them
  private static final long LONGEST_SLEEP = TimeUnit.SECONDS.toNanos(1);
  private static final Duration LATE = Duration.ofMillis(150); // a turn or a timer past it is logged
  private static final long LONGEST_MEASURED = TimeUnit.MINUTES.toMicros(1);

  private final MpscArrayQueue<Runnable> inbox = new MpscArrayQueue<>(INBOX);
  private final ArrayDeque<Runnable> own = new ArrayDeque<>(); // posted by the loop itself
  private final PriorityQueue<Due> timers = new PriorityQueue<>();
  private final List<Runnable> idle = new ArrayList<>();
  private final long origin = System.nanoTime();
  private final Thread thread;
  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile boolean asleep;
  private volatile boolean stopping;
  private final Consumer<Throwable> onFatal;
  private final Histogram timerDelays = new Histogram(LONGEST_MEASURED, 2); // microseconds past the time they were due
  private final Histogram turns = new Histogram(LONGEST_MEASURED, 2); // microseconds
  private volatile int failures;
  private long timersSet;
  private int cancelled;

  private final class Due implements Timer, Comparable<Due> {
    final long at;
    final long number = timersSet++;                          // same instant: in the order they were set
    Runnable work;

    Due(long at, Runnable work) {
      this.at = at;
      this.work = work;
    }

    @Override
    public void cancel() {
      if (work != null) {
        work = null;
        cancelled++;
      }
    }

    @Override
    public int compareTo(Due o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
    }
  }

  public LiveLoop(String name) {
    this(name, cause -> { });
  }

  /** @param onFatal told, on the loop's thread and as the last thing there, of the error that ended the loop */
  public LiveLoop(String name, Consumer<Throwable> onFatal) {
    this.onFatal = onFatal;
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public Duration now() {
    return Duration.ofNanos(System.nanoTime() - origin);
  }

  @Override
  public Instant wall() {
    return Instant.now();
  }

  @Override
  public void execute(Runnable work) {
    if (Thread.currentThread() == thread) {
      own.add(work);
      return;
    }
    while (!inbox.offer(work)) {
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
  public Timer after(Duration span, Runnable work) {
    if (cancelled > CANCELLED_KEPT && cancelled > timers.size() / 2) {
      timers.removeIf(d -> d.work == null);
      cancelled = 0;
    }
    Due due = new Due(System.nanoTime() - origin + Math.max(0, span.toNanos()), work);
    timers.add(due);
    return due;
  }

  /** Timers in the queue, cancelled ones included. On the loop. */
  int timers() {
    return timers.size();
  }

  /** Tasks that ended with an exception or an error. */
  public int failures() {
    return failures;
  }

  /** How late timers ran, in microseconds. On the loop. */
  public Histogram timerDelays() {
    return timerDelays;
  }

  /** How long turns of the loop took, in microseconds. On the loop. */
  public Histogram turns() {
    return turns;
  }

  @Override
  public void whenIdle(Runnable work) {
    idle.add(work);
  }

  /** Posts work and waits for it, or for the loop's end; for the threads that start and stop a process. */
  public void call(Runnable work) {
    CountDownLatch done = new CountDownLatch(1);
    execute(() -> {
      try {
        work.run();
      } finally {
        done.countDown();
      }
    });
    try {
      while (!done.await(20, TimeUnit.MILLISECONDS) && ended.getCount() > 0) {
        continue;                                             // a loop that has ended runs nothing more
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
        LOG.warn("the loop {} did not end within 5 s", thread.getName());
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
      fail(fatal);
    } finally {
      ended.countDown();
    }
  }

  private void runTurn() {
    long begun = System.nanoTime();
    boolean any = turn();
    for (int i = 0; i < idle.size(); i++) {
      safely(idle.get(i));
    }
    if (any) {
      measure(turns, System.nanoTime() - begun, "a turn of the loop took long");
    }
    if (!any && own.isEmpty()) {
      sleep();
    }
  }

  private void fail(Throwable fatal) {
    failures++;
    try {
      LOG.atError().setCause(fatal).addKeyValue("loop", thread.getName()).log("the loop has ended by an error");
    } finally {
      onFatal.accept(fatal);
    }
  }

  private static void measure(Histogram into, long nanos, String what) {
    into.recordValue(Math.max(0, Math.min(LONGEST_MEASURED, nanos / 1000)));
    if (nanos > LATE.toNanos()) {
      LOG.atInfo().addKeyValue("cause", "loop_late").addKeyValue("ms", nanos / 1_000_000).log(what);
    }
  }

  private boolean turn() {
    boolean any = false;
    long now = System.nanoTime() - origin;
    for (Due d = timers.peek(); d != null && (d.work == null || d.at <= now); d = timers.peek()) {
      timers.poll();
      if (d.work != null) {
        measure(timerDelays, now - d.at, "a timer ran late");
        safely(d.work);
        d.work = null;                                        // a cancel from now on finds nothing to end
        any = true;
      } else {
        cancelled--;
      }
    }
    for (int i = 0; i < TURN; i++) {
      Runnable r = own.isEmpty() ? inbox.poll() : own.poll();
      if (r == null) {
        break;
      }
      safely(r);
      any = true;
      if (i % CLOCK_EVERY == CLOCK_EVERY - 1 && System.nanoTime() - origin - now > TURN_NANOS) {
        break;
      }
    }
    return any;
  }

  private void sleep() {
    asleep = true;
    if (inbox.isEmpty() && !stopping) {
      Due next = timers.peek();
      long span = next == null ? LONGEST_SLEEP : next.at - (System.nanoTime() - origin);
      if (span > 0) {
        LockSupport.parkNanos(Math.min(span, LONGEST_SLEEP));
      }
    }
    asleep = false;
  }

  private void safely(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      failures++;
      LOG.error("work on the loop failed", e);
    }
  }
}
