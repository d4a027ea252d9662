package gapproxy.list;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A complete list of servers, or changes to one.
 *
 * @param epoch the history that the index belongs to; the index restarts with each new epoch
 * @param index version of the list, which grows with every change
 * @param complete whether the list holds all servers; otherwise it holds only those that changed
 */
public record ServerList(String epoch, long index, boolean complete, List<Entry> servers) {

  /** Whether a server takes new reqs, takes none but finishes those it has, or has left the fleet. */
  public enum State { READY, DRAINING, GONE }

  /**
   * One server.
   *
   * @param id below 2^32, constant for the lifetime of the machine
   * @param size capacity relative to other servers of its kind
   * @param upSince start of its process, or null if unknown, which counts as long ago
   */
  public record Entry(long id, InetSocketAddress address, String zone, String cell, String kind, State state, double size,
      Instant upSince) {}

  /** Thrown for an invalid list; the message names the JSON pointer of the invalid value. */
  public static final class InvalidListException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidListException(String message) {
      super(message);
    }
  }

  private static final ObjectMapper JSON = JsonMapper.builder().build();

  /**
   * Parses a list from JSON.
   *
   * @throws InvalidListException if any part of the list is invalid; the whole list is to be discarded then
   */
  public static ServerList parse(byte[] bytes) throws InvalidListException {
    JsonNode json;
    try {
      json = JSON.readTree(bytes);
    } catch (JsonProcessingException entry) {
      throw new InvalidListException("not valid JSON: " + entry.getOriginalMessage().lines().findFirst().orElse(""));
    } catch (IOException entry) {
      throw new InvalidListException("not valid UTF-8 JSON");
    }
    JsonNode servers = json == null ? null : json.get("servers");
    if (servers == null || !servers.isArray()) {
      throw new InvalidListException("/servers: must be an array");
    }
    List<Entry> entries = new ArrayList<>();
    Set<Long> ids = new HashSet<>();
    for (int i = 0; i < servers.size(); i++) {
      Entry entry = parseEntry(servers.get(i), "/servers/" + i);
      if (!ids.add(entry.id())) {
        throw new InvalidListException("/servers/" + i + "/id: server " + entry.id() + " is listed twice");
      }
      entries.add(entry);
    }
    String form = json.path("form").asText("complete");
    if (!form.equals("complete") && !form.equals("changes")) {
      throw new InvalidListException("/form: must be complete or changes");
    }
    return new ServerList(json.path("epoch").asText(""), json.path("index").asLong(0), form.equals("complete"),
        List.copyOf(entries));
  }

  private static Entry parseEntry(JsonNode json, String pointer) throws InvalidListException {
    long id = json.path("id").asLong(-1);
    if (!json.path("id").isIntegralNumber() || id < 0 || id > 0xffffffffL) {
      throw new InvalidListException(pointer + "/id: must be an integer from 0 to 4294967295");
    }
    String address = json.path("address").asText("");
    int colon = address.lastIndexOf(':');
    int port = colon < 1 ? -1 : parsePort(address.substring(colon + 1));
    if (port < 0) {
      throw new InvalidListException(pointer + "/address: must be HOST:PORT");
    }
    State state = switch (json.path("state").asText("ready")) {
      case "ready" -> State.READY;
      case "draining" -> State.DRAINING;
      case "gone" -> State.GONE;
      default -> throw new InvalidListException(pointer + "/state: must be ready, draining or gone");
    };
    double size = json.path("size").asDouble(1);
    if (!(size > 0) || size > 1e6) {
      throw new InvalidListException(pointer + "/size: must be a number greater than 0, at most 1000000");
    }
    if (!json.path("kind").isTextual()) {
      throw new InvalidListException(pointer + "/kind: must be the name of a kind");
    }
    long upSinceMs = json.path("up_since_ms").asLong(0);
    return new Entry(id, new InetSocketAddress(address.substring(0, colon), port), json.path("zone").asText(""),
        json.path("cell").asText(""), json.path("kind").asText(), state, size, upSinceMs <= 0 ? null : Instant.ofEpochMilli(upSinceMs));
  }

  private static int parsePort(String text) {
    try {
      int port = Integer.parseInt(text);
      return port > 0 && port < 65536 ? port : -1;
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /** Returns the list as JSON that {@link #parse} reads. */
  public byte[] toJson() {
    ObjectNode json = JSON.createObjectNode().put("epoch", epoch).put("index", index)
        .put("form", complete ? "complete" : "changes");
    ArrayNode out = json.putArray("servers");
    for (Entry e : servers) {
      ObjectNode entryJson = out.addObject().put("id", e.id)
          .put("address", e.address.getHostString() + ":" + e.address.getPort()).put("zone", e.zone).put("cell", e.cell)
          .put("kind", e.kind).put("state", e.state.name().toLowerCase(java.util.Locale.ROOT)).put("size", e.size);
      if (e.upSince != null) {
        entryJson.put("up_since_ms", e.upSince.toEpochMilli());
      }
    }
    return json.toString().getBytes(StandardCharsets.UTF_8);
  }
}
