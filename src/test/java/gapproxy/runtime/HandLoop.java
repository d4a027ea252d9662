package gapproxy.runtime;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/** A loop whose clock is turned by hand. */
public final class HandLoop implements Loop {
  private record Due(Duration at, long number, Runnable work) {}

  private final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
  private final List<Runnable> idle = new ArrayList<>();
  private final PriorityQueue<Due> timers = new PriorityQueue<>((a, b) ->
      a.at.equals(b.at) ? Long.compare(a.number, b.number) : a.at.compareTo(b.at));
  private Duration now = Duration.ZERO;
  private long numbers;

  @Override
  public Duration now() {
    return now;
  }

  @Override
  public Instant wall() {
    return Instant.EPOCH.plus(now);
  }

  @Override
  public void execute(Runnable work) {
    inbox.add(work);
  }

  @Override
  public Timer after(Duration span, Runnable work) {
    Due due = new Due(span.isNegative() ? now : now.plus(span), numbers++, work);
    timers.add(due);
    return () -> timers.remove(due);
  }

  @Override
  public void whenIdle(Runnable work) {
    idle.add(work);
  }

  /** Lets time pass in which the process stands still: nothing runs. */
  public void skip(Duration span) {
    now = now.plus(span);
  }

  /** Runs all that is posted, and what is due up to a time since the start. */
  public void turn(Duration to) {
    run();
    while (!timers.isEmpty() && timers.peek().at.compareTo(to) <= 0) {
      Due due = timers.poll();
      now = due.at.compareTo(now) > 0 ? due.at : now;
      due.work.run();
      run();
    }
    now = to;
  }

  private void run() {
    do {
      while (!inbox.isEmpty()) {
        inbox.poll().run();
      }
      idle.forEach(Runnable::run);
    } while (!inbox.isEmpty());
  }
}
