package gapproxy.runtime;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;

/**
 * Reads from and writes to a connection, and retries calls that are interrupted by a signal. The JDK reports an interrupted call on a
 * non-blocking channel as a negative count. Grizzly takes a negative count for the end of the stream when reading, and moves the buffer
 * position back by that count when writing.
 */
final class RetryingTransportFilter extends TransportFilter {
  /** Value of sun.nio.ch.IOStatus.INTERRUPTED, which channels return to their callers. */
  private static final int INTERRUPTED = -3;
  private static final int BUFFER_BYTES = Net.MAX_READ_BYTES; // maximum per system call
  private static final Attribute<QueuedWrites> QUEUED_WRITES = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gapproxy.runtime.queued");
  private static final int MAX_DISCARDED_BYTES = 256 << 10;   // per event, so that other connections are read as well
  private static final Attribute<Boolean> DISCARDS_INPUT = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gapproxy.runtime.discarded");
  private static final Attribute<Boolean> INPUT_ENDED = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("gapproxy.runtime.ended");
  private static final ThreadLocal<ByteBuffer> BUFFERS = ThreadLocal.withInitial(() -> ByteBuffer.allocateDirect(BUFFER_BYTES));

  /** Discards all further input of a connection; only the end of the input is detected. */
  static void discardInput(Connection<?> connection) {
    DISCARDS_INPUT.set(connection, Boolean.TRUE);
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    TCPNIOConnection connection = (TCPNIOConnection) ctx.getConnection();
    ByteBuffer bytes = BUFFERS.get().clear();
    if (DISCARDS_INPUT.isSet(connection)) {
      discard(connection, bytes);
      return ctx.getStopAction();
    }
    boolean ended = readAll(connection, bytes);
    int count = bytes.position();
    if (ended && count == 0) {
      throw terminate(connection, new EOFException());
    } else if (ended) {
      INPUT_ENDED.set(connection, Boolean.TRUE);              // the next read ends the connection
    } else if (count == 0) {
      return ctx.getStopAction();
    }
    // Copied, because a pooled buffer would retain its whole 64 KiB while a single message head in it is kept.
    byte[] copy = new byte[count];
    bytes.flip().get(copy);
    ctx.setMessage(Buffers.wrap(connection.getMemoryManager(), copy));
    ctx.setAddressHolder(null);
    return ctx.getInvokeAction();
  }

  /** Whether the end of a connection's input was seen behind the bytes that were read last. */
  static boolean inputEnded(Connection<?> connection) {
    return INPUT_ENDED.isSet(connection);
  }

  /** Reads until the buffer is full or nothing more has arrived; returns whether the input has ended. */
  private static boolean readAll(TCPNIOConnection connection, ByteBuffer into) throws IOException {
    int count = 1;
    while (count > 0 && into.hasRemaining()) {
      count = read(connection, into);
    }
    return count < 0;
  }

  /**
   * Discards a large amount per event: the peer may have disconnected long ago, and the file descriptor of the connection is held until the
   * end of the input is seen.
   */
  private static void discard(TCPNIOConnection connection, ByteBuffer into) throws IOException {
    int n = 1;
    for (int discarded = 0; n > 0 && discarded < MAX_DISCARDED_BYTES; discarded += n) {
      n = read(connection, into.clear());
    }
    if (n < 0) {
      throw terminate(connection, new EOFException());
    }
  }

  private static int read(TCPNIOConnection connection, ByteBuffer into) throws IOException {
    SocketChannel channel = (SocketChannel) connection.getChannel();
    try {
      int n = channel.read(into);
      while (n == INTERRUPTED) {
        n = channel.read(into);
      }
      return n;
    } catch (IOException e) {
      throw terminate(connection, e);
    }
  }

  private static IOException terminate(TCPNIOConnection connection, IOException cause) {
    connection.terminateWithReason(cause);
    return cause;
  }

  /**
   * Writes as much as possible immediately. The remainder, and further messages while it is pending, go to the queue of the transport.
   * That queue is not protected against interrupted calls, so the fault remains possible if a signal arrives while data is written to a
   * client that reads slowly.
   */
  @Override
  @SuppressWarnings({"unchecked", "rawtypes"})
  public NextAction handleWrite(FilterChainContext ctx) throws IOException {
    if (!(ctx.getMessage() instanceof Buffer buffer)) {
      return super.handleWrite(ctx);
    }
    TCPNIOConnection connection = (TCPNIOConnection) ctx.getConnection();
    FilterChainContext.TransportContext transport = ctx.getTransportContext();
    CompletionHandler handler = transport.getCompletionHandler();
    QueuedWrites queuedWrites = queuedWrites(connection);
    long written;
    synchronized (queuedWrites) {
      written = queuedWrites.count == 0 ? write(connection, buffer) : 0;
      if (buffer.hasRemaining()) {
        queuedWrites.count++;
        transport.setCompletionHandler(new QueuedWrites.Handler(queuedWrites, handler));
        return super.handleWrite(ctx);
      }
    }
    ctx.setMessage(null);
    if (handler != null) {
      handler.completed(WriteResult.create(connection, buffer, null, written));
    }
    buffer.tryDispose();
    return ctx.getInvokeAction();
  }

  private static QueuedWrites queuedWrites(TCPNIOConnection connection) {
    synchronized (connection) {
      QueuedWrites writes = QUEUED_WRITES.get(connection);
      if (writes == null) {
        writes = new QueuedWrites();
        QUEUED_WRITES.set(connection, writes);
      }
      return writes;
    }
  }

  /** Writes as much as the system accepts. Stops on an error; the transport meets the same error when it writes the remainder. */
  private static long write(TCPNIOConnection connection, Buffer buffer) {
    SocketChannel channel = (SocketChannel) connection.getChannel();
    long written = 0;
    while (buffer.hasRemaining()) {
      int position = buffer.position();
      ByteBuffer piece = BUFFERS.get().clear();
      int length = Math.min(buffer.remaining(), piece.capacity());
      buffer.get(piece, 0, length);
      piece.position(0).limit(length);
      int n = 0;
      try {
        do {
          n = channel.write(piece);
        } while (n == INTERRUPTED);
      } catch (IOException e) {
        n = 0;
      }
      buffer.position(position + n);
      written += n;
      if (n < length) {
        break;
      }
    }
    return written;
  }

  /** Counts the messages of a connection that are in the queue of the transport. */
  private static final class QueuedWrites {
    private int count;

    /** Decrements the count when a message has left the queue, and forwards the event. */
    @SuppressWarnings({"unchecked", "rawtypes"})
    private static final class Handler implements CompletionHandler {
      private final QueuedWrites queuedWrites;
      private final CompletionHandler delegate;

      Handler(QueuedWrites queuedWrites, CompletionHandler delegate) {
        this.queuedWrites = queuedWrites;
        this.delegate = delegate;
      }

      private void decrement() {
        synchronized (queuedWrites) {
          queuedWrites.count--;
        }
      }

      @Override
      public void completed(Object result) {
        decrement();
        if (delegate != null) {
          delegate.completed(result);
        }
      }

      @Override
      public void failed(Throwable why) {
        decrement();
        if (delegate != null) {
          delegate.failed(why);
        }
      }

      @Override
      public void cancelled() {
        decrement();
        if (delegate != null) {
          delegate.cancelled();
        }
      }

      @Override
      public void updated(Object result) {
        if (delegate != null) {
          delegate.updated(result);
        }
      }
    }
  }
}
