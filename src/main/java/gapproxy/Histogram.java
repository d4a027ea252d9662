package gapproxy;

/** A histogram with a fixed number of bins, which its owner halves periodically so that old values fade. */
final class Histogram {
  private final double[] bins;

  Histogram(int binCount) {
    bins = new double[binCount];
  }

  Histogram copy() {
    Histogram copy = new Histogram(bins.length);
    System.arraycopy(bins, 0, copy.bins, 0, bins.length);
    return copy;
  }

  /** Adds to a bin; an index out of range goes to the nearest bin. */
  void add(int bin, double weight) {
    bins[Math.max(0, Math.min(bins.length - 1, bin))] += weight;
  }

  void clear(int bin) {
    bins[bin] = 0;
  }

  void halve() {
    for (int i = 0; i < bins.length; i++) {
      bins[i] /= 2;
    }
  }

  double count(int bin) {
    return bins[bin];
  }

  double sum() {
    double sum = 0;
    for (double bin : bins) {
      sum += bin;
    }
    return sum;
  }

  /** The bin's share of the sum; sums below 1 count as 1. */
  double share(int bin) {
    return bins[bin] / Math.max(1, sum());
  }

  /** The index of the bin that contains the given quantile. */
  int quantile(double fraction) {
    double remaining = sum() * fraction;
    int bin = 0;
    while (bin < bins.length - 1 && (remaining -= bins[bin]) > 0) {
      bin++;
    }
    return bin;
  }
}
