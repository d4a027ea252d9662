package gapproxy.gateway;

import gapproxy.gateway.StreamActivity.Arrival;
import gapproxy.http.StreamContent;
import gapproxy.runtime.Loop;
import gapproxy.trace.Metrics;
import java.time.Duration;
import java.util.function.BiConsumer;

/** Ends the answers whose servers have fallen silent, when {@link StreamSilencePolicy} decides so. Belongs to the loop. */
final class StreamWatch {
  private final Loop loop;
  private final StreamSilencePolicy policy;
  private final StallDetector stalls;
  private final Metrics metrics;
  private final AttemptLog log;
  private final BiConsumer<Req.Attempt, String> streamEnder;

  /** @param streamEnder ends an answer that has begun, for a reason that is given as text */
  StreamWatch(Loop loop, StreamSilencePolicy policy, StallDetector stalls, Metrics metrics, AttemptLog log,
      BiConsumer<Req.Attempt, String> streamEnder) {
    this.loop = loop;
    this.policy = policy;
    this.stalls = stalls;
    this.metrics = metrics;
    this.log = log;
    this.streamEnder = streamEnder;
  }

  /** Watches an answer that has begun, until its attempt ends. */
  void watch(Req.Attempt attempt) {
    attempt.activity = new StreamActivity(arrival(attempt));
    schedule(attempt, policy.endAt(attempt.activity, loop.now()));
  }

  /**
   * Records what one read brought of a watched answer.
   *
   * @param unfinishedBytes length of the event or comment that has come in part, 0 if there is none
   */
  void received(Req.Attempt attempt, StreamContent content, long unfinishedBytes) {
    attempt.activity.received(content, unfinishedBytes, arrival(attempt));
    Duration endAt = policy.endAt(attempt.activity, loop.now());
    if (endAt.compareTo(attempt.silenceCheckAt) < 0) {
      attempt.timeoutTimer.cancel();
      schedule(attempt, endAt);
    }
  }

  /** When the data that is being handled may have been sent: before a hold-up of the process, and before it was on its way. */
  private Arrival arrival(Req.Attempt attempt) {
    Duration readAt = attempt.lastReadAt(loop.now());
    Duration afterHoldUp = stalls.earliestArrival(readAt);
    Duration afterWay = readAt.minus(StreamSilencePolicy.longestWay(attempt.responseTime()));
    return new Arrival(afterHoldUp.compareTo(afterWay) < 0 ? afterHoldUp : afterWay, readAt);
  }

  private void schedule(Req.Attempt attempt, Duration at) {
    attempt.silenceCheckAt = at;
    // An event may have arrived while the process was held up, so what can be read is read before the decision.
    attempt.timeoutTimer = loop.after(at.minus(loop.now()), () -> {
      Duration now = loop.now();
      Duration endAt = policy.endAt(attempt.activity, now);
      if (endAt.compareTo(now) > 0) {
        schedule(attempt, endAt);
      } else {
        attempt.afterNextRead(() -> endIfSilent(attempt, endAt));
      }
    });
  }

  private void endIfSilent(Req.Attempt attempt, Duration dueAt) {
    if (!attempt.inFlight()) {
      return;
    }
    Duration now = loop.now();
    Duration endAt = policy.endAt(attempt.activity, now);
    if (endAt.compareTo(now) > 0) {
      schedule(attempt, endAt);
      return;
    }
    metrics.silentStream(attempt.activity.silence());
    log.streamSilent(attempt, now.minus(dueAt));
    Duration silentFor = now.minus(attempt.activity.lastEvent().readAt());
    streamEnder.accept(attempt, "the engine completed no event for " + silentFor.toMillis() + " ms");
  }
}
