package gapproxy.runtime;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.IOStrategy;
import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Runs I/O events on the selector thread, and accepts several pending connections per accept event. Grizzly accepts only one per selector
 * cycle, so that each pending connection would wait until all connections accepted before it had been read from again.
 */
@SuppressWarnings("rawtypes")                                 // Grizzly declares them raw
final class BatchAcceptStrategy implements IOStrategy {
  /** Limit on the connections accepted per event, so that other connections are read from in between. */
  private static final int MAX_ACCEPTS_PER_EVENT = 32;

  private final SameThreadIOStrategy delegate = SameThreadIOStrategy.getInstance();
  private final AtomicLong accepted = new AtomicLong();
  private final Set<Connection> paused = ConcurrentHashMap.newKeySet();

  /** A probe that counts the connections accepted by a transport. */
  ConnectionProbe probe() {
    return new ConnectionProbe.Adapter() {
      @Override
      public void onAcceptEvent(Connection server, Connection client) {
        accepted.incrementAndGet();
      }
    };
  }

  /** Sets whether connections are accepted on a listening socket. */
  void setAccepting(Connection server, boolean on) {
    if (on) {
      paused.remove(server);
    } else {
      paused.add(server);
    }
  }

  /** Removes the state of a listening socket that is closed. */
  void remove(Connection server) {
    paused.remove(server);
  }

  @Override
  public boolean executeIoEvent(Connection connection, IOEvent event) throws IOException {
    return executeIoEvent(connection, event, true);
  }

  @Override
  public boolean executeIoEvent(Connection connection, IOEvent event, boolean enabled) throws IOException {
    if (event != IOEvent.SERVER_ACCEPT) {
      return delegate.executeIoEvent(connection, event, enabled);
    }
    boolean result = true;
    boolean more = true;
    for (int i = 0; i < MAX_ACCEPTS_PER_EVENT && more; i++) {
      long before = accepted.get();
      result = delegate.executeIoEvent(connection, event, enabled);
      more = accepted.get() != before && connection.isOpen() && !paused.contains(connection);
    }
    return result;
  }

  @Override
  public Executor getThreadPoolFor(Connection connection, IOEvent event) {
    return delegate.getThreadPoolFor(connection, event);
  }

  @Override
  public ThreadPoolConfig createDefaultWorkerPoolConfig(Transport transport) {
    return delegate.createDefaultWorkerPoolConfig(transport);
  }
}
