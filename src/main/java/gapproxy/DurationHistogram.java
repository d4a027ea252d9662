package gapproxy;

import java.util.stream.DoubleStream;

/** A histogram of durations in seconds; the upper edge of each bin is twice that of the one before. */
final class DurationHistogram {
  private static final int BINS = 8;
  private static final double MIN_COUNT = 0.5;  // below this sum the histogram counts as empty
  private final double firstBinSeconds;
  private Histogram histogram = new Histogram(BINS);

  DurationHistogram(double firstBinSeconds) {
    this.firstBinSeconds = firstBinSeconds;
  }

  /** A copy that also counts those unfinished waits that already exceed the median. */
  DurationHistogram withLonger(DoubleStream waitsSoFar) {
    double median = median();
    DurationHistogram all = new DurationHistogram(firstBinSeconds);
    all.histogram = histogram.copy();
    waitsSoFar.filter(w -> w > median).forEach(all::add);
    return all;
  }

  /** Adds a duration; one outside the range of the bins goes to the first or the last bin. */
  void add(double seconds) {
    histogram.add((int) Math.ceil(Math.log(Math.max(firstBinSeconds / 8, seconds) / firstBinSeconds) / Math.log(2)), 1);
  }

  void halve() {
    histogram.halve();
  }

  /** Adds a duration and halves the histogram if its sum then exceeds {@code maxSamples}. */
  void add(double seconds, double maxSamples) {
    add(seconds);
    if (histogram.sum() > maxSamples) {
      histogram.halve();
    }
  }

  double sum() {
    return histogram.sum();
  }

  /** The upper edge of the bin that contains the given quantile; 0 if the histogram is nearly empty. */
  double quantile(double fraction) {
    return histogram.sum() < MIN_COUNT ? 0 : firstBinSeconds * (1 << histogram.quantile(fraction));
  }

  double median() {
    return quantile(0.5);
  }
}
