package gapproxy.engine;

import java.util.Arrays;

/** Parses an engine's load from metrics in the Prometheus text format, by the names that vLLM gives them. */
public final class LoadMetrics {
  private static final String[] METRIC_NAMES =
      {"vllm:num_requests_running", "vllm:num_requests_waiting", "vllm:kv_cache_usage_perc"};
  // Name of the cache usage metric in earlier versions of vLLM.
  private static final String OLD_CACHE_USAGE_NAME = "vllm:gpu_cache_usage_perc";

  private LoadMetrics() {}

  /**
   * Parses the number of running requests, the number of waiting requests, and the share of the cache in use. If an engine runs several
   * models or ranks, the first two figures are sums and the share is the mean.
   *
   * @return the three figures in that order; empty if one of the first two is missing
   */
  public static double[] parse(String text) {
    double[] sum = new double[METRIC_NAMES.length];
    int[] seen = new int[METRIC_NAMES.length];
    text.lines().filter(l -> !l.startsWith("#")).forEach(l -> {
      int end = l.indexOf('{') >= 0 ? l.indexOf('{') : l.indexOf(' ');
      String name = end < 0 ? "" : l.substring(0, end);
      int i = name.equals(OLD_CACHE_USAGE_NAME) ? 2 : Arrays.asList(METRIC_NAMES).indexOf(name);
      if (i >= 0) {
        String rest = l.substring(l.indexOf('{') >= 0 ? l.lastIndexOf('}') + 1 : end).trim();
        double value = parseNumber(rest.split("\\s+")[0]);
        if (value >= 0 && value < 1e12) { // excludes NaN and infinity
          sum[i] += value;
          seen[i]++;
        }
      }
    });
    if (seen[0] == 0 || seen[1] == 0) {
      return new double[0];
    }
    sum[2] /= Math.max(1, seen[2]);
    return sum;
  }

  private static double parseNumber(String text) {
    try {
      return Double.parseDouble(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }
}
