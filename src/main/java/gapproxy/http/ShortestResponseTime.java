package gapproxy.http;

import java.time.Duration;

/**
 * The shortest time in which a server began to answer a call lately. Bytes from it can't have been on their way for longer than that, as long as
 * the path does not change.
 */
final class ShortestResponseTime {
  /** A time counts for one to two windows. */
  private static final Duration WINDOW = Duration.ofSeconds(30);

  private Duration windowEndsAt = Duration.ZERO;
  private Duration inWindow;
  private Duration inPreviousWindow;

  /** Records how long a call took until the first byte of its response. */
  void record(Duration responseTime, Duration now) {
    if (now.compareTo(windowEndsAt) >= 0) {
      inPreviousWindow = now.minus(windowEndsAt).compareTo(WINDOW) < 0 ? inWindow : null;
      inWindow = null;
      windowEndsAt = now.plus(WINDOW);
    }
    inWindow = shorter(inWindow, responseTime);
  }

  /** The shortest time recorded lately; zero if there is none. */
  Duration get() {
    Duration shortest = shorter(inPreviousWindow, inWindow);
    return shortest == null ? Duration.ZERO : shortest;
  }

  private static Duration shorter(Duration a, Duration b) {
    return a == null || b != null && b.compareTo(a) < 0 ? b : a;
  }
}
