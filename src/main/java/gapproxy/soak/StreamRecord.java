package gapproxy.soak;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** What a model server has done with one answer, for the judge. Belongs to the event loop of the harness. */
final class StreamRecord {
  /** When the server last completed an event, or wrote a part of one that it is going to complete. Nothing in a spoilt chunk counts. */
  Duration lastEventAt;
  /** Whether the server itself has ended the answer or has restarted. */
  boolean endedByServer;
  /** Whether the server has written what is no event or no chunk, for which a gateway may end the answer at once. */
  boolean spoilt;
  private final BooleanSupplier silenced;

  /** @param silenced whether the connection of the answer has fallen silent, so that events may not have arrived */
  StreamRecord(Duration firstEventAt, BooleanSupplier silenced) {
    this.lastEventAt = firstEventAt;
    this.silenced = silenced;
  }

  /** Whether the answer can have ended only because the gateway ended it, if the network is without faults. */
  boolean endedByGateway() {
    return !endedByServer && !silenced.getAsBoolean();
  }
}
