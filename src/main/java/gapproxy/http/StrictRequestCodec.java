package gapproxy.http;

import java.io.IOException;
import java.util.function.IntFunction;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** The request codec. It gets each head whole and only if {@link RequestHeadRules} permit it, and takes no upgrade. */
final class StrictRequestCodec extends HttpServerFilter {
  private final IntFunction<byte[]> errorBodies;
  private final int maxFields;

  /** @param errorBodies makes the body of an error response from its status */
  StrictRequestCodec(ServerLimits limits, IntFunction<byte[]> errorBodies) {
    super(true, limits.maxHeadBytes(), null, keepAliveWithoutLimits(), null, limits.maxHeaders(), limits.maxHeaders());
    this.errorBodies = errorBodies;
    maxFields = limits.maxHeaders();
    setMaxPayloadRemainderToSkip(0);
  }

  /** Disables the keep-alive limits of the codec, which use the system clock; the server sets its own timers on the loop. */
  private static KeepAlive keepAliveWithoutLimits() {
    KeepAlive keepAlive = new KeepAlive();
    keepAlive.setIdleTimeoutInSeconds(-1);
    keepAlive.setMaxRequestsCount(-1);
    return keepAlive;
  }

  /**
   * Ignores an offer to upgrade the connection (RFC 9110, section 7.8). The codec would otherwise take what follows for the protocol that is
   * offered.
   */
  @Override
  protected void onIncomingUpgrade(FilterChainContext ctx, HttpHeader head) {
    head.getUpgradeDC().recycle();
  }

  @Override
  protected boolean onHttpHeaderParsed(HttpHeader head, Buffer in, FilterChainContext ctx) {
    ServerConnection.of(ctx.getConnection()).headParsed();
    return super.onHttpHeaderParsed(head, in, ctx);
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    ServerConnection connection = ServerConnection.of(ctx.getConnection());
    Buffer in = ctx.getMessage();
    if (!connection.bytesReceived(in.remaining())) {
      in.tryDispose();
      return ctx.getStopAction();
    }
    if (!connection.isReceivingBody()) {
      Buffer whole = connection.head().add(in);
      if (whole == null) {
        return ctx.getStopAction();
      } else if (!RequestHeadRules.permit(whole, maxFields)) {
        whole.tryDispose();
        connection.rejectUnreadable(400, "the request is not valid HTTP/1.1");
        return ctx.getStopAction();
      }
      ctx.setMessage(whole);
    }
    return super.handleRead(ctx);
  }

  /**
   * Delays the error response if earlier pipelined requests are unanswered; written immediately, it could end up in the middle of their
   * responses.
   */
  @Override
  protected void onHttpHeaderError(HttpHeader head, FilterChainContext ctx, Throwable cause) throws IOException {
    ServerConnection connection = ServerConnection.of(ctx.getConnection());
    if (connection.hasUnansweredRequests()) {
      connection.rejectUnreadable(400, "the request is not valid HTTP/1.1");
    } else {
      super.onHttpHeaderError(head, ctx, cause);
    }
  }

  /** Leaves the error response to the connection, which keeps the order of responses. */
  @Override
  protected void onHttpContentError(HttpHeader head, FilterChainContext ctx, Throwable cause) {
    ServerConnection.of(ctx.getConnection()).rejectBody(cause);
    head.setContentBroken(true);
  }

  @Override
  protected HttpContent customizeErrorResponse(HttpResponsePacket response) {
    byte[] body = errorBodies.apply(response.getStatus());
    response.setContentType("application/json");
    response.setContentLength(body.length);
    response.setHeader("Connection", "close");
    Buffer content = Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body);
    return HttpContent.builder(response).content(content).last(true).build();
  }
}
