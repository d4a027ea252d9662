package gapproxy.http;

import java.io.ByteArrayOutputStream;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.ChunkedTransferEncoding;
import org.glassfish.grizzly.http.HttpBrokenContentException;
import org.glassfish.grizzly.http.HttpCodecFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.ParsingResult;
import org.glassfish.grizzly.http.TransferEncoding;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Reads chunked bodies (RFC 9112, section 7.1), cut anywhere. The library's own reader refuses chunk extensions, which are to be
 * passed over, and takes a chunk that is longer than its size and one without a size.
 */
final class Chunks implements TransferEncoding {
  private static final int LONGEST_LINE = 1 << 10, LONGEST_TRAILERS = 8 << 10;
  private static final String STATE = "gapproxy.http.chunks";

  private final TransferEncoding written;

  private Chunks(TransferEncoding written) {
    this.written = written;
  }

  /** Puts this in the place of the library's reader. */
  static <F extends HttpCodecFilter> F in(F codec) {
    for (TransferEncoding e : codec.getTransferEncodings()) {
      if (e instanceof ChunkedTransferEncoding) {
        codec.removeTransferEncoding(e);
        codec.addTransferEncoding(new Chunks(e));
      }
    }
    return codec;
  }

  private enum Part { SIZE, BLANK, EXTENSION, SIZE_END, DATA, DATA_CR, DATA_LF, TRAILER, TRAILER_END, WHOLE }

  /** Where one body stands. */
  private static final class Body {
    private Part part = Part.SIZE;
    private long size;
    private int line, trailers;
    private boolean digits;

    /** Takes bytes up to the body's end. */
    byte[] take(Buffer in) {
      ByteArrayOutputStream data = new ByteArrayOutputStream(in.remaining());
      while (part != Part.WHOLE && in.hasRemaining()) {
        if (part == Part.DATA) {
          byte[] some = new byte[(int) Math.min(size, in.remaining())];
          in.get(some);
          data.writeBytes(some);
          size -= some.length;
          part = size > 0 ? Part.DATA : Part.DATA_CR;
        } else {
          step(in.get());
        }
      }
      return data.toByteArray();
    }

    private void step(byte b) {
      switch (part) {
        case SIZE, BLANK, EXTENSION -> head(b);
        case SIZE_END -> {
          need(b == '\n' && digits, "a chunk's size has no end");
          part = size > 0 ? Part.DATA : Part.TRAILER;
          digits = false;
          line = 0;
        }
        case DATA_CR -> part = need(b == '\r', Part.DATA_LF, "a chunk is longer than its size");
        case DATA_LF -> part = need(b == '\n', Part.SIZE, "a chunk is longer than its size");
        case TRAILER -> {
          need(++trailers <= LONGEST_TRAILERS, "the trailers are too long");
          part = b == '\r' ? Part.TRAILER_END : Part.TRAILER;
          line += b == '\r' ? 0 : 1;
        }
        default -> {
          need(b == '\n', "a trailer has no end");
          part = line == 0 ? Part.WHOLE : Part.TRAILER;
          line = 0;
        }
      }
    }

    private void head(byte b) {
      need(++line <= LONGEST_LINE, "a chunk's size has no end");
      int digit = part == Part.SIZE ? Character.digit((char) (b & 0xff), 16) : -1;
      if (digit >= 0) {
        need(size < 1L << 56, "a chunk of no possible size");
        size = size * 16 + digit;
        digits = true;
      } else if (b == '\r') {
        part = Part.SIZE_END;
      } else if (part != Part.EXTENSION) {
        need(digits && (b == ';' || b == ' ' || b == '\t'), "a chunk's size can't be read");
        part = b == ';' ? Part.EXTENSION : Part.BLANK;
      } else {
        need(b != '\n', "a chunk's size has no end");
      }
    }

    private static <T> T need(boolean holds, T then, String why) {
      need(holds, why);
      return then;
    }

    private static void need(boolean holds, String why) {
      if (!holds) {
        throw new HttpBrokenContentException(why);
      }
    }
  }

  @Override
  public ParsingResult parsePacket(FilterChainContext ctx, HttpHeader header, Buffer in) {
    Body body = (Body) header.getAttributes().getAttribute(STATE);
    if (body == null) {
      body = new Body();
      header.getAttributes().setAttribute(STATE, body);
    }
    byte[] data = body.take(in);
    boolean whole = body.part == Part.WHOLE;
    if (whole) {
      header.getAttributes().removeAttribute(STATE);
    }
    Buffer rest = whole && in.hasRemaining() ? in.slice() : null;
    return ParsingResult.create(
        HttpContent.create(header, whole, Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, data)), rest);
  }

  @Override
  public boolean wantDecode(HttpHeader header) {
    return written.wantDecode(header);
  }

  @Override
  public boolean wantEncode(HttpHeader header) {
    return written.wantEncode(header);
  }

  @Override
  public void prepareSerialize(FilterChainContext ctx, HttpHeader header, HttpContent content) {
    written.prepareSerialize(ctx, header, content);
  }

  @Override
  public Buffer serializePacket(FilterChainContext ctx, HttpContent content) {
    return written.serializePacket(ctx, content);
  }
}
