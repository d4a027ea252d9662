package gapproxy.platform;

import gapproxy.http.HttpClient;
import gapproxy.list.ListSource;
import gapproxy.list.ServerList;
import gapproxy.runtime.Loop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

/**
 * Discovery's watch: one answer that stays open, with JSON objects and, between them, signs of life. Belongs to one loop.
 * What discovery has to tell counts as told 6 s later, so silence, the next calls and the waits between them stay well inside that.
 */
final class Watch implements ListSource {
  static final Duration FIRST = Duration.ofMillis(500);       // the agent is on this machine and answers at once
  private static final Duration AGAIN = Duration.ofMillis(100);
  private static final Duration SILENT = Duration.ofSeconds(3); // half as long again as the time between signs of life

  private final HttpClient http;
  private final Loop loop;
  private final Duration connectWithin;
  private final Members members;
  private final ListSource.Listener listener;
  private InetSocketAddress at;
  private long index = -1;
  private HttpClient.Call call;
  private Loop.Timer timer;
  private int round;
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
    if (call == null) {
      open();
    }
  }

  /** Discovery has another address now; the whole list is asked for anew. */
  void move(InetSocketAddress to) {
    if (!to.equals(at)) {
      at = to;
      index = -1;
      if (wanted) {
        open();
      }
    }
  }

  private void open() {
    if (closed) {
      return;
    }
    if (call != null) {
      call.cancel();
    }
    int mine = ++round;
    Objects objects = new Objects();
    call = http.call(at, "GET", Wire.HOSTS + "?stream=1" + (index < 0 ? "" : "&index=" + index), Map.of(), new byte[0],
        connectWithin, new HttpClient.Listener() {
          private boolean well, listed;

          @Override
          public void head(int status, Map<String, String> headers) {
            well = status == 200;
          }

          @Override
          public void data(byte[] bytes) {
            if (mine != round || !well) {
              return;
            }
            try {
              for (byte[] whole : objects.take(bytes)) {
                listed |= take(whole);
              }
              if (listed) {
                await(SILENT);
              } else if (objects.amid()) {
                awaitFirst();                                 // signs of life alone are not what is waited for
              }
            } catch (IOException e) {
              index = -1;                                     // what it said is not known: all of it is asked for
              call.cancel();
              again("it can't be read: " + e.getMessage());
            }
          }

          @Override
          public void end() {
            failed(HttpClient.Failure.BROKEN, "the watch ended");
          }

          @Override
          public void failed(HttpClient.Failure how, String why) {
            if (mine == round) {
              again(why);
            }
          }
        });
    awaitFirst();
  }

  /** Guards against an answer that never gives a list: all of it is asked for then, whatever it would say to the last version. */
  private void awaitFirst() {
    set(FIRST, () -> {
      index = -1;
      open();
    });
  }

  /** Guards against a watch that died without a word. */
  private void await(Duration span) {
    set(span, this::open);
  }

  private void again(String why) {
    call = null;
    listener.failed(why);
    set(AGAIN, this::open);
  }

  private void set(Duration span, Runnable then) {
    if (timer != null) {
      timer.cancel();
    }
    timer = closed ? null : loop.after(span, then);
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
  public void close() {
    closed = true;
    set(AGAIN, () -> { });
    if (call != null) {
      call.cancel();
    }
  }
}
