package gapproxy.gateway;

import gapproxy.engine.EngineFailure;
import gapproxy.http.HttpClient;
import gapproxy.http.StreamContent;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** The side of a gateway that faces model servers: sends them what was decided and reports the outcome. Runs on the loop. */
public interface Servers {
  /** Receives the load report that accompanies a server's response. */
  interface LoadReportListener {
    /** The load figures that came with the response, in the order that the decisions expect. */
    default void loadReport(double[] figures) {
    }
  }

  /** Asked right before a request is written, since the request may have waited for a connection, and told once it has been written. */
  interface SendListener extends LoadReportListener {
    /** Whether the request should still be sent: its client waits for it, and its server accepts new work. */
    boolean shouldSend();

    /** The last byte of the request has been handed to the operating system. */
    default void sent() {
    }
  }

  /** The outcome of a call that asks a server for a reservation. */
  enum ReservationResult {
    /** The server has granted the reservation. */
    HELD,
    /** The server has reported that it holds no reservation. */
    NOT_HELD,
    /** The server knows of no read in flight for the req; the reservation may exist all the same. */
    NOT_KNOWN,
    /** The call got no answer; the reservation may exist. */
    UNANSWERED
  }

  /** Receives the outcome of a reservation call. */
  interface ReservationListener extends SendListener {
    void answered(ReservationResult result);
  }

  /** Receives the outcome of a read. */
  interface ReadListener extends SendListener {
    /**
     * The read is done and its state is held at the reader.
     *
     * @param heldState what a writer needs in order to fetch the held state
     * @param cachedTokens prompt tokens that were found in the reader's cache, -1 if it does not report that
     * @param promptTokens tokens of the whole prompt
     */
    void readDone(Object heldState, long cachedTokens, long promptTokens);

    void failed(EngineFailure failure);
  }

  /** Receives the answer that a write streams, and its outcome. */
  interface WriteListener extends SendListener {
    /**
     * The next chunk of the answer.
     *
     * @param hasContent whether the chunk holds a token of the answer, or its end
     */
    void chunk(Object chunk, boolean hasContent);

    /**
     * The server has reported token counts.
     *
     * @param cachedTokens prompt tokens found in the cache, -1 if that is not reported
     * @param answerTokens tokens of the answer, -1 if that is not reported
     */
    void tokensCounted(long cachedTokens, long promptTokens, long answerTokens);

    /**
     * The chunks of one network read have all been delivered. There may be none, since a chunk may take several reads.
     *
     * @param content what the read brought
     * @param unfinishedBytes length of the event or comment that has come in part by now, 0 if there is none
     */
    void readDelivered(StreamContent content, long unfinishedBytes);

    /** The stream has ended regularly. */
    void done();

    void failed(EngineFailure failure);
  }

  /** Receives the outcome of a release call. */
  interface ReleaseListener {
    /** @param acknowledged whether the server acknowledged the release */
    void releaseEnded(boolean acknowledged);
  }

  /** Asks a reader to read a req's prompt; {@link #release} with the same id releases the state that the read leaves. */
  HttpClient.Call read(InetSocketAddress server, String id, ClientReq req, Duration timeout, ReadListener listener);

  /**
   * Asks a writer to generate an answer.
   *
   * @param reservationId id of the reservation at this writer, or null
   * @param heldState what the read returned, for fetching the held state, or null if the writer is to read the prompt itself
   */
  HttpClient.Call write(InetSocketAddress server, String id, ClientReq req, Duration timeout, String reservationId, Object heldState,
      WriteListener listener);

  /** The same addresses, sorted by how likely they can be reached, the likeliest first. */
  default List<InetSocketAddress> mostReachableFirst(List<InetSocketAddress> addresses) {
    return addresses;
  }

  /** When data last arrived from a server, on the loop's clock, or null if that is not known. */
  default Duration lastReceivedAt(InetSocketAddress server) {
    return null;
  }

  /** Checks whether a server answers at all; an error response counts as an answer. */
  default void checkReachable(InetSocketAddress server, Consumer<Boolean> listener) {
    probe(server, (report, failure) -> listener.accept(failure == null
        || failure.kind() != EngineFailure.Kind.NO_CONNECTION && failure.kind() != EngineFailure.Kind.BROKEN));
  }

  /** Asks a server for its load figures: an empty array if it reports none, a failure if it does not answer. */
  void probe(InetSocketAddress server, BiConsumer<double[], EngineFailure> listener);

  /** Asks a writer for a reservation. */
  void reserve(InetSocketAddress server, String id, ClientReq req, Duration timeout, ReservationListener listener);

  /** Whether servers grant a reservation only while the read of the req is in flight, so that a grant proves that the read has arrived. */
  default boolean reservationProvesRead() {
    return false;
  }

  /**
   * Releases what a server holds under an id.
   *
   * @param newConnection whether to open a new connection for the call, as the open ones may have stopped responding
   */
  void release(InetSocketAddress server, String id, Duration timeout, boolean newConnection, ReleaseListener listener);

  /** A req has its final answer and none of its attempts is in flight. */
  default void reqFinished(String id) {
  }

  /** No listed server has this address any longer; drops what is kept for it. */
  void forget(InetSocketAddress address);

  /** Releases connections; nothing is called after it. */
  void close();
}
