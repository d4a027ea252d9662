package gapproxy.runtime;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.Filter;

/** Opens and accepts byte-stream connections. Callers supply filters, which are placed above those of the transport and work over any. */
public interface Net {
  /** Most bytes that are read from a connection at once. After a read of fewer, everything that had arrived was read. */
  int MAX_READ_BYTES = 8 << 10;

  /** A listening port. */
  interface Port {
    /** The address that is listened at, with the actual port. */
    InetSocketAddress address();

    /** Stops listening; open connections stay. */
    void close();

    /** Pauses or resumes accepting; pending connections wait in the listen backlog. May be called on any thread. */
    default void setAccepting(boolean on) {
    }
  }

  /** Receives the outcome of a connect: one call of {@link #connected} or {@link #failed}, on any thread. */
  interface ConnectListener {
    /** Called first, on the caller's thread, with a way to cancel the connect, which could otherwise hold a file descriptor for minutes. */
    default void connecting(Runnable cancel) {
    }

    void connected(Connection<?> connection);

    void failed(IOException why);
  }

  /**
   * Listens at an address; port 0 takes any free one.
   *
   * @throws IOException if the address can't be bound
   */
  Port listen(InetSocketAddress address, Supplier<List<Filter>> filters) throws IOException;

  /** Opens a connection. The caller applies a timeout of its own, and closes a connection that is established after the timeout. */
  void connect(InetSocketAddress address, Supplier<List<Filter>> filters, ConnectListener listener);

  /** Pauses or resumes reading from a connection. A paused connection applies backpressure to its peer. */
  void setReading(Connection<?> connection, boolean on);

  /**
   * Discards all further input of a connection without passing it to filters; only the end of the input is detected. Called on the thread
   * that reads the connection.
   */
  default void discardInput(Connection<?> connection) {
  }

  /**
   * Whether the peer has closed its side, as far as that was seen behind the bytes that were read last. Called on the thread that reads the
   * connection.
   */
  default boolean inputEnded(Connection<?> connection) {
    return false;
  }

  /** Runs a task on the thread that reads a connection, so that nothing is read from it meanwhile. */
  default void runOnReadingThread(Connection<?> connection, Runnable task) {
    task.run();
  }

  /** Runs a task on the thread that reads a connection, after all connections were read on which something had arrived by now. */
  default void afterNextRead(Connection<?> connection, Runnable task) {
    runOnReadingThread(connection, task);
  }

  /**
   * Shuts down the output after everything queued has been written. The peer sees the end of the stream, and what the peer sends can still
   * be read.
   *
   * @param callback called on any thread when the output has been shut down
   */
  default void shutdownOutput(Connection<?> connection, Runnable callback) {
    connection.closeSilently();
    callback.run();
  }
}
