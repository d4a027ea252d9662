package gapproxy.sim;

import java.util.List;
import java.util.function.Function;

/** Reduces a failing plan as long as it still fails in the same way (delta debugging). */
public final class Shrinker {
  private static final int MAX_RUNS = 400;

  private Shrinker() {}

  /**
   * @param findFailures runs a plan and returns its failures
   * @return the smallest failing plan found, or null if the original plan passes
   */
  public static Plan shrink(Plan original, Function<Plan, List<String>> findFailures) {
    List<String> failures = findFailures.apply(original);
    if (failures.isEmpty()) {
      return null;
    }
    Plan smallest = original;
    int runs = 0;
    boolean reduced = true;
    while (reduced && runs < MAX_RUNS) {
      reduced = false;
      for (Plan candidate : smallest.smaller()) {
        if (runs++ < MAX_RUNS && kind(findFailures.apply(candidate)).equals(kind(failures))) {
          smallest = candidate;
          reduced = true;
          break;
        }
      }
    }
    return smallest;
  }

  /** The text before the first colon of the first failure, which names the violated rule or invariant. */
  private static String kind(List<String> failures) {
    return failures.isEmpty() ? "" : failures.get(0).substring(0, Math.max(0, failures.get(0).indexOf(':')));
  }
}
