package gapproxy.sim;

import java.time.Duration;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Runs steps on virtual time, one at a time on the caller's thread. Steps at the same instant run in the order in which they were
 * scheduled, or in random order.
 */
final class Scheduler {
  private static final class Step implements Comparable<Step> {
    final long at;
    final long tieBreaker;
    final long number;
    Runnable work;

    Step(long at, long tie, long number, Runnable work) {
      this.at = at;
      this.tieBreaker = tie;
      this.number = number;
      this.work = work;
    }

    @Override
    public int compareTo(Step o) {
      return at != o.at ? Long.compare(at, o.at) : tieBreaker != o.tieBreaker ? Long.compare(tieBreaker, o.tieBreaker)
          : Long.compare(number, o.number);
    }
  }

  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final SplittableRandom shuffle;
  private long now;
  private long nextNumber;
  private long executedSteps;

  /** @param shuffle draws the order of steps at the same instant, or null for the order of scheduling */
  Scheduler(SplittableRandom shuffle) {
    this.shuffle = shuffle;
  }

  Duration now() {
    return Duration.ofNanos(now);
  }

  long executedSteps() {
    return executedSteps;
  }

  /** Schedules work after a span. Returns a runnable that cancels it. */
  Runnable after(Duration span, Runnable work) {
    Step step = new Step(now + Math.max(0, span.toNanos()), shuffle == null ? 0 : shuffle.nextInt(), nextNumber++, work);
    steps.add(step);
    return () -> {
      step.work = null;
      steps.remove(step);
    };
  }

  /** Runs steps until none is left, the time limit is reached or the condition, evaluated after every step, is false. */
  void run(Duration limit, BooleanSupplier shouldContinue) {
    while (!steps.isEmpty() && steps.peek().at <= limit.toNanos()) {
      Step step = steps.poll();
      now = step.at;
      if (step.work != null) {
        executedSteps++;
        step.work.run();
        if (!shouldContinue.getAsBoolean()) {
          return;
        }
      }
    }
    now = Math.max(now, Math.min(limit.toNanos(), now));
  }

  int pendingSteps() {
    return steps.size();
  }
}
