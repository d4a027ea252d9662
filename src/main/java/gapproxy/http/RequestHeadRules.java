package gapproxy.http;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;

/**
 * Checks the lines of a request head where the codec below is more lenient than RFC 9112. Another reader of the same bytes could see the end
 * of the request elsewhere, and a request could be hidden in the body of another one (request smuggling). A head with too many fields is
 * refused at the first field that is too many, so that refusing it costs less than serving it.
 */
final class RequestHeadRules {
  private static final String CONTENT_LENGTH = "content-length", TRANSFER_ENCODING = "transfer-encoding", CHUNKED = "chunked";
  private static final String HTTP_1_0 = " HTTP/1.0";
  private static final int MAX_LENGTH_DIGITS = 18;
  private static final boolean[] TOKEN_BYTES = tokenBytes();

  private final Buffer in;
  private final int maxFields;
  private int lengths;
  private int codings;
  private boolean isHttp10;

  private RequestHeadRules(Buffer in, int maxFields) {
    this.in = in;
    this.maxFields = maxFields;
  }

  private static boolean[] tokenBytes() {
    boolean[] tokenBytes = new boolean[256];
    for (byte symbol : "!#$%&'*+-.^_`|~".getBytes(StandardCharsets.US_ASCII)) {
      tokenBytes[symbol] = true;
    }
    for (int c = 0; c < 128; c++) {
      tokenBytes[c] |= Character.isLetterOrDigit(c);
    }
    return tokenBytes;
  }

  /**
   * Whether the head that the buffer begins with may be passed on. The codec changes folded lines in place, so this comes before it. Tabs
   * around a length become spaces, since the codec takes a tab for a part of the length.
   *
   * @param maxFields the largest number of fields
   */
  static boolean permit(Buffer in, int maxFields) {
    try {
      new RequestHeadRules(in, maxFields).check();
      return true;
    } catch (ForbiddenHeadException e) {
      return false;
    }
  }

  private void check() {
    int lineStart = in.position();
    int fields = -1;                                          // the request line is none
    while (lineStart < in.limit()) {
      int lineEnd = endOfLine(lineStart);
      if (lineEnd == lineStart && fields >= 0 || lineEnd == in.limit()) {
        break;
      } else if (fields < 0) {
        isHttp10 = text(lineStart, lineEnd).endsWith(HTTP_1_0);
      } else {
        require(fields < maxFields);
        checkField(lineStart, lineEnd);
      }
      fields++;
      lineStart = lineEnd + 2;
    }
    require(lengths + codings <= 1);
    require(codings == 0 || !isHttp10);
  }

  /** The position of the carriage return that ends a line, or the limit if the line is incomplete. */
  private int endOfLine(int from) {
    for (int i = from; i < in.limit(); i++) {
      byte b = in.get(i);
      if (b == '\r') {
        require(i + 1 == in.limit() || in.get(i + 1) == '\n');
        return i;
      }
      require(b != 0 && b != '\n');
    }
    return in.limit();
  }

  private void checkField(int from, int to) {
    int colon = from;
    while (colon < to && in.get(colon) != ':') {
      require(TOKEN_BYTES[in.get(colon) & 0xff]);
      colon++;
    }
    require(colon > from && colon < to);
    if (isNamed(CONTENT_LENGTH, from, colon)) {
      lengths++;
      String value = text(colon + 1, to).strip();
      require(!value.isEmpty() && value.length() <= MAX_LENGTH_DIGITS && value.chars().allMatch(c -> c >= '0' && c <= '9'));
      replaceTabs(colon + 1, to);
    } else if (isNamed(TRANSFER_ENCODING, from, colon)) {
      codings++;
      require(text(colon + 1, to).strip().equalsIgnoreCase(CHUNKED));
    }
  }

  private boolean isNamed(String name, int from, int to) {
    return to - from == name.length() && text(from, to).equalsIgnoreCase(name);
  }

  private void replaceTabs(int from, int to) {
    for (int i = from; i < to; i++) {
      if (in.get(i) == '\t') {
        in.put(i, (byte) ' ');
      }
    }
  }

  private String text(int from, int to) {
    StringBuilder text = new StringBuilder(to - from);
    for (int i = from; i < to; i++) {
      text.append((char) (in.get(i) & 0xff));
    }
    return text.toString();
  }

  private static void require(boolean condition) {
    if (!condition) {
      throw new ForbiddenHeadException();
    }
  }

  /** Ends a check. Without a stack trace, since a client may send any number of such heads. */
  private static final class ForbiddenHeadException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ForbiddenHeadException() {
      super(null, null, false, false);
    }
  }
}
