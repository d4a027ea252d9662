package gapproxy.http;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;

/** Dates as headers carry them (RFC 9110, section 5.6.7). */
final class HttpDate {
  private static final DateTimeFormatter FORM =
      DateTimeFormatter.ofPattern("EEE, dd MMM yyyy HH:mm:ss 'GMT'", Locale.ENGLISH).withZone(ZoneOffset.UTC);

  private record Kept(long second, String text) {}

  private static volatile Kept last = new Kept(Long.MIN_VALUE, "");

  private HttpDate() {}

  static String of(Instant time) {
    Kept k = last;
    if (k.second != time.getEpochSecond()) {
      k = new Kept(time.getEpochSecond(), FORM.format(time));
      last = k;
    }
    return k.text;
  }
}
