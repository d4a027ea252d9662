package gapproxy.http;

import gapproxy.memory.MemoryBudget;
import java.util.Arrays;
import org.glassfish.grizzly.Buffer;

/**
 * A request whose body is being received. If the memory budget refuses it, the bytes received so far and all further ones are dropped, and
 * the request is answered with an error once it has been read completely. Used on the reading thread only.
 */
final class IncomingRequest {
  /** Estimated memory that the codec uses for a parsed request, besides the bytes sent. */
  private static final int PARSED_OVERHEAD_BYTES = 12 << 10;
  private static final int INITIAL_CAPACITY_BYTES = 4 << 10;
  private static final byte[] EMPTY_BODY = new byte[0];

  private final MemoryBudget.Charge charge;
  private final long declaredLength;
  private byte[] body = EMPTY_BODY;
  private int receivedBytes;
  private volatile boolean refused;

  /**
   * @param charge charge of this request alone, closed by whoever handles the request
   * @param headBytes length of its headers
   * @param declaredLength value of Content-Length, or -1
   */
  IncomingRequest(MemoryBudget.Charge charge, int headBytes, long declaredLength) {
    this.charge = charge;
    this.declaredLength = declaredLength;
    refused = !charge.tryGrow(PARSED_OVERHEAD_BYTES + 2L * headBytes);
  }

  /** Bytes of the body received so far, including dropped ones. */
  int receivedBytes() {
    return receivedBytes;
  }

  /** Whether the memory budget refused this request. */
  boolean refused() {
    return refused;
  }

  MemoryBudget.Charge charge() {
    return charge;
  }

  /** Appends the next bytes of the body. */
  void append(Buffer content) {
    int more = content.remaining();
    if (!refused && receivedBytes + more > body.length) {
      refused = !ensureCapacity(receivedBytes + more);
    }
    byte[] into = body;                                       // release may run on another thread meanwhile
    if (refused) {
      release();
    } else if (receivedBytes + more <= into.length) {
      content.get(into, receivedBytes, more);
    }
    receivedBytes += more;
  }

  /** Bytes that the buffer of the body takes. */
  int bodyCapacity() {
    return body.length;
  }

  /** Lets go of the body together with its charge: the request was refused, or its connection is closed. May be called on any thread. */
  void release() {
    refused = true;
    body = EMPTY_BODY;
    charge.close();
  }

  /**
   * Doubles the buffer, or grows it to {@code minimum} if that is more, but not beyond the declared length. Returns false if the memory
   * budget refuses the growth.
   */
  private boolean ensureCapacity(int minimum) {
    long length = Math.max(minimum, Math.max(INITIAL_CAPACITY_BYTES, 2L * body.length));
    int next = (int) (declaredLength >= minimum ? Math.min(length, declaredLength) : length);
    if (!charge.tryGrow(next - body.length)) {
      return false;
    }
    body = Arrays.copyOf(body, next);
    return true;
  }

  /** The complete body, unless the request was refused. */
  byte[] body() {
    return receivedBytes == body.length ? body : Arrays.copyOf(body, receivedBytes);
  }
}
