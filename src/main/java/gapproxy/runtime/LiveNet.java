package gapproxy.runtime;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SelectableChannel;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.function.Supplier;
import org.glassfish.grizzly.CompletionHandler;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.asyncqueue.WritableMessage;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.ChannelConfigurator;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;

/** TCP connections, implemented with Grizzly. */
public final class LiveNet implements Net, AutoCloseable {
  private final TCPNIOTransport transport;
  private final BatchAcceptStrategy acceptStrategy = new BatchAcceptStrategy();

  /**
   * Starts a transport with the system's default socket buffers.
   *
   * @param selectors number of selector threads, which read, decode, and finish writes that could not complete immediately
   */
  public LiveNet(String name, int selectors) throws IOException {
    this(name, selectors, 0);
  }

  /**
   * Starts a transport.
   *
   * @param socketBuffer size of each connection's socket send and receive buffers in bytes; 0 keeps the system default
   */
  public LiveNet(String name, int selectors, int socketBuffer) throws IOException {
    transport = TCPNIOTransportBuilder.newInstance().setName(name).setIOStrategy(acceptStrategy)
        .setSelectorRunnersCount(selectors).setReuseAddress(true).setTcpNoDelay(true).setKeepAlive(true)
        .setServerConnectionBackLog(4096).setReadBufferSize(32 << 10).build();
    // No limit in the transport, because the owner of a connection limits what it queues.
    transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(-1);
    if (socketBuffer > 0) {
      transport.setChannelConfigurator(new SocketBufferConfigurator(transport.getChannelConfigurator(), socketBuffer));
    }
    transport.getConnectionMonitoringConfig().addProbes(acceptStrategy.probe());
    transport.start();
  }

  /** Sets socket buffer sizes in addition to the usual options. */
  private record SocketBufferConfigurator(ChannelConfigurator delegate, int bytes) implements ChannelConfigurator {
    @Override
    public void preConfigure(NIOTransport transport, SelectableChannel channel) throws IOException {
      delegate.preConfigure(transport, channel);
      NetworkChannel networkChannel = (NetworkChannel) channel;
      // Accepted sockets inherit the size from the listening socket.
      networkChannel.setOption(StandardSocketOptions.SO_RCVBUF, bytes);
      if (networkChannel.supportedOptions().contains(StandardSocketOptions.SO_SNDBUF)) {
        networkChannel.setOption(StandardSocketOptions.SO_SNDBUF, bytes);
      }
    }

    @Override
    public void postConfigure(NIOTransport transport, SelectableChannel channel) throws IOException {
      delegate.postConfigure(transport, channel);
    }
  }

  private FilterChain buildChain(Supplier<List<Filter>> filters) {
    return FilterChainBuilder.stateless().add(new RetryingTransportFilter()).addAll(filters.get()).build();
  }

  @Override
  public Port listen(InetSocketAddress address, Supplier<List<Filter>> filters) throws IOException {
    var binding = TCPNIOBindingHandler.builder(transport)
        .processor(buildChain(filters)).build();
    TCPNIOServerConnection server = binding.bind(address, 4096);
    InetSocketAddress bound = (InetSocketAddress) server.getLocalAddress();
    return new Port() {
      @Override
      public InetSocketAddress address() {
        return bound;
      }

      @Override
      public void close() {
        server.closeSilently();
        acceptStrategy.remove(server);
      }

      @Override
      public void setAccepting(boolean on) {
        acceptStrategy.setAccepting(server, on);
        try {
          if (on) {
            server.enableIOEvent(IOEvent.SERVER_ACCEPT);
          } else {
            server.disableIOEvent(IOEvent.SERVER_ACCEPT);
          }
        } catch (IOException e) {
          server.closeSilently();                             // the port was closing already
        }
      }
    };
  }

  @Override
  public void connect(InetSocketAddress address, Supplier<List<Filter>> filters, ConnectListener listener) {
    TCPNIOConnectorHandler connector = TCPNIOConnectorHandler.builder(transport).processor(buildChain(filters)).build();
    CompletionHandler<Connection> handler = new EmptyCompletionHandler<>() {
      @Override
      public void completed(Connection c) {
        listener.connected(c);
      }

      @Override
      public void failed(Throwable why) {
        listener.failed(why instanceof IOException io ? io : new IOException(why));
      }

      @Override
      public void cancelled() {
        listener.failed(new IOException("connect was cancelled"));
      }
    };
    GrizzlyFuture<Connection> pending = connector.connect(address);
    listener.connecting(() -> pending.cancel(false));
    pending.addCompletionHandler(handler);
  }

  @Override
  public void setReading(Connection<?> connection, boolean on) {
    try {
      if (on) {
        connection.enableIOEvent(IOEvent.READ);
      } else {
        connection.disableIOEvent(IOEvent.READ);
      }
    } catch (IOException e) {
      connection.closeSilently();                             // the connection was closing already
    }
  }

  @Override
  public void discardInput(Connection<?> connection) {
    RetryingTransportFilter.discardInput(connection);
  }

  @Override
  public boolean inputEnded(Connection<?> connection) {
    return RetryingTransportFilter.inputEnded(connection);
  }

  @Override
  public void runOnReadingThread(Connection<?> connection, Runnable task) {
    SelectorRunner selector = ((NIOConnection) connection).getSelectorRunner();
    if (selector == null) {
      task.run();                                             // the connection is closed, so no thread reads from it
      return;
    }
    transport.getSelectorHandler().execute(selector, () -> {
      task.run();
      return true;
    }, null);
  }

  @Override
  public void afterNextRead(Connection<?> connection, Runnable task) {
    runOnReadingThread(connection, () -> {
      SelectorRunner selector = ((NIOConnection) connection).getSelectorRunner();
      if (selector == null) {
        task.run();                                           // the connection is closed
        return;
      }
      // A task of the selector's own thread runs at the beginning of its next cycle.
      transport.getSelectorHandler().enque(selector, () -> {
        task.run();
        return true;
      }, null);
    });
  }

  @Override
  public void shutdownOutput(Connection<?> connection, Runnable callback) {
    transport.getAsyncQueueIO().getWriter().write((NIOConnection) connection, Buffers.EMPTY_BUFFER,
        new EmptyCompletionHandler<WriteResult<WritableMessage, SocketAddress>>() {
          @Override
          public void completed(WriteResult<WritableMessage, SocketAddress> written) {
            try {
              ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
              callback.run();
            } catch (IOException e) {
              connection.terminateSilently();                 // reset by the peer
            }
          }
        });
  }

  @Override
  public void close() {
    try {
      transport.shutdownNow();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
