package gapproxy;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/** How much each cell has of readers and of writers. */
final class Cells {
  private static final Cell NONE = new Cell();
  private final Map<Integer, Cell> cells = new TreeMap<>();

  static final class Cell {
    int zone;
    double readers, writers;
  }

  /** Counts anew, each server as its size times its strength. */
  <S extends Box> void count(Collection<S> servers, ToDoubleFunction<S> strength) {
    cells.clear();
    for (S s : servers) {
      Cell c = cells.computeIfAbsent(s.line.cell(), id -> new Cell());
      double size = s.line.size() * strength.applyAsDouble(s);
      c.zone = s.line.zone();
      c.readers += s.reader() ? size : 0;
      c.writers += s.writer() ? size : 0;
    }
  }

  Map<Integer, Cell> all() { return cells; }

  Cell get(int cell) { return cells.getOrDefault(cell, NONE); }

  /** Readers that all the fleet has for each writer. */
  double readersAWriter() {
    return cells.values().stream().mapToDouble(c -> c.readers).sum()
        / Math.max(1e-9, cells.values().stream().mapToDouble(c -> c.writers).sum());
  }
}
