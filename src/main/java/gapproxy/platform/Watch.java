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
 * Watches discovery for changes of the server list, through an HTTP response that stays open and carries the list and its changes as JSON
 * objects, with heartbeats between them. Belongs to one loop.
 *
 * <p>A gateway is expected to act on a change within 6 s, so the silence timeout, the next calls and the delays between them together
 * stay well below that. If a call brings no list at once, another one is opened while the first stays pending; the call that is first to
 * deliver a list becomes the active one, and the others are cancelled. A slow discovery service thus has half a minute to answer, and a
 * lost call is soon repeated.
 */
final class Watch implements ListSource {
  private static final Logger LOG = LoggerFactory.getLogger(Watch.class);
  // Time without a list after which another call is opened. Short, since the discovery agent runs on this machine and answers at once.
  private static final Duration FIRST_LIST_TIMEOUT = Duration.ofMillis(500);
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);
  // Time without data after which the active call counts as lost: one and a half times the interval between heartbeats.
  private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(3);
  // Calls that may be open without having delivered a list. One is opened every 500 ms; the oldest are kept, since discovery may be slow,
  // and the others make room for new ones, since the oldest may be lost.
  private static final int MAX_PENDING_CALLS = 8, KEPT_CALLS = 4;
  // How long discovery may take for a call.
  private static final Duration MAX_CALL_TIME = Duration.ofSeconds(30);

  private final HttpClient http;
  private final Loop loop;
  private final Duration connectTimeout;
  private final HostListParser parser;
  private final ListSource.Listener listener;
  // Calls that have not delivered a list yet, oldest first.
  private final Deque<WatchCall> pending = new ArrayDeque<>();
  // The call that delivers the list's changes, or null.
  private WatchCall active;
  private InetSocketAddress address;
  // Version of the last list received, or -1 if the next call is to request the complete list.
  private long version = -1;
  private Loop.Timer timer;
  private boolean subscribed, closed;

  Watch(InetSocketAddress address, HttpClient http, Loop loop, Duration connectTimeout, HostListParser parser,
      ListSource.Listener listener) {
    this.address = address;
    this.http = http;
    this.loop = loop;
    this.connectTimeout = connectTimeout;
    this.parser = parser;
    this.listener = listener;
  }

  @Override
  public void subscribe() {
    subscribed = true;
    if (active == null && pending.isEmpty()) {
      openCall();
    }
  }

  /** Moves the watch to another address of discovery and requests the complete list from it. */
  void moveTo(InetSocketAddress to) {
    if (!to.equals(address)) {
      LOG.atInfo().addKeyValue("from", address).addKeyValue("to", to).log("discovery address changed");
      address = to;
      version = -1;
      cancelAll();
      if (subscribed) {
        openCall();
      }
    }
  }

  /** Opens a call in addition to the pending ones, and cancels one of these if the maximum is reached. */
  private void openCall() {
    if (closed) {
      return;
    }
    if (pending.size() == MAX_PENDING_CALLS) {
      cancelOnePending();
    }
    WatchCall call = new WatchCall();
    pending.add(call);
    call.start();
    startFirstListTimer();
  }

  /** Cancels the oldest pending call if discovery has had enough time for it, or else the oldest that is not kept. */
  private void cancelOnePending() {
    WatchCall oldest = pending.peek();
    boolean timeOver = loop.now().minus(oldest.startedAt).compareTo(MAX_CALL_TIME) > 0;
    WatchCall cancelled = timeOver ? oldest : pending.stream().skip(KEPT_CALLS).findFirst().orElse(oldest);
    pending.remove(cancelled);
    cancelled.cancel();
  }

  /**
   * Cancels the oldest pending calls while the calls together buffer more than one object may take, but never the call that just received
   * data.
   */
  private void limitBufferedBytes(WatchCall latest) {
    while (pending.stream().mapToLong(call -> call.splitter.bufferedBytes()).sum() > JsonObjectSplitter.MAX_OBJECT_BYTES
        && pending.peek() != latest) {
      pending.poll().cancel();
    }
  }

  private void cancelAll() {
    pending.forEach(WatchCall::cancel);
    pending.clear();
    if (active != null) {
      active.cancel();
      active = null;
    }
  }

  /**
   * Opens another call if no list arrives in time. The new call requests the complete list, since a request for changes since the last
   * version may never be answered.
   */
  private void startFirstListTimer() {
    setTimer(FIRST_LIST_TIMEOUT, () -> {
      version = -1;
      openCall();
    });
  }

  /** Opens a new call if the active one stays silent, as when its connection was lost without being closed. */
  private void startSilenceTimer() {
    setTimer(SILENCE_TIMEOUT, () -> {
      LOG.atInfo().addKeyValue("discovery", address).addKeyValue("cause", "silent").log("the watch is silent; reopening it");
      active.cancel();
      active = null;
      openCall();
    });
  }

  private void retryAfterFailure(String reason) {
    listener.onFailure(reason);
    setTimer(RETRY_DELAY, this::openCall);
  }

  /** Sets the watch's only timer, which replaces an earlier one; once the watch is closed, only cancels the earlier one. */
  private void setTimer(Duration delay, Runnable task) {
    if (timer != null) {
      timer.cancel();
    }
    timer = closed ? null : loop.after(delay, task);
  }

  @Override
  public void close() {
    closed = true;
    cancelAll();
    setTimer(RETRY_DELAY, () -> { }); // cancels the timer
  }

  /** One HTTP call of the watch. */
  private final class WatchCall implements HttpClient.Listener {
    private final JsonObjectSplitter splitter = new JsonObjectSplitter();
    private HttpClient.Call call;
    private Duration startedAt;
    private boolean statusOk, finished;

    void start() {
      startedAt = loop.now();
      call = http.call(address, "GET", Protocol.HOSTS_PATH + "?stream=1" + (version < 0 ? "" : "&index=" + version), Map.of(), new byte[0],
          connectTimeout, this);
    }

    void cancel() {
      finished = true;
      call.cancel();
    }

    /** A list may come as one chunk. */
    @Override
    public long maxStatedBytes() {
      return JsonObjectSplitter.MAX_LINE_BYTES;
    }

    @Override
    public void head(int status, Map<String, String> headers) {
      statusOk = status == 200;
    }

    @Override
    public void data(byte[] bytes) {
      if (finished || !statusOk) {
        return;
      }
      try {
        for (byte[] object : splitter.feed(bytes)) {
          if (applyList(object)) {
            makeActive();
          }
        }
        limitBufferedBytes(this);
      } catch (IOException e) {
        // The unreadable data may have contained changes, so the next call requests the complete list.
        version = -1;
        cancel();
        ended("it can't be read: " + e.getMessage());
        return;
      }
      if (active == this) {
        startSilenceTimer();
      } else if (splitter.insideObject() && pending.peekLast() == this) {
        // The wait for a list is extended while one is arriving, but not by heartbeats alone.
        startFirstListTimer();
      }
    }

    private void makeActive() {
      if (active != this) {
        pending.remove(this);
        cancelAll();
        active = this;
      }
    }

    /** Applies an object if it is a list or changes to one; returns whether it is. */
    private boolean applyList(byte[] text) throws IOException {
      ServerList list = parser.parse(PlatformConfig.JSON.readTree(text));
      if (list == null) {
        return false;
      } else if (!list.complete() && list.index() < version) {
        // A lower version shows that discovery has restarted.
        throw new IOException("changes of version " + list.index() + " after version " + version);
      }
      version = list.index();
      listener.onList(list);
      return true;
    }

    @Override
    public void end() {
      failed(HttpClient.Failure.BROKEN, "the watch ended");
    }

    @Override
    public void failed(HttpClient.Failure failure, String reason) {
      if (!finished) {
        finished = true;
        ended(reason);
      }
    }

    private void ended(String reason) {
      pending.remove(this);
      active = active == this ? null : active;
      if (active == null && pending.isEmpty()) {
        retryAfterFailure(reason);
      } else {
        listener.onFailure(reason); // another call is still active or pending
      }
    }
  }
}
