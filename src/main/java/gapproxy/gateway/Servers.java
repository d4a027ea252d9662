package gapproxy.gateway;

import gapproxy.engine.Verdict;
import gapproxy.http.HttpClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;

/** The servers' side of a gateway: carries out what was decided, and tells what came of it. On the loop. */
public interface Servers {
  /** What an answer tells beside itself. */
  interface Telling {
    /** The load figures that came along. */
    default void report(double[] figures) {
    }
  }

  /** What becomes of a read. */
  interface Reading extends Telling {
    /** All of the request is on its way. */
    void sent();

    /** The state waits at the reader; so many prompt tokens were found kept, -1 if that is not told. */
    void read(Object state, long kept, long prompt);

    void failed(Verdict how);
  }

  /** What becomes of a write. */
  interface Writing extends Telling {
    /** The next piece of the answer; whether it holds a part of the answer itself, or its end. */
    void piece(Object piece, boolean begins);

    void counted(long kept, long prompt, long answered);

    /** No more pieces came with the same bytes. */
    void flush();

    /** The stream came to its regular end. */
    void done();

    void failed(Verdict how);
  }

  /** What a server says when asked to free something. */
  interface Released {
    /**
     * @param well whether nothing is held there now
     * @param any whether anything was
     */
    void then(boolean well, boolean any);
  }

  /** Asks a reader to read a req's prompt; the id frees what that leaves. */
  HttpClient.Call read(InetSocketAddress to, String id, Client of, Duration within, Reading then);

  /** Asks a writer to answer from a state, or where there is none by reading itself. */
  HttpClient.Call write(InetSocketAddress to, String id, Client of, Duration within, String place, Object state,
      Writing then);

  /** The same addresses, those first that are likeliest to be reached. */
  default List<InetSocketAddress> likeliestFirst(List<InetSocketAddress> of) {
    return of;
  }

  /** Asks how a server stands; no figures where it does not tell, a verdict where it does not answer. */
  void probe(InetSocketAddress to, BiConsumer<double[], Verdict> then);

  /** Asks a writer to hold a place; says whether it does, and whether that is sure. */
  void hold(InetSocketAddress to, String id, Client of, Duration within, BiConsumer<Boolean, Boolean> then);

  /** Frees what a server holds for an id. */
  void free(InetSocketAddress to, String id, Duration within, Released then);

  /** An address is no longer in use. */
  void forget(InetSocketAddress to);

  /** Nothing more will be asked. */
  void close();
}
