package gapproxy.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Pattern;
import org.glassfish.grizzly.Buffer;

/**
 * Checks the fields of a response head that tell where its body ends, where the codec below is more lenient than RFC 9112, section 6.3: it
 * believes the first of two lengths, and reads to the end of the connection where it does not know the transfer coding.
 */
final class ResponseFramingRules {
  private static final String CONTENT_LENGTH = "content-length", TRANSFER_ENCODING = "transfer-encoding", CHUNKED = "chunked";
  private static final Pattern LINE_END = Pattern.compile("\r?\n");

  private ResponseFramingRules() {}

  /**
   * What is wrong with the framing of a response; null if nothing is.
   *
   * @param from position of the status line
   * @param to position after the blank line that ends the head
   */
  static String whyRejected(Buffer in, int from, int to) {
    int lengths = 0;
    int codings = 0;
    for (String line : LINE_END.split(in.toStringContent(StandardCharsets.ISO_8859_1, from, to))) {
      int colon = line.indexOf(':');
      String name = colon < 0 ? "" : line.substring(0, colon).toLowerCase(Locale.ROOT);
      if (!name.strip().equals(CONTENT_LENGTH) && !name.strip().equals(TRANSFER_ENCODING)) {
        continue;
      } else if (!name.equals(name.strip())) {
        return "there is a blank beside the name of " + name.strip();
      } else if (name.equals(CONTENT_LENGTH)) {
        lengths++;
      } else if (line.substring(colon + 1).strip().equalsIgnoreCase(CHUNKED)) {
        codings++;
      } else {
        return "the transfer coding is not supported";
      }
    }
    return lengths > 1 || codings > 1 ? "the length is stated more than once" : null;
  }
}
