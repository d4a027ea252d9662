package gapproxy.platform;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Cuts a model server's stream into its events, each as it came, and tells what of it is no event. */
final class Events {
  /** What is told of a stream. */
  interface Told {
    /** One whole event with its blank line, or a comment. */
    void event(byte[] bytes, String text);

    /** The next part of an event that is passed on before it is whole. */
    void part(byte[] bytes);
  }

  private static final int LONGEST = 64 << 10, LONGEST_KEPT = 4 << 10;
  private ByteArrayOutputStream some = new ByteArrayOutputStream();
  private final Told told;
  private int newlines;
  private int passed;                                         // bytes of the present event that were passed on in parts

  Events(Told told) {
    this.told = told;
  }

  /**
   * Takes the next bytes, cut anywhere.
   *
   * @throws IllegalStateException if they are no events
   */
  void take(byte[] bytes) {
    int from = 0;
    for (int i = 0; i < bytes.length; i++) {
      byte b = bytes[i];
      newlines = b == '\n' ? newlines + 1 : b == '\r' ? newlines : 0;
      if (newlines == 2) {
        some.write(bytes, from, i + 1 - from);
        from = i + 1;
        newlines = 0;
        whole();
      }
    }
    some.write(bytes, from, bytes.length - from);
    if (passed + some.size() > LONGEST) {
      throw new IllegalStateException("an event of more than " + LONGEST + " bytes");
    }
  }

  /** Passes on what has come of an event where that is much: else each stream might keep as much as its longest event. */
  void passLongPart() {
    if (some.size() > LONGEST_KEPT) {
      checkBegin(some.toString(StandardCharsets.UTF_8));
      byte[] bytes = some.toByteArray();
      some = new ByteArrayOutputStream();
      passed += bytes.length;
      told.part(bytes);
    }
  }

  /** Whether an event has begun and not ended. */
  boolean amid() {
    return passed + some.size() > 0;
  }

  /** Memory that it takes. */
  int kept() {
    return 2 * some.size();                                   // it may have grown to twice as much
  }

  private void whole() {
    byte[] bytes = some.toByteArray();
    some = new ByteArrayOutputStream();                       // which would else keep its room for good
    if (passed > 0) {
      passed = 0;
      told.part(bytes);
      return;
    }
    String text = new String(bytes, StandardCharsets.UTF_8);
    checkBegin(text);
    told.event(bytes, text);
  }

  private void checkBegin(String text) {
    if (passed == 0 && !text.startsWith("data:") && !text.startsWith(":")) {
      throw new IllegalStateException("bytes that are no event");
    }
  }
}
