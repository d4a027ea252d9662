package gapproxy;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/** The reader and writer capacity of each cell, as last recounted. */
final class CellCapacities {
  private static final Capacity NONE = new Capacity();
  private final Map<Integer, Capacity> cells = new TreeMap<>();
  private double readersPerWriter;

  /** The capacities of one cell, in units of a warm server of size 1. */
  static final class Capacity {
    int zone;
    double readerCapacity, writerCapacity;
  }

  /** Recomputes all cells; a server counts with its size times its capacity fraction. */
  <S extends ServerView> void recount(Collection<S> servers, ToDoubleFunction<S> capacityFraction) {
    cells.clear();
    for (S server : servers) {
      Capacity capacity = cells.computeIfAbsent(server.line.cell(), id -> new Capacity());
      double size = server.line.size() * capacityFraction.applyAsDouble(server);
      capacity.zone = server.line.zone();
      capacity.readerCapacity += server.isReader() ? size : 0;
      capacity.writerCapacity += server.isWriter() ? size : 0;
    }
    readersPerWriter = cells.values().stream().mapToDouble(c -> c.readerCapacity).sum()
        / Math.max(1e-9, cells.values().stream().mapToDouble(c -> c.writerCapacity).sum());
  }

  Map<Integer, Capacity> all() { return cells; }

  Capacity get(int cell) { return cells.getOrDefault(cell, NONE); }

  /** The fleet's reader capacity per unit of writer capacity. */
  double readersPerWriter() { return readersPerWriter; }
}
