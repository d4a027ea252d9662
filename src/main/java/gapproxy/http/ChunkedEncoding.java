package gapproxy.http;

import java.io.ByteArrayOutputStream;
import java.util.function.Function;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
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
 * Decodes chunked bodies (RFC 9112, section 7.1) that may be split at any byte. Replaces the decoder of Grizzly, which rejects chunk
 * extensions instead of ignoring them, and accepts chunks that are longer than their size, have no size or state any size. Encoding is left
 * to Grizzly.
 */
final class ChunkedEncoding implements TransferEncoding {
  private static final int MAX_SIZE_LINE_BYTES = 1 << 10, MAX_TRAILER_BYTES = 8 << 10;
  private static final String DECODER_ATTRIBUTE = "gapproxy.http.chunks";

  private final TransferEncoding encoder;
  private final Function<Connection<?>, LengthLimits> limits;

  private ChunkedEncoding(TransferEncoding encoder, Function<Connection<?>, LengthLimits> limits) {
    this.encoder = encoder;
    this.limits = limits;
  }

  /**
   * Replaces Grizzly's chunked encoding in a codec by this one, and returns the codec.
   *
   * @param limits the limits for the body that is being received on a connection
   */
  static <F extends HttpCodecFilter> F installIn(F codec, Function<Connection<?>, LengthLimits> limits) {
    for (TransferEncoding encoding : codec.getTransferEncodings()) {
      if (encoding instanceof ChunkedTransferEncoding) {
        codec.removeTransferEncoding(encoding);
        codec.addTransferEncoding(new ChunkedEncoding(encoding, limits));
      }
    }
    return codec;
  }

  private enum State { SIZE, SIZE_WHITESPACE, EXTENSION, SIZE_LF, DATA, DATA_CR, DATA_LF, TRAILER, TRAILER_LF, COMPLETE }

  /** Decoder state of one body. */
  private static final class Decoder {
    private final LengthLimits limits;
    private State state = State.SIZE;
    private long chunkBytes, earlierBytes;
    private int lineBytes, trailerBytes;
    private boolean hasDigits;

    Decoder(LengthLimits limits) {
      this.limits = limits;
    }

    /** Decodes the available bytes, at most up to the end of the body, and returns the chunk data in them. */
    byte[] decode(Buffer in) {
      ByteArrayOutputStream data = new ByteArrayOutputStream(in.remaining());
      while (state != State.COMPLETE && in.hasRemaining()) {
        if (state == State.DATA) {
          byte[] bytes = new byte[(int) Math.min(chunkBytes, in.remaining())];
          in.get(bytes);
          data.writeBytes(bytes);
          chunkBytes -= bytes.length;
          state = chunkBytes > 0 ? State.DATA : State.DATA_CR;
        } else {
          consume(in.get());
        }
      }
      return data.toByteArray();
    }

    private void consume(byte b) {
      switch (state) {
        case SIZE, SIZE_WHITESPACE, EXTENSION -> consumeSizeLine(b);
        case SIZE_LF -> {
          require(b == '\n' && hasDigits, "chunk size line is not terminated by CRLF");
          limits.checkChunk(chunkBytes, earlierBytes);
          earlierBytes += chunkBytes;
          state = chunkBytes > 0 ? State.DATA : State.TRAILER;
          hasDigits = false;
          lineBytes = 0;
        }
        case DATA_CR -> state = require(b == '\r', State.DATA_LF, "chunk is longer than its size");
        case DATA_LF -> state = require(b == '\n', State.SIZE, "chunk is longer than its size");
        case TRAILER -> {
          require(++trailerBytes <= MAX_TRAILER_BYTES, "trailer section is too long");
          state = b == '\r' ? State.TRAILER_LF : State.TRAILER;
          lineBytes += b == '\r' ? 0 : 1;
        }
        default -> {
          require(b == '\n', "trailer line is not terminated by CRLF");
          state = lineBytes == 0 ? State.COMPLETE : State.TRAILER;
          lineBytes = 0;
        }
      }
    }

    private void consumeSizeLine(byte b) {
      require(++lineBytes <= MAX_SIZE_LINE_BYTES, "chunk size line is too long");
      int digit = state == State.SIZE ? Character.digit((char) (b & 0xff), 16) : -1;
      if (digit >= 0) {
        require(chunkBytes < 1L << 56, "chunk size is out of range");
        chunkBytes = chunkBytes * 16 + digit;
        hasDigits = true;
      } else if (b == '\r') {
        state = State.SIZE_LF;
      } else if (state != State.EXTENSION) {
        require(hasDigits && (b == ';' || b == ' ' || b == '\t'), "chunk size is invalid");
        state = b == ';' ? State.EXTENSION : State.SIZE_WHITESPACE;
      } else {
        require(b != '\n', "chunk size line is not terminated by CRLF");
      }
    }

    private static <T> T require(boolean condition, T next, String message) {
      require(condition, message);
      return next;
    }

    private static void require(boolean condition, String message) {
      if (!condition) {
        throw new HttpBrokenContentException(message);
      }
    }
  }

  @Override
  public ParsingResult parsePacket(FilterChainContext ctx, HttpHeader header, Buffer in) {
    Decoder decoder = (Decoder) header.getAttributes().getAttribute(DECODER_ATTRIBUTE);
    if (decoder == null) {
      decoder = new Decoder(limits.apply(ctx.getConnection()));
      header.getAttributes().setAttribute(DECODER_ATTRIBUTE, decoder);
    }
    byte[] data = decoder.decode(in);
    boolean complete = decoder.state == State.COMPLETE;
    if (complete) {
      header.getAttributes().removeAttribute(DECODER_ATTRIBUTE);
    }
    Buffer rest = complete && in.hasRemaining() ? in.slice() : null;
    return ParsingResult.create(
        HttpContent.create(header, complete, Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, data)), rest);
  }

  @Override
  public boolean wantDecode(HttpHeader header) {
    return encoder.wantDecode(header);
  }

  @Override
  public boolean wantEncode(HttpHeader header) {
    return encoder.wantEncode(header);
  }

  @Override
  public void prepareSerialize(FilterChainContext ctx, HttpHeader header, HttpContent content) {
    encoder.prepareSerialize(ctx, header, content);
  }

  @Override
  public Buffer serializePacket(FilterChainContext ctx, HttpContent content) {
    return encoder.serializePacket(ctx, content);
  }
}
