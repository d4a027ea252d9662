package gapproxy.http;

import java.time.Duration;

/**
 * Limits of an HTTP server and of each of its connections.
 *
 * @param maxHeadBytes maximum length of request line and headers together
 * @param maxHeaders maximum number of header lines
 * @param maxBodyBytes maximum length of a request body
 * @param maxPendingWriteBytes unwritten response bytes above which the source of a response is asked to pause
 * @param idleTimeout how long a connection may stay open without a request
 * @param requestReadTimeout how long a request may take from its first byte to its last
 * @param firstRequestTimeout how long a new connection may take to deliver its first complete request
 * @param maxConnections maximum number of open connections; beyond it, a connection without a request is closed
 */
public record ServerLimits(int maxHeadBytes, int maxHeaders, int maxBodyBytes, int maxPendingWriteBytes,
    Duration idleTimeout, Duration requestReadTimeout, Duration firstRequestTimeout, int maxConnections) {

  /** Limits without a maximum number of connections; the first request may take as long as a connection may be idle. */
  public ServerLimits(int maxHeadBytes, int maxHeaders, int maxBodyBytes, int maxPendingWriteBytes, Duration idleTimeout,
      Duration requestReadTimeout) {
    this(maxHeadBytes, maxHeaders, maxBodyBytes, maxPendingWriteBytes, idleTimeout, requestReadTimeout, idleTimeout,
        Integer.MAX_VALUE);
  }

  /** Default limits, without a maximum number of connections. */
  public static final ServerLimits DEFAULT =
      new ServerLimits(16 << 10, 100, 4 << 20, 256 << 10, Duration.ofSeconds(60), Duration.ofSeconds(10));
}
