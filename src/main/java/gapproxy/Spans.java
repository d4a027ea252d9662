package gapproxy;

import java.time.Duration;

/** Arithmetic of spans. */
final class Spans {
  private Spans() {}

  static Duration least(Duration a, Duration b) { return a.compareTo(b) < 0 ? a : b; }

  static double seconds(Duration span) { return span.toNanos() / 1e9; }
}
