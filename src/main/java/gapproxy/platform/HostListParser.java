package gapproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import gapproxy.list.ServerList;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.zip.CRC32;

/**
 * Parses lists of model servers in discovery's format, and keeps the numeric id that was assigned to each host name. Belongs to one loop.
 */
final class HostListParser {
  private static final Pattern IP_LITERAL = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]");

  private final Map<String, Long> idsByName = new HashMap<>();
  private final Map<Long, String> namesById = new HashMap<>();

  /**
   * Parses a complete list or changes to one; returns null if the JSON object is neither. Invalid entries are skipped, since the others
   * are still usable.
   */
  ServerList parse(JsonNode json) {
    JsonNode hosts = json == null ? null : json.get("hosts");
    if (hosts == null || !hosts.isArray()) {
      return null;
    }
    List<ServerList.Entry> entries = new ArrayList<>();
    boolean complete = json.path("whole").asBoolean(false);
    Set<String> listedNames = new HashSet<>();
    for (JsonNode host : hosts) {
      InetSocketAddress dial = parseAddress(host.path("dial").asText(""));
      ServerList.State state = switch (host.path("health").asText("")) {
        case "up" -> ServerList.State.READY;
        case "draining" -> ServerList.State.DRAINING;
        case "removed" -> ServerList.State.GONE;
        default -> null;
      };
      String name = host.path("host").asText("");
      if (name.isEmpty() || state == null || dial == null && state != ServerList.State.GONE) {
        continue;
      }
      listedNames.add(name);
      long startedAtMs = host.path("born_ms").asLong(0);
      double share = host.path("share").asDouble(1);
      // Only a removed server may lack an address; it gets a placeholder.
      entries.add(new ServerList.Entry(idOf(name), dial == null ? new InetSocketAddress("127.0.0.1", 9) : dial,
          host.path("site").asText(""), host.path("block").asText(""), host.path("class").asText(""), state, share > 0 ? share : 1,
          startedAtMs <= 0 ? null : Instant.ofEpochMilli(startedAtMs)));
    }
    // Host names are never reused, so the ids of names that left the list are dropped.
    if (complete) {
      idsByName.keySet().retainAll(listedNames);
      namesById.values().retainAll(listedNames);
    }
    return new ServerList("", json.path("seq").asLong(0), complete, List.copyOf(entries));
  }

  /**
   * Derives a server's id from a hash of its name, so that all gateways agree in their hash-based choices. On a collision the next free
   * id is taken.
   */
  private long idOf(String name) {
    Long known = idsByName.get(name);
    if (known != null) {
      return known;
    }
    CRC32 crc = new CRC32();
    crc.update(name.getBytes(StandardCharsets.UTF_8));
    long id = crc.getValue();
    while (namesById.putIfAbsent(id, name) != null) {
      id = id + 1 & 0xffffffffL;
    }
    idsByName.put(name, id);
    return id;
  }

  /** Parses HOST:PORT; null if malformed. The host must be an IP address: there is no DNS on the platform. */
  static InetSocketAddress parseAddress(String text) {
    InetSocketAddress address = parseBindAddress(text);
    return address == null || address.getPort() == 0 ? null : address;
  }

  /** Like {@link #parseAddress}, but also allows port 0, which binds any free port. */
  static InetSocketAddress parseBindAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 1 || !IP_LITERAL.matcher(text.substring(0, colon)).matches()) {
      return null; // a host name would be resolved, which blocks the loop
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return port < 0 || port > 65535 ? null : new InetSocketAddress(text.substring(0, colon), port);
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
