package gapproxy.http;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/** Formats dates for HTTP headers (RFC 9110, section 5.6.7). Caches the text of the second that was formatted last. */
final class HttpDate {
  private static final DateTimeFormatter FORMATTER =
      DateTimeFormatter.ofPattern("EEE, dd MMM yyyy HH:mm:ss 'GMT'", Locale.ENGLISH).withZone(ZoneOffset.UTC);

  private record CachedDate(long second, String text) {}

  private static volatile CachedDate cached = new CachedDate(Long.MIN_VALUE, "");

  private HttpDate() {}

  static String format(Instant time) {
    CachedDate date = cached;
    if (date.second != time.getEpochSecond()) {
      date = new CachedDate(time.getEpochSecond(), FORMATTER.format(time));
      cached = date;
    }
    return date.text;
  }
}
