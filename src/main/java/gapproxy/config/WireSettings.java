package gapproxy.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gapproxy.api.Settings;
import gapproxy.api.Settings.SlowStartLimit;
import gapproxy.api.Settings.Customer;
import gapproxy.api.Settings.EndpointGroup;
import gapproxy.api.Settings.Limits;
import gapproxy.api.Settings.Repeat;
import gapproxy.api.Settings.Reports;
import gapproxy.api.Settings.Role;
import gapproxy.api.Settings.Scope;
import gapproxy.api.Settings.ServerKind;
import gapproxy.api.Settings.Source;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Settings in the platform's JSON format, which the bench and deployed gateways both use. Unknown keys are ignored.
 *
 * @param settings what the routing decisions read
 * @param groups names of the endpoint groups, in the order of {@code settings}; likewise {@code customers}, {@code zones} and {@code kinds}
 * @param loadColumns names of the figures in a load report
 * @param releaseWithin how long a resource may stay held while no forward of its req is open
 * @param connectTimeout limit on the time to establish a connection
 * @param connectionIdleTimeout how long a server keeps an idle connection open
 * @param maxBudget the longest time budget of any endpoint group's clients
 * @param clientsResume whether clients request the rest of a stream that breaks
 */
public record WireSettings(Settings settings, List<String> groups, List<String> customers, List<String> zones,
    List<String> kinds, List<String> loadColumns, Duration releaseWithin, Duration connectTimeout, Duration connectionIdleTimeout,
    Duration maxBudget, boolean clientsResume) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Thrown for invalid settings; the message names the key. */
  public static final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidSettingsException(String message) {
      super(message);
    }
  }

  /** Parses settings from JSON text. */
  public static WireSettings parse(byte[] text) throws InvalidSettingsException {
    try {
      return of(JSON.readTree(new String(text, java.nio.charset.StandardCharsets.UTF_8)));
    } catch (JsonProcessingException e) {
      throw new InvalidSettingsException("settings are not valid JSON: " + e.getOriginalMessage());
    }
  }

  /** Parses settings from a JSON tree. */
  public static WireSettings of(JsonNode json) throws InvalidSettingsException {
    JsonNode family = require(json, "familyInfo", "");
    JsonNode rules = require(json, "guarantees", "");
    JsonNode limits = require(json, "policyLimits", "");
    JsonNode stats = json.path("stats");
    List<String> loadColumns = new ArrayList<>();
    stats.path("columns").forEach(c -> loadColumns.add(c.asText()));
    List<EndpointGroup> groups = new ArrayList<>();
    JsonNode targetsPer1000Tokens = family.path("aimUsPer1000PromptTokens");
    for (JsonNode groupJson : require(json, "classes", "")) {
      String path = "classes[" + groups.size() + "].";
      requirePositive(groupJson, "sloUs", path);
      requirePositive(groupJson, "giveUpUs", path);
      requirePositive(groupJson, "worth", path);
      groups.add(new EndpointGroup(
          repeat(require(groupJson, "repeat", "classes[].").asText()),
          scope(groupJson.path("group").asText("all")),
          durationAt(groupJson, "windowUs"),
          groupJson.path("worth").asDouble(),
          ofMicros(require(groupJson, "sloUs", "classes[].")),
          ofMicros(targetsPer1000Tokens.path(groups.size()))));
    }
    if (groups.isEmpty()) {
      throw new InvalidSettingsException("settings hold no class in classes");
    }
    List<Customer> customers = new ArrayList<>();
    for (JsonNode customer : json.path("projects")) {
      requirePositive(customer, "quotaRps", "projects[" + customers.size() + "].");
      customers.add(new Customer(customer.path("quotaRps").asDouble()));
    }
    List<ServerKind> kinds = new ArrayList<>();
    JsonNode memoryTokens = family.path("memoryTokens");
    for (JsonNode role : require(family, "roleByKind", "familyInfo.")) {
      kinds.add(new ServerKind(role(role.asText()), memoryTokens.path(kinds.size()).asDouble()));
    }
    Settings settings = new Settings(
        Math.max(1, require(json, "balancers", "").asInt()),
        json.path("locality").asInt(),
        durationAt(json, "tickUs"),
        List.copyOf(groups),
        List.copyOf(customers),
        json.path("overShareWorth").asDouble(1),
        List.copyOf(kinds),
        family.path("localRead").asBoolean(false),
        family.path("ahead").asBoolean(false),
        new SlowStartLimit(
            require(rules, "startCapacity", "guarantees.").asDouble(),
            ofMicros(require(rules, "warmUpUs", "guarantees.")),
            require(rules, "tipMultiple", "guarantees.").asDouble(),
            ofMicros(require(rules, "fallUs", "guarantees."))),
        json.path("registryMode").asText().equals("on_request"),
        durationAt(rules, "mustAskInUs"),
        new Reports(
            source(stats.path("source").asText("silent")),
            loadColumns.indexOf("outstanding"),
            loadColumns.indexOf("backlog"),
            loadColumns.indexOf("utilization"),
            family.path("reportX0").asText().contains("memory") ? loadColumns.indexOf("x0") : -1,
            family.path("reportX1").asText().contains("tokens") ? loadColumns.indexOf("x1") : -1),
        new Limits(
            require(limits, "maxAttempts", "policyLimits.").asInt(),
            limits.path("mayCancel").asBoolean(false),
            limits.path("mayDuplicate").asBoolean(false),
            limits.path("mayProbe").asBoolean(false),
            limits.path("retryAfter").asBoolean(false),
            durationAt(limits, "maxRetryAfterUs")));
    Duration maxBudget = Duration.ZERO;
    for (JsonNode groupJson : json.path("classes")) {
      Duration budget = durationAt(groupJson, "giveUpUs");
      maxBudget = budget.compareTo(maxBudget) > 0 ? budget : maxBudget;
    }
    return new WireSettings(settings, names(json.path("classes")), names(json.path("projects")), names(json.path("localities")),
        names(json.path("kinds")), List.copyOf(loadColumns), durationAt(family, "releaseWithinUs"),
        durationAt(limits, "connectTimeoutUs"), durationAt(limits, "connIdleUs"), maxBudget,
        family.path("resume").asBoolean(false));
  }

  /** Returns the names of a list's elements, each of which is a string or an object with a name. */
  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    list.forEach(element -> names.add(element.isTextual() ? element.asText() : element.path("name").asText()));
    return List.copyOf(names);
  }

  private static JsonNode require(JsonNode json, String key, String path) throws InvalidSettingsException {
    JsonNode value = json.get(key);
    if (value == null || value.isNull()) {
      throw new InvalidSettingsException("settings lack " + path + key);
    }
    return value;
  }

  private static void requirePositive(JsonNode json, String key, String path) throws InvalidSettingsException {
    JsonNode value = require(json, key, path);
    if (!value.isNumber() || !(value.asDouble() > 0)) {
      throw new InvalidSettingsException("settings hold no number over 0 in " + path + key);
    }
  }

  private static Duration ofMicros(JsonNode micros) {
    return Duration.ofNanos(Math.round(micros.asDouble() * 1000));
  }

  private static Duration durationAt(JsonNode json, String key) {
    return ofMicros(json.path(key));
  }

  private static Repeat repeat(String word) throws InvalidSettingsException {
    return switch (word) {
      case "read_like" -> Repeat.REPLAYABLE;
      case "idempotency_key" -> Repeat.KEYED;
      case "non_idempotent" -> Repeat.NON_REPLAYABLE;
      default -> throw new InvalidSettingsException("settings have an unknown value in classes[].repeat: " + word);
    };
  }

  private static Scope scope(String word) {
    return switch (word) {
      case "zone" -> Scope.ZONE;
      case "cell" -> Scope.CELL;
      default -> Scope.ALL;
    };
  }

  private static Role role(String word) throws InvalidSettingsException {
    return switch (word) {
      case "read" -> Role.READ;
      case "write" -> Role.WRITE;
      case "both" -> Role.BOTH;
      default -> throw new InvalidSettingsException("settings have an unknown value in familyInfo.roleByKind: " + word);
    };
  }

  private static Source source(String word) {
    return switch (word) {
      case "piggyback" -> Source.WITH_ANSWERS;
      case "pull" -> Source.BY_PROBE;
      default -> Source.NONE;
    };
  }
}
