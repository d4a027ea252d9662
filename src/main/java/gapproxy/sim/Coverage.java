package gapproxy.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what runs have reached: events and final answers by the stage of their req, and faults by the stages of the reqs that were open
 * when they were injected. Pairs of fault and stage that were not reached can be targeted with {@link Plan#aimed}.
 */
public final class Coverage {
  /** Without HELD: the write is decided in the same turn of the loop in which the read ends, so no fault can be injected in between. */
  static final List<String> STAGES = List.of("WAITING", "READING", "WRITING", "STREAMING");
  /** The events that are possible in each stage of a req, as an observer sees them. */
  static final Map<String, List<String>> POSSIBLE_EVENTS = Map.of(
      "WAITING", List.of("answer pushed_back", "answer aborted", "answer hung_up"),
      "READING", List.of("read ended read", "read ended error", "read ended broken", "read ended no_connection", "read ended timed_out",
          "read ended full", "answer hung_up"),
      "WRITING", List.of("first token", "write ended error", "write ended broken", "write ended no_connection", "write ended timed_out",
          "write ended full", "local ended error", "local ended broken", "local ended no_connection", "local ended timed_out",
          "local ended full", "answer hung_up"),
      "STREAMING", List.of("answer done", "answer aborted", "answer hung_up"),
      "ANSWERED", List.of("read ended cancelled", "write ended cancelled", "local ended cancelled", "write ended done", "local ended done",
          "local ended not_sent"));

  private final TreeMap<String, Long> counts = new TreeMap<>();

  /** A fault and a stage that no run has combined. */
  public record Gap(String kind, String stage) {}

  /** Adds the counts of one run. */
  public synchronized void add(Map<String, Long> more) {
    more.forEach((pair, n) -> counts.merge(pair, n, Long::sum));
  }

  /** Pairs of fault and stage that were not reached yet, in a fixed order. */
  public List<Gap> gaps() {
    List<Gap> all = new ArrayList<>();
    Plan.KINDS.forEach(k -> STAGES.forEach(s -> {
      if (!counts.containsKey(s + " / " + k)) {
        all.add(new Gap(k, s));
      }
    }));
    return all;
  }

  /** Possible pairs of stage and event that were not reached yet. */
  public List<String> missedEvents() {
    List<String> all = new ArrayList<>();
    new TreeMap<>(POSSIBLE_EVENTS).forEach((stage, events) -> events.stream().map(e -> stage + " / " + e)
        .filter(p -> !counts.containsKey(p)).forEach(all::add));
    return all;
  }

  /** How often each pair was reached. */
  public Map<String, Long> counts() {
    return new LinkedHashMap<>(counts);
  }

  /** Number of all pairs of fault and stage. */
  public int pairCount() {
    return Plan.KINDS.size() * STAGES.size();
  }
}
