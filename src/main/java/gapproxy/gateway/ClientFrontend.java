package gapproxy.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;

/** The side of a gateway that faces clients: listens for connections and passes their reqs to a {@link ReqHandler}. Runs on the loop. */
public interface ClientFrontend {
  /** Receives the reqs; the gateway implements it. */
  interface ReqHandler {
    /** Whether one more req may be accepted: the gateway is not stopping and fewer reqs than the limit are open. */
    boolean hasCapacity();

    /** Whether the gateway is stopping. */
    boolean stopping();

    /** Whether an earlier req with this id may have had an effect that must not be repeated. */
    boolean mayHaveRun(String clientRequestId);

    /** Whether a listed server is ready that could answer a req. */
    boolean anyServerReady();

    /** Accepts a req, which the gateway then answers through the methods of {@link ClientReq}. */
    void accept(ClientReq req);
  }

  /**
   * Starts listening.
   *
   * @throws IOException if the address can't be bound
   */
  void open(ReqHandler handler) throws IOException;

  /** The address that clients connect to. */
  InetSocketAddress address();

  /** Number of open connections. */
  int openConnections();

  /** Stops accepting connections; open reqs may still end. */
  void drain();

  /** Whether no further req can arrive. */
  boolean drained();

  /** Closes the listener and all connections at once. */
  void kill();
}
