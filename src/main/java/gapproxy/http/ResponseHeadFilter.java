package gapproxy.http;

import java.util.function.Function;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Passes on the head of each final response complete, in one array and only if {@link ResponseFramingRules} permit it, because the codec
 * fails to recognize a transfer coding in upper case in a composite buffer. Interim (1xx) responses ahead of it are dropped (RFC 9110,
 * section 15.2): the codec would take the first of them for the final response, and would have no request to match the next one with.
 */
final class ResponseHeadFilter extends BaseFilter {
  /** A connection on which responses are received. Called on its reading thread. */
  interface Receiver {
    /** Whether a response is expected of which no final head has come yet. */
    boolean awaitsHead();

    /** The final head has come, or what came is no head and is left to the codec. */
    void finalHeadBegun();

    /** The final head is not valid; the connection is closed next. */
    void headRejected(String why);
  }

  private static final String INTERIM_PREFIX = "HTTP/1.1 1";

  private final Function<Connection<?>, ? extends Receiver> receivers;

  /** @param receivers the receiver of a connection, or null */
  ResponseHeadFilter(Function<Connection<?>, ? extends Receiver> receivers) {
    this.receivers = receivers;
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) {
    Buffer in = ctx.getMessage();
    Receiver receiver = receivers.apply(ctx.getConnection());
    while (receiver != null && receiver.awaitsHead()) {
      int from = in.position();
      int matched = matchedPrefix(in, from);
      if (matched == in.remaining()) {
        return ctx.getStopAction(in);                         // not enough bytes to decide
      } else if (matched < INTERIM_PREFIX.length() - 1) {
        receiver.finalHeadBegun();                            // not HTTP/1.1; the codec reports invalid data
        break;
      }
      int end = endOfHead(in, from);
      if (end < 0 && in.remaining() > HttpClient.MAX_HEAD_BYTES) {
        throw new IllegalStateException("response head exceeds the maximum length");
      } else if (end < 0) {
        return ctx.getStopAction(in);
      } else if (matched < INTERIM_PREFIX.length()) {
        passOn(ctx, in, end, receiver);
        break;
      }
      in.position(end);
      if (!in.hasRemaining()) {
        in.tryDispose();
        return ctx.getStopAction();
      }
      in = in.slice();                                        // the codec counts from the start of the buffer
      ctx.setMessage(in);
    }
    return ctx.getInvokeAction();
  }

  /** How many bytes of the status line of an interim response the buffer begins with. */
  private static int matchedPrefix(Buffer in, int from) {
    int matched = 0;
    while (matched < Math.min(INTERIM_PREFIX.length(), in.remaining()) && in.get(from + matched) == INTERIM_PREFIX.charAt(matched)) {
      matched++;
    }
    return matched;
  }

  private static void passOn(FilterChainContext ctx, Buffer in, int endOfHead, Receiver receiver) {
    receiver.finalHeadBegun();
    String whyRejected = ResponseFramingRules.whyRejected(in, in.position(), endOfHead);
    if (whyRejected != null) {
      receiver.headRejected(whyRejected);
      throw new IllegalStateException(whyRejected);
    }
    if (in.isComposite()) {
      byte[] bytes = new byte[in.remaining()];
      in.get(bytes);
      ctx.setMessage(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes));
    }
  }

  /** The position after the blank line that ends a head, or -1 if the head is incomplete. */
  private static int endOfHead(Buffer in, int from) {
    for (int i = from + 3; i < in.limit(); i++) {
      if (in.get(i) == '\n' && in.get(i - 1) == '\r' && in.get(i - 2) == '\n' && in.get(i - 3) == '\r') {
        return i + 1;
      }
    }
    return -1;
  }
}
