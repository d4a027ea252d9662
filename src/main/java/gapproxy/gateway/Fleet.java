package gapproxy.gateway;

import gapproxy.api.Event;
import gapproxy.api.Settings.Role;
import gapproxy.list.ServerList;
import gapproxy.runtime.Loop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The known servers: applies server lists, and translates their entries, with the names of zones, cells and kinds, to the numbers that the
 * decisions use. Runs on the loop.
 */
final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);

  /**
   * A server, as described by the last list that named it.
   *
   * @param upSince when it started, on the loop's clock, or null if unknown
   */
  record Server(ServerList.Entry entry, int zone, int kind, Role role, Duration upSince) {
    long id() {
      return entry.id();
    }

    InetSocketAddress address() {
      return entry.address();
    }
  }

  private final GatewaySettings settings;
  private final Loop loop;
  // How long a server that left the list is remembered; if it returns within this time, it is recognized.
  private static final Duration GONE_RETENTION = Duration.ofMinutes(1);
  private final Consumer<InetSocketAddress> onAddressUnused;
  private final StartTimeConverter startClock;

  private final Map<Long, Server> servers = new HashMap<>();
  // When servers were first missing from the list.
  private final Map<Long, Duration> goneSince = new HashMap<>();
  // When lists first gave servers another state than READY.
  private final Map<Long, Duration> drainingSince = new HashMap<>();
  private final Map<Long, ServerList.Entry> listed = new TreeMap<>();
  // When the last list arrived from its source, on the loop's clock; null if there was none or it was a stored one.
  private Duration lastListAt;

  /** @param onAddressUnused called with addresses that no server has any longer */
  Fleet(GatewaySettings settings, Loop loop, Consumer<InetSocketAddress> onAddressUnused) {
    this.settings = settings;
    this.loop = loop;
    this.onAddressUnused = onAddressUnused;
    startClock = new StartTimeConverter(loop.now(), loop.wallClock());
  }

  /** Servers that a network partition, or a fault of one role of servers, makes unreachable together. */
  private record FailureDomain(Role role, int zone) {}

  /**
   * The other servers, grouped by failure domain, for a release call that any server accepts because the call needs nothing but the req's
   * id. The order prefers domains that are unlikely to have failed together with the given address: another role first, then this gateway's
   * own zone, and the zone of that address last. The time at which data last arrived does not help here: just after the start of a
   * partition it is recent for all of them.
   */
  List<List<InetSocketAddress>> othersByFailureDomain(InetSocketAddress address) {
    Map<FailureDomain, List<InetSocketAddress>> addressesByDomain = new LinkedHashMap<>();
    FailureDomain domainOfAddress = null;
    for (ServerList.Entry e : listed.values()) {
      Server server = servers.get(e.id());
      FailureDomain domain = new FailureDomain(server.role(), server.zone());
      if (e.address().equals(address)) {
        domainOfAddress = domain;
      } else {
        addressesByDomain.computeIfAbsent(domain, g -> new ArrayList<>()).add(e.address());
      }
    }
    FailureDomain excludedDomain = domainOfAddress;
    int ownZone = settings.settings().zone();
    return addressesByDomain.entrySet().stream().sorted(Comparator.comparingInt(e -> excludedDomain == null ? 0
        : (e.getKey().role() == excludedDomain.role() ? 4 : 0)
            + (e.getKey().zone() == ownZone ? 0 : e.getKey().zone() == excludedDomain.zone() ? 2 : 1)))
        .map(Map.Entry::getValue).toList();
  }

  /** Whether a server is still the same instance and listed as ready for new work. */
  boolean acceptsNewWork(Server server) {
    return isSameInstance(server) && listed.get(server.id()).state() == ServerList.State.READY;
  }

  /** Whether a server is still listed as the same instance: at the same address and with the same start time. */
  boolean isSameInstance(Server server) {
    ServerList.Entry now = listed.get(server.id());
    return now != null && now.address().equals(server.address()) && Objects.equals(now.upSince(), server.entry().upSince());
  }

  /** When lists first said that a server accepts no new work or is gone; null if it is ready. */
  Duration unavailableSince(Server server) {
    Duration since = drainingSince.get(server.id());
    return since != null ? since : goneSince.get(server.id());
  }

  Server get(long id) {
    return servers.get(id);
  }

  /** Whether a ready server is listed that can answer reqs; readers alone can't. */
  boolean anyServerReady() {
    return listed.values().stream().anyMatch(e -> e.state() == ServerList.State.READY && get(e.id()).role() != Role.READ);
  }

  /** The present list, to be stored for the next start. */
  ServerList snapshot() {
    return new ServerList("", 0, true, List.copyOf(listed.values()));
  }

  /**
   * Applies a list and returns the event for the decisions. Servers of an unknown kind or zone are left out with a warning.
   *
   * @param remembered whether the list was stored by an earlier run
   */
  Event.ServerList apply(ServerList list, boolean remembered) {
    List<Event.Line> lines = new ArrayList<>();
    if (list.complete()) {
      listed.clear();
    }
    for (ServerList.Entry e : list.servers()) {
      int kind = settings.kinds().indexOf(e.kind());
      int zone = settings.zones().indexOf(e.zone().isEmpty() ? settings.zones().get(0) : e.zone());
      if (kind < 0 || zone < 0) {
        LOG.atWarn().addKeyValue("server", e.id()).addKeyValue("kind", e.kind()).addKeyValue("zone", e.zone())
            .log("ignoring a listed server of unknown kind or zone");
        Server known = servers.get(e.id());
        listed.remove(e.id());
        // The decisions know the server from an earlier list, whose entry is no longer valid.
        if (known != null) {
          lines.add(line(known, Event.State.GONE));
        }
        continue;
      }
      Server before = servers.get(e.id());
      Server server = new Server(e, zone, kind, role(kind), upSince(e, before));
      servers.put(e.id(), server);
      if (before != null && !before.address().equals(e.address())) {
        onAddressUnused.accept(before.address());
      }
      if (e.state() == ServerList.State.READY) {
        drainingSince.remove(e.id());
      } else {
        drainingSince.putIfAbsent(e.id(), loop.now());
      }
      if (e.state() == ServerList.State.GONE) {
        listed.remove(e.id());
      } else {
        listed.put(e.id(), e);
      }
      lines.add(line(server, Event.State.valueOf(e.state().name())));
    }
    expireGone();
    lastListAt = remembered ? null : loop.now();
    return new Event.ServerList(remembered ? Event.ListForm.REMEMBERED
        : list.complete() ? Event.ListForm.COMPLETE : Event.ListForm.CHANGES, lines);
  }

  /**
   * Forgets servers that have been out of the list for {@link #GONE_RETENTION}. A complete list does not name the servers that it lacks,
   * so without this they would accumulate where servers always come back under new ids.
   */
  private void expireGone() {
    Duration now = loop.now();
    goneSince.keySet().removeAll(listed.keySet());
    servers.values().stream().filter(server -> !listed.containsKey(server.id()) && !goneSince.containsKey(server.id())).forEach(server -> {
      goneSince.put(server.id(), now);
      onAddressUnused.accept(server.address());
    });
    goneSince.entrySet().removeIf(e -> now.minus(e.getValue()).compareTo(GONE_RETENTION) > 0 && servers.remove(e.getKey()) != null);
    drainingSince.keySet().retainAll(servers.keySet());
  }

  /** Number of known servers, including those that recently left the list. */
  int knownServers() {
    return servers.size();
  }

  /** The entry of a server as the decisions get it, with the given state. */
  static Event.Line line(Server server, Event.State state) {
    return new Event.Line(server.id(), server.zone(), server.kind(), cellNumber(server.entry()), state, server.entry().size(),
        server.upSince());
  }

  /**
   * The start time of a server on the loop's clock. It is converted once for each start: the wall clock may be set in between, and a start
   * time that changes would look like a restart. A start time that the previous list did not have is taken to be no earlier than that
   * list, so that a gateway whose wall clock is ahead does not take a new server for a warm one. A server at a new address counts as
   * started now, whatever the list says: everything sent so far went to the previous instance.
   */
  private Duration upSince(ServerList.Entry e, Server before) {
    if (before != null && !before.address().equals(e.address())) {
      return loop.now();
    } else if (before != null && Objects.equals(e.upSince(), before.entry().upSince())) {
      return before.upSince();
    } else if (e.upSince() == null) {
      return null;
    }
    Duration startTime = startClock.startTime(e.upSince(), loop.now(), loop.wallClock(), lastListAt);
    return !settings.sharedClock() && lastListAt != null && startTime.compareTo(lastListAt) < 0 ? lastListAt : startTime;
  }

  private Role role(int kind) {
    return settings.settings().kinds().get(kind).role();
  }

  /** The number of a cell. It is a hash of zone and name so that all gateways agree on it, as they pick the home of a session by it. */
  private static int cellNumber(ServerList.Entry e) {
    CRC32 crc = new CRC32();
    crc.update((e.zone() + "/" + e.cell()).getBytes(StandardCharsets.UTF_8));
    return (int) (crc.getValue() >>> 1);
  }
}
