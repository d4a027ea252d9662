package gapproxy.http;

import gapproxy.memory.MemoryBudget;
import java.util.Arrays;
import org.glassfish.grizzly.Buffer;

/**
 * A request that is read: its body as far as it has come. Where there is no room for it, what has come is thrown away and so is the rest, and
 * the request is to be refused once it is whole. Belongs to the thread that reads.
 */
final class ArrivingRequest {
  /** What the codec keeps for a request beside what is sent. */
  private static final int PARSED_BYTES = 12 << 10;
  private static final int FIRST_BYTES = 4 << 10;
  private static final byte[] NONE = new byte[0];

  private final MemoryBudget.Charge charge;
  private final long declared;
  private byte[] body = NONE;
  private int size;
  private boolean refused;

  /**
   * @param charge of its own, given back by who serves the request
   * @param headBytes length of its headers
   * @param declared length of its body, or -1
   */
  ArrivingRequest(MemoryBudget.Charge charge, int headBytes, long declared) {
    this.charge = charge;
    this.declared = declared;
    refused = !charge.grow(PARSED_BYTES + 2L * headBytes);
  }

  /** Bytes of the body that have come, kept or not. */
  int size() {
    return size;
  }

  /** Whether there was no room for it. */
  boolean refused() {
    return refused;
  }

  MemoryBudget.Charge charge() {
    return charge;
  }

  /** Takes the next bytes of its body. */
  void append(Buffer some) {
    int more = some.remaining();
    if (!refused && size + more > body.length) {
      refused = !makeRoom(size + more);
    }
    if (refused) {
      body = NONE;
      charge.close();
    } else {
      some.get(body, size, more);
    }
    size += more;
  }

  /** Twice as long each time, and not longer than its declared length. */
  private boolean makeRoom(int least) {
    long length = Math.max(least, Math.max(FIRST_BYTES, 2L * body.length));
    int next = (int) (declared >= least ? Math.min(length, declared) : length);
    if (!charge.grow(next - body.length)) {
      return false;
    }
    body = Arrays.copyOf(body, next);
    return true;
  }

  /** The whole body. */
  byte[] body() {
    return size == body.length ? body : Arrays.copyOf(body, size);
  }
}
