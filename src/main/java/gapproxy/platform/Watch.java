package gapproxy.platform;

import gapproxy.http.HttpClient;
import gapproxy.list.ListSource;
import gapproxy.list.ServerList;
import gapproxy.runtime.Loop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Discovery's watch: one answer that stays open, with JSON objects and, between them, signs of life. Belongs to one loop.
 *
 * <p>What discovery has to tell counts as told 6 s later, so silence, the next calls and the waits between them stay well inside that.
 * Where a call brings no list at once another one is made beside it: whichever brings one first is followed, and the others are ended.
 * A discovery that is slow is so still heard, and one that lost a call is asked again soon.
 */
final class Watch implements ListSource {
  private static final Logger LOG = LoggerFactory.getLogger(Watch.class);
  static final Duration FIRST = Duration.ofMillis(500);       // the agent is on this machine and answers at once
  private static final Duration AGAIN = Duration.ofMillis(100);
  private static final Duration SILENT = Duration.ofSeconds(3); // half as long again as the time between signs of life
  private static final int MOST_WAITING = 8;                  // calls without a list at a time: each is waited for 4 s

  private final HttpClient http;
  private final Loop loop;
  private final Duration connectWithin;
  private final Members members;
  private final ListSource.Listener listener;
  private final Deque<Attempt> waiting = new ArrayDeque<>();  // for their first list, oldest first
  private Attempt followed;
  private InetSocketAddress at;
  private long index = -1;
  private Loop.Timer timer;
  private boolean wanted, closed;

  Watch(InetSocketAddress at, HttpClient http, Loop loop, Duration connectWithin, Members members,
      ListSource.Listener listener) {
    this.at = at;
    this.http = http;
    this.loop = loop;
    this.connectWithin = connectWithin;
    this.members = members;
    this.listener = listener;
  }

  @Override
  public void subscribe() {
    wanted = true;
    if (followed == null && waiting.isEmpty()) {
      open();
    }
  }

  /** Discovery has another address now; the whole list is asked for anew. */
  void move(InetSocketAddress to) {
    if (!to.equals(at)) {
      LOG.atInfo().addKeyValue("from", at).addKeyValue("to", to).log("discovery has another address");
      at = to;
      index = -1;
      endAll();
      if (wanted) {
        open();
      }
    }
  }

  /** Makes a call, beside those that wait for their first list. */
  private void open() {
    if (closed) {
      return;
    }
    if (waiting.size() == MOST_WAITING) {
      waiting.poll().cancel();
    }
    Attempt a = new Attempt();
    waiting.add(a);
    a.begin();
    awaitFirst();
  }

  /** Ends the calls that wait longest for their first list while what has come on all of them is too much; never the one that just got some. */
  private void keepWithinBounds(Attempt latest) {
    while (waiting.stream().mapToLong(a -> a.objects.size()).sum() > Objects.LONGEST && waiting.peek() != latest) {
      waiting.poll().cancel();
    }
  }

  private void endAll() {
    waiting.forEach(Attempt::cancel);
    waiting.clear();
    if (followed != null) {
      followed.cancel();
      followed = null;
    }
  }

  /** Guards against an answer that never gives a list: all of it is asked for then, whatever it would say to the last version. */
  private void awaitFirst() {
    set(FIRST, () -> {
      index = -1;
      open();
    });
  }

  /** Guards against a watch that died without a word. */
  private void awaitSign() {
    set(SILENT, () -> {
      LOG.atInfo().addKeyValue("discovery", at).addKeyValue("cause", "silent").log("the watch is opened anew");
      followed.cancel();
      followed = null;
      open();
    });
  }

  private void again(String why) {
    listener.failed(why);
    set(AGAIN, this::open);
  }

  private void set(Duration span, Runnable then) {
    if (timer != null) {
      timer.cancel();
    }
    timer = closed ? null : loop.after(span, then);
  }

  @Override
  public void close() {
    closed = true;
    endAll();
    set(AGAIN, () -> { });
  }

  /** One call of the watch. */
  private final class Attempt implements HttpClient.Listener {
    private final Objects objects = new Objects();
    private HttpClient.Call call;
    private boolean well, over;

    void begin() {
      call = http.call(at, "GET", Wire.HOSTS + "?stream=1" + (index < 0 ? "" : "&index=" + index), Map.of(), new byte[0],
          connectWithin, this);
    }

    void cancel() {
      over = true;
      call.cancel();
    }

    @Override
    public void head(int status, Map<String, String> headers) {
      well = status == 200;
    }

    @Override
    public void data(byte[] bytes) {
      if (over || !well) {
        return;
      }
      try {
        for (byte[] whole : objects.take(bytes)) {
          if (take(whole)) {
            follow();
          }
        }
        keepWithinBounds(this);
      } catch (IOException e) {
        index = -1;                                           // what it said is not known: all of it is asked for
        cancel();
        gone("it can't be read: " + e.getMessage());
        return;
      }
      if (followed == this) {
        awaitSign();
      } else if (objects.amid() && waiting.peekLast() == this) {
        awaitFirst();                                         // signs of life alone are not what is waited for
      }
    }

    private void follow() {
      if (followed != this) {
        waiting.remove(this);
        endAll();
        followed = this;
      }
    }

    /** Whether it is a list, or changes of one. */
    private boolean take(byte[] text) throws IOException {
      ServerList l = members.list(PlatformConfig.JSON.readTree(text));
      if (l == null) {
        return false;
      } else if (!l.complete() && l.index() < index) {
        throw new IOException("changes of version " + l.index() + " after version " + index); // discovery has begun anew
      }
      index = l.index();
      listener.list(l);
      return true;
    }

    @Override
    public void end() {
      failed(HttpClient.Failure.BROKEN, "the watch ended");
    }

    @Override
    public void failed(HttpClient.Failure how, String why) {
      if (!over) {
        over = true;
        gone(why);
      }
    }

    private void gone(String why) {
      waiting.remove(this);
      followed = followed == this ? null : followed;
      if (followed == null && waiting.isEmpty()) {
        again(why);
      } else {
        listener.failed(why);                                 // another call is out
      }
    }
  }
}
