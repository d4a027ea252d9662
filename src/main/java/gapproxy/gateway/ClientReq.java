package gapproxy.gateway;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * The client side of a req: what the client asked for, and the ways to answer it. Runs on the gateway's loop.
 *
 * <p>A {@link ClientFrontend} and a {@link Servers} implementation are used as a pair: the servers may cast a {@code ClientReq} to the
 * frontend's own class, and the frontend knows the type of the chunks that the servers deliver.
 */
public interface ClientReq {
  /**
   * What the decisions need to know of a req.
   *
   * @param group the index of its endpoint group in the settings
   * @param customer the number of its customer
   * @param sessionHash hash of the session, 0 if the req belongs to none
   * @param budget the time budget, which starts when the gateway accepts the req
   * @param sharedPrefixHash hash of the part of the prompt that other reqs share, 0 if there is none
   */
  record Attributes(int group, int customer, long sessionHash, Duration budget, long sharedPrefixHash, double promptTokens,
      double sharedPrefixTokens, double maxAnswerTokens) {
    /** A copy with another time budget. */
    public Attributes withBudget(Duration newBudget) {
      return new Attributes(group, customer, sessionHash, newBudget, sharedPrefixHash, promptTokens, sharedPrefixTokens, maxAnswerTokens);
    }
  }

  Attributes attributes();

  /**
   * The id that the client gave the req. Every server knows the req by it, and one release call with it frees all that is held for the
   * req. Null if the client gave none: then each attempt has an id of its own.
   */
  String clientRequestId();

  /** Whether the answer is streamed as it is generated; otherwise it is given once complete, within the time budget. */
  boolean streaming();

  /**
   * The gateway has accepted the req.
   *
   * @param name the id that the gateway assigned
   * @param path how the prompt was read, see {@link Req#path}
   */
  void accepted(String name, Supplier<String> path);

  /** Sets what runs if the client disconnects before it has the complete answer. */
  void onDisconnect(Runnable listener);

  /** Whether the client is still connected, as far as is known at this moment: {@link #onDisconnect} may tell of it later. */
  default boolean connected() {
    return true;
  }

  /** The first token has arrived. */
  void beginAnswer();

  /** A chunk of the answer, to be written at the next {@link #flush}. */
  void chunk(Object chunk);

  /** Writes the buffered chunks to the client. */
  void flush();

  /** Whether so much output is queued for the client that reading from the server should pause until {@link #onWritable} runs. */
  boolean outputFull();

  /** Sets what runs once there is room for output again. */
  void onWritable(Runnable listener);

  /** A server has reported how many tokens the prompt has. */
  void promptTokensCounted(long tokens);

  /** The answer is complete. */
  void done();

  /**
   * The req is pushed back.
   *
   * @param retryAfter how long the client should wait before it tries again, or zero
   * @param serversUnavailable whether failing or missing servers are the reason, rather than load
   */
  void pushBack(Duration retryAfter, boolean serversUnavailable);

  /** A server found the req itself to be invalid; its response is passed on. */
  void clientError(int status, byte[] body);

  /** Ends the req with an error, before or during its answer, so that the client can't take what it has for a complete answer. */
  void abort(AbortReason reason, String text);

  /** The req has its final answer and none of its attempts is in flight: nothing uses it any longer. */
  default void finished() {
  }

  /** Why a req was aborted. */
  enum AbortReason { TIMEOUT, STREAM_BROKEN, SERVER_FAILED, STOPPING }
}
