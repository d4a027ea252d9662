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
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A loop on a thread of its own. */
public final class LiveLoop implements Loop, AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(LiveLoop.class);
  private static final int INBOX = 1 << 16;
  private static final int TURN = 4096;                       // posts taken before timers are looked at again

  private final MpscArrayQueue<Runnable> inbox = new MpscArrayQueue<>(INBOX);
  private final ArrayDeque<Runnable> own = new ArrayDeque<>(); // posted by the loop itself
  private final PriorityQueue<Due> timers = new PriorityQueue<>();
  private final List<Runnable> idle = new ArrayList<>();
  private final long origin = System.nanoTime();
  private final Thread thread;
  private final CountDownLatch ended = new CountDownLatch(1);
  private volatile boolean asleep;
  private volatile boolean stopping;
  private long timersSet;

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
      work = null;
    }

    @Override
    public int compareTo(Due o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(number, o.number);
    }
  }

  public LiveLoop(String name) {
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
    Due due = new Due(System.nanoTime() - origin + Math.max(0, span.toNanos()), work);
    timers.add(due);
    return due;
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
    while (!stopping) {
      boolean any = turn();
      for (int i = 0; i < idle.size(); i++) {
        safely(idle.get(i));
      }
      if (!any && own.isEmpty()) {
        sleep();
      }
    }
    ended.countDown();
  }

  private boolean turn() {
    boolean any = false;
    long now = System.nanoTime() - origin;
    for (Due d = timers.peek(); d != null && (d.work == null || d.at <= now); d = timers.peek()) {
      timers.poll();
      if (d.work != null) {
        safely(d.work);
        any = true;
      }
    }
    for (int i = 0; i < TURN; i++) {
      Runnable r = own.isEmpty() ? inbox.poll() : own.poll();
      if (r == null) {
        break;
      }
      safely(r);
      any = true;
    }
    return any;
  }

  private void sleep() {
    asleep = true;
    if (inbox.isEmpty() && !stopping) {
      Due next = timers.peek();
      long span = next == null ? 1_000_000_000L : next.at - (System.nanoTime() - origin);
      if (span > 0) {
        LockSupport.parkNanos(Math.min(span, 1_000_000_000L));
      }
    }
    asleep = false;
  }

  /** One req's fault must not end the others: it is logged and the loop goes on. */
  private static void safely(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      LOG.error("work on the loop failed", e);
    }
  }
}
