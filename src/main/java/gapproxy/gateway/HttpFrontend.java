package gapproxy.gateway;

import gapproxy.http.Exchange;
import gapproxy.http.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Base of the frontends that serve HTTP. */
public abstract class HttpFrontend implements ClientFrontend, HttpServer.Handler {
  /** A req that is answered through one HTTP exchange. Output is buffered and written at the end of a loop turn. */
  public abstract static class HttpReq implements ClientReq {
    private static final int MAX_BUFFERED_BYTES = 32 << 10;
    protected final Exchange exchange;
    // A growing array would keep its capacity for as long as the answer lasts.
    private final List<byte[]> unwritten = new ArrayList<>();
    private int unwrittenBytes;

    protected HttpReq(Exchange exchange) {
      this.exchange = exchange;
      exchange.retainRequest();
    }

    /** Buffers output until the next flush; writes at once when the buffer is full. */
    protected void bufferWrite(byte[] bytes) {
      unwritten.add(bytes);
      unwrittenBytes += bytes.length;
      if (unwrittenBytes >= MAX_BUFFERED_BYTES) {
        flush();
      }
    }

    @Override
    public boolean connected() {
      return exchange.isClientConnected();
    }

    @Override
    public void beginAnswer() {
      // No further attempt follows.
      exchange.releaseBody();
    }

    @Override
    public void finished() {
      exchange.releaseRequest();
    }

    @Override
    public void flush() {
      if (unwrittenBytes > 0) {
        exchange.write(unwritten.size() == 1 ? unwritten.get(0) : joinUnwritten());
        unwritten.clear();
        unwrittenBytes = 0;
      }
    }

    private byte[] joinUnwritten() {
      byte[] all = new byte[unwrittenBytes];
      int length = 0;
      for (byte[] bytes : unwritten) {
        System.arraycopy(bytes, 0, all, length, bytes.length);
        length += bytes.length;
      }
      return all;
    }

    @Override
    public boolean outputFull() {
      return exchange.isWriteQueueFull();
    }

    @Override
    public void onWritable(Runnable listener) {
      exchange.onWritable(listener);
    }
  }

  protected HttpServer server;
  protected ReqHandler reqHandler;

  /**
   * Starts listening.
   *
   * @throws IOException if the address can't be bound
   */
  protected abstract HttpServer openServer() throws IOException;

  @Override
  public void open(ReqHandler handler) throws IOException {
    reqHandler = handler;
    server = openServer();
  }

  @Override
  public InetSocketAddress address() {
    return server.address();
  }

  @Override
  public int openConnections() {
    return server.open();
  }

  @Override
  public void drain() {
    server.drain();
  }

  @Override
  public boolean drained() {
    // Buffered output must reach clients first; reqs that arrive meanwhile are refused.
    return server.open() == 0;
  }

  @Override
  public void kill() {
    server.closeNow();
  }
}
