package gapproxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** The sums over the readers of a cell, with and without one of them. */
class ReadQueuesTest {
  private static ReadQueues.Queue queue(int openReads) {
    return new ReadQueues.Queue(openReads, OptionalDouble.empty());
  }

  private static ReadQueues.Queue queue(int openReads, double reported) {
    return new ReadQueues.Queue(openReads, OptionalDouble.of(reported));
  }

  @Test
  void cellWithoutReadersHasNoFigure() {
    assertEquals(Double.MAX_VALUE, new ReadQueues().perReader(1, ReadQueues.NO_QUEUE));
  }

  @Test
  void openReadsAndReportsAreAveragedOfEachCell() {
    ReadQueues queues = new ReadQueues();
    queues.add(1, queue(2));
    queues.add(1, queue(4));
    queues.add(2, queue(0, 10));
    queues.add(2, queue(1));
    assertEquals(3, queues.perReader(1, ReadQueues.NO_QUEUE));
    assertEquals(10, queues.perReader(2, ReadQueues.NO_QUEUE), "only readers that report count for the reported mean");
    assertEquals(10, queues.perReader(ReadQueues.NO_QUEUE));
  }

  /** A server that reads and writes is no reader for its own writes. */
  @Test
  void queueThatIsLeftOutCountsForNothing() {
    ReadQueues queues = new ReadQueues();
    ReadQueues.Queue own = queue(7, 20);
    queues.add(1, own);
    queues.add(1, queue(1));
    assertEquals(1, queues.perReader(1, own));
    assertEquals(1, queues.perReader(own));
    assertEquals(20, queues.perReader(1, ReadQueues.NO_QUEUE), "it is still there for the other ones");
    ReadQueues alone = new ReadQueues();
    alone.add(1, own);
    assertEquals(Double.MAX_VALUE, alone.perReader(1, own));
  }
}
