package gapproxy.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Cuts bytes that come in pieces into whole JSON objects, on one line or on many, with white space between them. */
final class Objects {
  private static final int LONGEST = 4 << 20;
  private final ByteArrayOutputStream some = new ByteArrayOutputStream();
  private int depth;
  private boolean text, escaped;

  /** Whether an object has begun and not ended. */
  boolean amid() {
    return depth > 0;
  }

  /**
   * Takes the next bytes, cut anywhere.
   *
   * @throws IOException if there is something else between the objects, or one has no end
   */
  List<byte[]> take(byte[] bytes) throws IOException {
    List<byte[]> whole = new ArrayList<>();
    for (byte b : bytes) {
      if (depth == 0 && b != '{') {
        if (b != ' ' && b != '\t' && b != '\r' && b != '\n') {
          throw new IOException("something that is no JSON object");
        }
        continue;
      }
      some.write(b);
      if (text) {
        text = escaped || b != '"';
        escaped = !escaped && b == '\\';
      } else if (b == '"') {
        text = true;
      } else if (b == '{' || b == '}') {
        depth += b == '{' ? 1 : -1;
      }
      if (depth == 0) {
        whole.add(some.toByteArray());
        some.reset();
      } else if (some.size() > LONGEST) {
        throw new IOException("an object of more than " + LONGEST + " bytes");
      }
    }
    return whole;
  }
}
