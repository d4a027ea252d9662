package gapproxy.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.config.Config;
import gapproxy.daemon.Logs;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** The fleet on virtual time: seeds hold, repeat to the byte, and planted faults are found. */
class SimTest {
  @BeforeAll
  static void quiet() {
    Logs.use(new Config.Log("text", "off"));
  }

  @Test
  void fiveHundredSeedsHold() {
    ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
    LongStream.rangeClosed(1, 500).parallel().forEach(seed -> {
      World.Verdict v = new World(seed, false).run();
      if (!v.held()) {
        broken.add("seed " + seed + ": " + v.found());
      }
    });
    assertEquals(List.of(), List.copyOf(broken));
  }

  @Test
  void aSeedRepeatsToTheByteAndAnotherDoesNot() {
    for (long seed : new long[] {3, 8, 21}) {
      World.Verdict a = new World(seed, true).run();
      World.Verdict b = new World(seed, true).run();
      assertEquals(a, b);
      assertNotEquals(a.trace(), new World(seed + 1, false).run().trace());
    }
  }

  /** In CI two of the mutants; the whole list by {@code mvn -B verify -Pmutants}. */
  @Test
  void plantedFaultsAreFound() {
    mutants(List.of(Mutants.ALL.get(0), Mutants.ALL.get(17)));
  }

  @Test
  @Tag("mutants")
  void everyPlantedFaultIsFound() {
    mutants(Mutants.ALL);
  }

  private static void mutants(List<Mutants.Mutant> which) {
    Map<String, String> found = new ConcurrentHashMap<>();
    IntStream.range(0, which.size()).parallel().forEach(i -> {
      Mutants.Mutant m = which.get(i);
      try {
        String by = Mutants.find(m, 300);
        found.put(m.name(), by == null ? "NOT FOUND" : by);
      } catch (Exception e) {
        found.put(m.name(), "NOT RUN: " + e);
      }
    });
    new TreeMap<>(found).forEach((name, by) -> System.out.println(name + " | " + by));
    assertTrue(found.values().stream().noneMatch(v -> v.startsWith("NOT")), found.toString());
  }
}
