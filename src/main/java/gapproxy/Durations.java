package gapproxy;

import java.time.Duration;

/** Helpers for {@link Duration}. */
final class Durations {
  private Durations() {}

  static Duration min(Duration a, Duration b) { return a.compareTo(b) < 0 ? a : b; }

  static double toSeconds(Duration span) { return span.toNanos() / 1e9; }
}
