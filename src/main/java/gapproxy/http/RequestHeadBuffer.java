package gapproxy.http;

import gapproxy.memory.MemoryBudget;
import java.util.Arrays;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Collects the head of a request that arrives in pieces, so that the codec gets each head complete and in one array. In a head of several
 * buffers the codec knows the name of a transfer coding only in lower case, and each piece would take many times its length.
 *
 * <p>Used on the reading thread only.
 */
final class RequestHeadBuffer {
  private static final int INITIAL_CAPACITY_BYTES = 1 << 10;
  private static final byte[] EMPTY = new byte[0];
  /** Length of the blank line that ends a head, together with the end of the line before it. */
  private static final int END_BYTES = 4;

  private final MemoryBudget.Charge charge;
  private final int maxBytes;
  private final int maxLines;
  private byte[] kept = EMPTY;
  private int length;
  private int lines;

  /**
   * An incomplete head past one of the limits is passed on for rejection.
   *
   * @param maxBytes the largest length of a head
   * @param maxFields the largest number of its fields
   */
  RequestHeadBuffer(MemoryBudget.Charge charge, int maxBytes, int maxFields) {
    this.charge = charge;
    this.maxBytes = maxBytes;
    maxLines = 1 + maxFields;
  }

  /** Adds bytes that were received. Returns all bytes since the beginning of the head once the head is complete, or null. */
  Buffer add(Buffer in) {
    boolean blankLinePossible = in.hasRemaining() && in.get(in.position()) == '\r';
    if (length == 0 && !blankLinePossible && !in.isComposite() && isCompleteOrTooLong(in)) {
      return in;
    }
    int scannedBytes = length;
    append(in);
    if (skipBlankLines()) {
      scannedBytes = 0;
      lines = 0;
    }
    countLines(scannedBytes);
    if (!containsEnd(kept, Math.max(0, scannedBytes - END_BYTES + 1), length) && length <= maxBytes && lines <= maxLines) {
      return null;
    }
    Buffer whole = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, kept, 0, length);
    kept = EMPTY;
    length = 0;
    lines = 0;
    charge.tryResize(0);
    return whole;
  }

  /** Skips blank lines ahead of a request, which some clients send behind a body (RFC 9112, section 2.2); returns whether there were any. */
  private boolean skipBlankLines() {
    int blankBytes = 0;
    while (blankBytes + 1 < length && kept[blankBytes] == '\r' && kept[blankBytes + 1] == '\n') {
      blankBytes += 2;
    }
    length -= blankBytes;
    System.arraycopy(kept, blankBytes, kept, 0, length);
    return blankBytes > 0;
  }

  private void countLines(int from) {
    for (int i = from; i < length; i++) {
      lines += kept[i] == '\n' ? 1 : 0;
    }
  }

  private void append(Buffer in) {
    int more = in.remaining();
    if (length + more > kept.length) {
      int capacity = Math.max(length + more, Math.max(INITIAL_CAPACITY_BYTES, 2 * kept.length));
      charge.forceGrow(capacity - kept.length);
      kept = Arrays.copyOf(kept, capacity);
    }
    in.get(kept, length, more);
    in.tryDispose();
    length += more;
  }

  /** Whether a head is complete or has too many fields. Reads no further than needed to tell. */
  private boolean isCompleteOrTooLong(Buffer in) {
    int lineCount = 0;
    for (int i = in.position(); i < in.limit(); i++) {
      if (in.get(i) != '\n') {
        continue;
      }
      lineCount++;
      boolean end = i - in.position() >= END_BYTES - 1 && in.get(i - 1) == '\r' && in.get(i - 2) == '\n' && in.get(i - 3) == '\r';
      if (end || lineCount > maxLines) {
        return true;
      }
    }
    return false;
  }

  private static boolean containsEnd(byte[] bytes, int from, int to) {
    for (int i = from + END_BYTES - 1; i < to; i++) {
      if (bytes[i] == '\n' && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r') {
        return true;
      }
    }
    return false;
  }
}
