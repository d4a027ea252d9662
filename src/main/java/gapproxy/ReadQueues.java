package gapproxy;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/** Sums up the reads that are open or queued at readers, for each cell and for all of them. Makes no decisions. */
final class ReadQueues {
  /** The queue of a server that reads for nobody. */
  static final Queue NO_QUEUE = null;

  /**
   * The queue of one reader.
   *
   * @param openReads this gateway's open reads
   * @param reported the queued reads that the reader reports, if it has a current report
   */
  record Queue(int openReads, OptionalDouble reported) {}

  /** The queues of several readers. */
  private static final class Sum {
    private int readers, openReads, reporting;
    private double reported;

    private void add(Queue queue, int sign) {
      readers += sign;
      openReads += sign * queue.openReads;
      reporting += queue.reported.isPresent() ? sign : 0;
      reported += sign * queue.reported.orElse(0);
    }

    /** This gateway's open reads per reader or, if longer, the mean reported queue; the maximum value without readers. */
    private double perReader() {
      if (readers == 0) {
        return Double.MAX_VALUE;
      }
      return Math.max((double) openReads / readers, reporting == 0 ? 0 : reported / reporting);
    }

    private double perReaderWithout(Queue queue) {
      if (queue == NO_QUEUE) {
        return perReader();
      }
      add(queue, -1);
      double perReader = perReader();
      add(queue, 1);
      return perReader;
    }
  }

  private static final Sum EMPTY = new Sum();
  private final Map<Integer, Sum> cells = new HashMap<>();
  private final Sum all = new Sum();

  /** Adds a reader of a cell. */
  void add(int cell, Queue queue) {
    cells.computeIfAbsent(cell, c -> new Sum()).add(queue, 1);
    all.add(queue, 1);
  }

  /**
   * The reads per reader of a cell, the maximum value if it has no reader.
   *
   * @param without a queue of this cell that is left out, or {@link #NO_QUEUE}
   */
  double perReader(int cell, Queue without) { return cells.getOrDefault(cell, EMPTY).perReaderWithout(without); }

  /** The reads per reader of all cells. */
  double perReader(Queue without) { return all.perReaderWithout(without); }
}
