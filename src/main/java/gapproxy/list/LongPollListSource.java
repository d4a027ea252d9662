package gapproxy.list;

import gapproxy.http.HttpClient;
import gapproxy.runtime.Loop;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.Map;

/**
 * Fetches the server list by long polling: each request names the index of the list that the gateway holds, and is answered as soon as
 * there is a later one or after the maximum wait that the request allows, as in Consul's blocking queries. A poll fails if it is not
 * answered within twice that wait plus the connect timeout. After a failure, polling continues only when {@link #subscribe} is called
 * again. Belongs to one loop.
 */
public final class LongPollListSource implements ListSource {
  private static final Duration UNCHANGED_DELAY = Duration.ofMillis(50);
  private static final int MAX_LIST_BYTES = 8 << 20;
  private final InetSocketAddress address;
  private final String path;
  private final Duration maxWait;
  private final Duration connectTimeout;
  private final String gateway;
  private final HttpClient http;
  private final Loop loop;
  private final Listener listener;
  private String epoch = "";
  private long index;
  // Set at the start and after a failure, since changes may have been missed.
  private boolean fullListNeeded = true;
  private HttpClient.Call call;
  private Loop.Timer timeout;
  private boolean closed;

  /** @param gateway name of this gateway, sent with each request */
  public LongPollListSource(URI url, Duration maxWait, Duration connectTimeout, String gateway, HttpClient http, Loop loop,
      Listener listener) {
    address = new InetSocketAddress(url.getHost(), url.getPort());
    path = url.getRawPath();
    this.maxWait = maxWait;
    this.connectTimeout = connectTimeout;
    this.gateway = gateway;
    this.http = http;
    this.loop = loop;
    this.listener = listener;
  }

  @Override
  public void subscribe() {
    if (call == null && !closed) {
      poll();
    }
  }

  private void poll() {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    String query = "?index=" + (fullListNeeded ? 0 : index) + "&epoch=" + (fullListNeeded ? "" : epoch)
        + "&wait_ms=" + maxWait.toMillis();
    timeout = loop.after(maxWait.multipliedBy(2).plus(connectTimeout), () -> fail("no answer within twice the wait"));
    call = http.call(address, "GET", path + query, Map.of("x-gapproxy-gateway", gateway), new byte[0], connectTimeout,
        new HttpClient.Listener() {
          private int status;

          @Override
          public void head(int s, Map<String, String> headers) {
            status = s;
          }

          @Override
          public long maxBodyBytes() {
            return MAX_LIST_BYTES;
          }

          @Override
          public void data(byte[] bytes) {
            body.writeBytes(bytes);
          }

          @Override
          public void end() {
            timeout.cancel();
            call = null;
            if (status != 200) {
              fail("answered with status " + status);
            } else {
              applyResponse(body.toByteArray());
            }
          }

          @Override
          public void failed(HttpClient.Failure how, String why) {
            timeout.cancel();
            call = null;
            fail(why);
          }
        });
  }

  private void applyResponse(byte[] bytes) {
    if (closed) {
      return;
    }
    ServerList list;
    try {
      list = ServerList.parse(bytes);
    } catch (ServerList.InvalidListException e) {
      fail(e.getMessage());
      return;
    }
    boolean sameHistory = list.epoch().equals(epoch);
    if (sameHistory && list.index() < index || !list.complete() && (!sameHistory || fullListNeeded)) {
      fail("index " + list.index() + " after " + index + ", or changes to a list that is not held");
      return;
    }
    boolean changed = !sameHistory || list.index() > index;
    fullListNeeded = false;
    epoch = list.epoch();
    index = list.index();
    if (changed) {
      listener.onList(list);
    }
    if (changed) {
      pollAgain();
    } else {
      // Avoids a busy loop against a service that answers without waiting for a change.
      loop.after(UNCHANGED_DELAY, this::pollAgain);
    }
  }

  private void pollAgain() {
    if (!closed && call == null) {
      poll();
    }
  }

  /**
   * Reports a failure and requests the complete list in the next poll. The epoch and index are kept, so that a list older than the one
   * held is still rejected.
   */
  private void fail(String reason) {
    if (call != null) {
      call.cancel();
      call = null;
    }
    fullListNeeded = true;
    if (!closed) {
      listener.onFailure(reason);
    }
  }

  @Override
  public void close() {
    closed = true;
    if (call != null) {
      call.cancel();
      timeout.cancel();
    }
  }
}
