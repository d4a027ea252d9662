package gapproxy.standin;

import gapproxy.audit.Traffic;
import gapproxy.http.ServerLimits;
import gapproxy.http.Exchange;
import gapproxy.http.HttpServer;
import gapproxy.list.ServerList;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** An emulated list service that is queried by long poll, with an adjustable delay of changes and other faults. Belongs to one loop. */
public final class ListService implements HttpServer.Handler {
  private final Loop loop;
  private final Traffic traffic;
  private final String epoch;
  private final TreeMap<Long, ServerList.Entry> servers = new TreeMap<>();
  private final ArrayDeque<ServerList.Entry> pendingChanges = new ArrayDeque<>();
  private final List<Runnable> waitingPolls = new ArrayList<>();
  /** When the latest change becomes visible; the only key is 0. */
  private final Map<Long, Duration> lastDue = new HashMap<>();
  private HttpServer server;
  private long index = 1;
  /** Index of the list that was last sent to each gateway, by gateway name. */
  private final Map<String, Long> lastIndexByGateway = new HashMap<>();
  /** Delay after which a change of the list becomes visible to gateways. */
  public Duration delay = Duration.ZERO;
  /** Answers every query with status 503. */
  public boolean failing;
  /** Accepts queries but never answers them, as if the answers were lost in the network. */
  public boolean dropsAnswers;
  /** Serves the list as it was before the last change. */
  public boolean servesPrevious;
  private ServerList previous;

  public ListService(Loop loop, Traffic traffic, String epoch) {
    this.loop = loop;
    this.traffic = traffic;
    this.epoch = epoch;
  }

  public void start(Net net, InetSocketAddress at) throws IOException {
    server = HttpServer.open(loop, net, at, ServerLimits.DEFAULT, this);
  }

  public InetSocketAddress address() {
    return server.address();
  }

  public void close() {
    server.closeNow();
  }

  /** Returns whether the last list that was sent to a gateway is the current one. */
  public boolean isUpToDate(String gateway) {
    return lastIndexByGateway.getOrDefault(gateway, -1L) == index;
  }

  /** Changes a server's entry; changes become visible after {@link #delay}, in the order in which they were made. */
  public void setEntry(ServerList.Entry entry) {
    Duration due = loop.now().plus(delay);
    Duration last = lastDue.getOrDefault(0L, Duration.ZERO);
    Duration visibleAt = due.compareTo(last) > 0 ? due : last;
    lastDue.put(0L, visibleAt);
    pendingChanges.add(entry);
    loop.after(visibleAt.minus(loop.now()), () -> {
      ServerList.Entry next = pendingChanges.poll();                  // keeps the order of changes due at the same time
      previous = currentList();
      servers.put(next.id(), next);
      index++;
      List<Runnable> now = List.copyOf(waitingPolls);
      waitingPolls.clear();
      now.forEach(Runnable::run);
    });
  }

  @Override
  public void handle(Exchange exchange, Object decoded) {
    long held = number(exchange.request().queryParameter("index"));
    if (failing) {
      exchange.respond(503, Map.of(), new byte[0]);
    } else if (held < index || !epoch.equals(exchange.request().queryParameter("epoch"))) {
      respond(exchange);
    } else {
      boolean[] done = new boolean[1];
      Runnable once = () -> {
        if (!done[0]) {
          done[0] = true;
          respond(exchange);
        }
      };
      waitingPolls.add(once);
      loop.after(Duration.ofMillis(number(exchange.request().queryParameter("wait_ms"))), once);
    }
  }

  private static long number(String text) {
    return text == null || !text.matches("\\d{1,12}") ? 0 : Long.parseLong(text);
  }

  private ServerList currentList() {
    return new ServerList(epoch, index, true, servers.values().stream().filter(e -> e.state() != ServerList.State.GONE).toList());
  }

  private void respond(Exchange exchange) {
    if (!exchange.isOpen()) {
      return;
    }
    if (dropsAnswers) {
      return;
    }
    String gateway = String.valueOf(exchange.request().header("x-gapproxy-gateway"));
    if (servesPrevious && previous != null) {
      if (previous.index() >= lastIndexByGateway.getOrDefault(gateway, 0L)) {
        lastIndexByGateway.put(gateway, previous.index());
        previous.servers().forEach(e -> traffic.told(loop.now(), gateway, e.id(), e.state() == ServerList.State.READY, e.upSince()));
      }
      exchange.respond(200, Map.of("content-type", "application/json"), previous.toJson());
      return;
    }
    lastIndexByGateway.put(gateway, index);
    servers.values().forEach(e ->
        traffic.told(loop.now(), gateway, e.id(), e.state() == ServerList.State.READY, e.upSince()));
    exchange.respond(200, Map.of("content-type", "application/json"), currentList().toJson());
  }
}
