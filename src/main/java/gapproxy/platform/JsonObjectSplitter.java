package gapproxy.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Splits a byte stream into complete JSON objects that are separated by white space and may span several lines. Belongs to one loop. */
final class JsonObjectSplitter {
  /** Large enough for a list of 3,200 servers, the platform's maximum, at over 600 bytes each. */
  static final int MAX_OBJECT_BYTES = 2 << 20;
  /** An object and its line end. */
  static final int MAX_LINE_BYTES = MAX_OBJECT_BYTES + 2;
  private ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private int depth;
  private boolean inString, escaped;

  /** Bytes of the incomplete object. */
  int bufferedBytes() {
    return buffer.size();
  }

  /** Whether an object has started and not ended. */
  boolean insideObject() {
    return depth > 0;
  }

  /**
   * Processes the next bytes, which may be split at any point, and returns the objects that they complete.
   *
   * @throws IOException if anything but white space stands between the objects, or one exceeds the maximum size
   */
  List<byte[]> feed(byte[] bytes) throws IOException {
    List<byte[]> complete = new ArrayList<>();
    for (byte b : bytes) {
      if (depth == 0 && b != '{') {
        if (b != ' ' && b != '\t' && b != '\r' && b != '\n') {
          throw new IOException("data is not a JSON object");
        }
        continue;
      }
      buffer.write(b);
      if (inString) {
        inString = escaped || b != '"';
        escaped = !escaped && b == '\\';
      } else if (b == '"') {
        inString = true;
      } else if (b == '{' || b == '}') {
        depth += b == '{' ? 1 : -1;
      }
      if (depth == 0) {
        complete.add(buffer.toByteArray());
        // A reused buffer would keep the capacity of the longest object.
        buffer = new ByteArrayOutputStream();
      } else if (buffer.size() > MAX_OBJECT_BYTES) {
        throw new IOException("JSON object exceeds " + MAX_OBJECT_BYTES + " bytes");
      }
    }
    return complete;
  }
}
