package gapproxy.gateway;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * One req on its client's side. A client's side and a servers' side come as a pair: the second may look closer at clients that the
 * first made, and the first knows the pieces of answers that the second hands on. All of it on the loop.
 */
public interface Client {
  /** What the decisions are told; {@code session} and {@code shared} are 0 where there is none. */
  record Ask(int group, int customer, long session, Duration budget, long shared, double prompt, double sharedPart,
      double maxAnswer) {
    /** The same with another budget. */
    public Ask within(Duration left) {
      return new Ask(group, customer, session, left, shared, prompt, sharedPart, maxAnswer);
    }
  }

  Ask ask();

  /** The id by which every server knows the req and frees all that is held for it, or null where each forward has its own. */
  String id();

  /** Whether the answer is given as it comes; else when it is whole, within the budget. */
  boolean stream();

  /** It is taken, under this name; the path says how its prompt was read, see {@link Req#path}. */
  void taken(String name, Supplier<String> path);

  /** Runs when the client is gone before its answer was given whole. */
  void onLost(Runnable then);

  /** The first token is there. */
  void begin();

  /** A piece of the answer, to be given at the next flush. */
  void piece(Object piece);

  void flush();

  /** Whether so much waits to be given that the server should be held back, until there is room. */
  boolean full();

  void onRoom(Runnable then);

  /** So many tokens were counted in the prompt. */
  void counted(long tokens);

  /** The answer is whole. */
  void done();

  /** @param trouble whether the fleet, not the load, is why */
  void pushBack(Duration retryIn, boolean trouble);

  /** The req itself is at fault, says a server. */
  void refused(int status, byte[] body);

  /** Before the answer has begun or in its midst: an error, and never its regular end. */
  void abort(Why why, String text);

  /** Its answer was given and no attempt of it is out: nothing uses it any longer. */
  default void forgotten() {
  }

  /** Why a req was aborted. */
  enum Why { TIMEOUT, STREAM_BROKEN, SERVER_FAILED, STOPPING }
}
