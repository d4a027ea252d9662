package gapproxy.gateway;

import gapproxy.runtime.Loop;
import java.time.Duration;
import java.util.function.BooleanSupplier;

/**
 * Notices when the process was held up, and tells how early data that was read after a hold-up may have arrived: bytes wait in the socket
 * meanwhile, and nothing tells for how long. A short timer runs while there is something to watch; when it runs late, the process stood
 * still. Belongs to the loop.
 */
final class StallDetector {
  private static final Duration BEAT_INTERVAL = Duration.ofMillis(25);
  /** A longer time between two beats is a hold-up. */
  private static final Duration STALL_THRESHOLD = Duration.ofMillis(50);
  /** What is read within this time after a hold-up may have arrived during it. */
  private static final Duration CATCH_UP_TIME = Duration.ofMillis(20);

  private final Loop loop;
  private final BooleanSupplier needed;
  private boolean running;
  private Duration lastBeatAt = Duration.ZERO;
  private Duration stallFrom = Duration.ZERO;
  private Duration stallTo = Duration.ZERO;

  /** @param needed whether there is something to watch; asked at each beat */
  StallDetector(Loop loop, BooleanSupplier needed) {
    this.loop = loop;
    this.needed = needed;
  }

  /** Starts to watch unless it does already. */
  void start() {
    if (!running) {
      running = true;
      lastBeatAt = loop.now();
      scheduleBeat();
    }
  }

  private void scheduleBeat() {
    loop.after(BEAT_INTERVAL, this::beat);
  }

  private void beat() {
    Duration now = loop.now();
    if (isStall(now)) {
      stallFrom = lastBeatAt;
      stallTo = now;
    }
    lastBeatAt = now;
    running = needed.getAsBoolean();
    if (running) {
      scheduleBeat();
    }
  }

  private boolean isStall(Duration now) {
    return now.minus(lastBeatAt).compareTo(STALL_THRESHOLD) > 0;
  }

  /** The earliest time at which data that was read at a time may have arrived. */
  Duration earliestArrival(Duration readAt) {
    if (running && isStall(readAt)) {
      return lastBeatAt;
    }
    boolean afterStall = readAt.compareTo(stallFrom) > 0 && readAt.compareTo(stallTo.plus(CATCH_UP_TIME)) <= 0;
    return afterStall ? stallFrom : readAt;
  }
}
