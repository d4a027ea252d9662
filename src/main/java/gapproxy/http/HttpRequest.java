package gapproxy.http;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * A complete request, as the server received it.
 *
 * @param query query string without the question mark, or null
 * @param headers values by header name in lower case; of a repeated header, the first value
 */
public record HttpRequest(String method, String path, String query, Map<String, String> headers, byte[] body) {

  private static final byte[] NO_BODY = new byte[0];

  /** The same request without its body. */
  HttpRequest withoutBody() {
    return new HttpRequest(method, path, query, headers, NO_BODY);
  }

  /** Converts headers to a map with names in lower case. */
  static Map<String, String> headers(MimeHeaders from) {
    Map<String, String> headers = new HashMap<>();
    for (String name : from.names()) {
      headers.putIfAbsent(name.toLowerCase(Locale.ROOT), from.getHeader(name));
    }
    return headers;
  }

  /** Total length of all header names and values. */
  static int headerBytes(MimeHeaders headers) {
    int length = 0;
    for (int i = 0; i < headers.size(); i++) {
      length += headers.getName(i).getLength() + headers.getValue(i).getLength();
    }
    return length;
  }

  /** The value of a header, or null. */
  public String header(String name) {
    return headers.get(name.toLowerCase(Locale.ROOT));
  }

  /** The decoded value of a query parameter, or null. */
  public String queryParameter(String name) {
    for (String part : query == null ? new String[0] : query.split("&")) {
      if (part.startsWith(name + "=")) {
        return java.net.URLDecoder.decode(part.substring(name.length() + 1), java.nio.charset.StandardCharsets.UTF_8);
      }
    }
    return null;
  }
}
