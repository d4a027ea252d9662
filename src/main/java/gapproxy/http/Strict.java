package gapproxy.http;

import java.util.function.IntFunction;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * The codec for requests, made strict about a body's length. Guards against request smuggling: two lengths, a length
 * together with chunks, codings that this end does not know (RFC 9112, sections 6.1 and 6.3).
 */
final class Strict extends HttpServerFilter {
  private final IntFunction<byte[]> errors;

  /** @param errors the body that explains a status */
  Strict(Caps caps, IntFunction<byte[]> errors) {
    super(true, caps.headBytes(), null, unbounded(), null, caps.headers(), caps.headers());
    this.errors = errors;
    setMaxPayloadRemainderToSkip(0);
  }

  /** Keep-alive without the codec's own timers, which know the wall clock only; the server sets its own. */
  private static KeepAlive unbounded() {
    KeepAlive k = new KeepAlive();
    k.setIdleTimeoutInSeconds(-1);
    k.setMaxRequestsCount(-1);
    return k;
  }

  @Override
  protected void onHttpHeadersParsed(HttpHeader head, MimeHeaders headers, FilterChainContext ctx) {
    int lengths = 0;
    int codings = 0;
    for (int i = 0; i < headers.size(); i++) {
      String name = headers.getName(i).toString();
      if (name.equalsIgnoreCase("content-length")) {
        lengths++;
        String value = headers.getValue(i).toString().trim();
        if (value.isEmpty() || value.length() > 18 || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
          throw new IllegalStateException("content-length is not a number");
        }
      } else if (name.equalsIgnoreCase("transfer-encoding")) {
        codings++;
        if (!headers.getValue(i).toString().trim().equalsIgnoreCase("chunked")) {
          throw new IllegalStateException("unknown transfer coding");
        }
      }
    }
    if (lengths + codings > 1) {
      throw new IllegalStateException("more than one statement of the body's length");
    }
    super.onHttpHeadersParsed(head, headers, ctx);
  }

  @Override
  protected HttpContent customizeErrorResponse(HttpResponsePacket response) {
    byte[] body = errors.apply(response.getStatus());
    response.setContentType("application/json");
    response.setContentLength(body.length);
    response.setHeader("Connection", "close");
    Buffer b = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body);
    return HttpContent.builder(response).content(b).last(true).build();
  }
}
