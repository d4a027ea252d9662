package gapproxy.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gapproxy.config.WireSettings;
import java.io.IOException;
import java.net.InetSocketAddress;

/**
 * The gateway's configuration, from the file that {@code LB_CONFIG} names.
 *
 * @param discovery address of the discovery service
 * @param seed of the random choices in routing decisions
 * @param maxSockets file descriptors that the process may use
 * @param memoryBytes limit on the resident memory of the process, or {@code Long.MAX_VALUE} if the file sets none
 * @param knownServers a server list in discovery's format, used if discovery doesn't answer at the start; a missing node if there is none
 */
record PlatformConfig(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int maxSockets, long memoryBytes,
    JsonNode knownServers, WireSettings wireSettings) {
  /**
   * Maximum number of JSON tokens in one text, three times that of a list of 3,200 servers. It bounds memory, since small values take
   * many times their encoded size once parsed.
   */
  private static final long MAX_JSON_TOKENS = 200_000;
  static final ObjectMapper JSON = new ObjectMapper(JsonFactory.builder()
      .streamReadConstraints(StreamReadConstraints.builder().maxTokenCount(MAX_JSON_TOKENS).build()).build());

  /**
   * Parses the JSON text of a configuration file.
   *
   * @throws PlatformNode.InvalidConfigException if the configuration is invalid; the message names the key
   */
  static PlatformConfig parse(byte[] text) throws PlatformNode.InvalidConfigException {
    JsonNode json;
    try {
      json = JSON.readTree(text);
    } catch (JsonProcessingException e) {
      throw new PlatformNode.InvalidConfigException("the configuration is not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new PlatformNode.InvalidConfigException("the configuration can't be read: " + e.getMessage());
    }
    if (json == null || !json.isObject()) {
      throw new PlatformNode.InvalidConfigException("the configuration must be a JSON object");
    }
    String seed = json.path("seed").asText("");
    if (!seed.matches("[0-9a-fA-F]{1,16}")) {
      throw new PlatformNode.InvalidConfigException("/seed: must be a number of 1 to 16 hexadecimal digits");
    }
    int sockets = json.path("limits").path("sockets").asInt(0);
    if (sockets <= 0) {
      throw new PlatformNode.InvalidConfigException("/limits/sockets: must be a number greater than 0");
    }
    JsonNode memoryMb = json.path("limits").path("memory_mb");
    if (!memoryMb.isMissingNode() && !(memoryMb.asInt(0) > 0)) {
      throw new PlatformNode.InvalidConfigException("/limits/memory_mb: must be a number greater than 0");
    }
    try {
      return new PlatformConfig(json.path("name").asText("gateway"),
          requireAddress(HostListParser.parseBindAddress(json.path("listen").asText("")), "listen"),
          requireAddress(HostListParser.parseAddress(json.path("discovery").asText("")), "discovery"),
          Long.parseUnsignedLong(seed, 16), sockets,
          memoryMb.isMissingNode() ? Long.MAX_VALUE : memoryMb.asLong() << 20, json.path("known"), WireSettings.of(json.path("settings")));
    } catch (WireSettings.InvalidSettingsException e) {
      throw new PlatformNode.InvalidConfigException("/settings: " + e.getMessage());
    }
  }

  private static InetSocketAddress requireAddress(InetSocketAddress address, String key) throws PlatformNode.InvalidConfigException {
    if (address == null) {
      throw new PlatformNode.InvalidConfigException("/" + key + ": must be HOST:PORT");
    }
    return address;
  }
}
