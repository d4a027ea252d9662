package gapproxy.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.ApplyDefaultsStrategy;
import com.networknt.schema.InputFormat;
import com.networknt.schema.JsonNodePath;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import com.networknt.schema.serialization.JsonNodeReader;
import com.networknt.schema.serialization.node.JsonLocationAware;
import com.networknt.schema.utils.JsonNodes;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Reads and validates settings files. All errors are reported together, before anything starts. */
public final class ConfigReader {
  private static final ObjectMapper JSON = new ObjectMapper();

  private ConfigReader() {}

  /** Returns the published JSON schema of settings files. */
  public static String schema() {
    return resource("config.schema.json");
  }

  private static String resource(String name) {
    try (InputStream in = ConfigReader.class.getResourceAsStream(name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads a settings file.
   *
   * @throws ConfigException if the file can't be read or is invalid
   */
  public static Config read(Path file) throws ConfigException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new ConfigException(List.of(file + ": can't be read: " + e.getMessage()));
    }
    return parse(text, file.toString());
  }

  /**
   * Parses settings.
   *
   * @param name name of the text in error messages
   */
  public static Config parse(String text, String name) throws ConfigException {
    JsonNode json = validate(text, name, schema());
    Config config;
    try {
      config = JSON.treeToValue(json, Config.class);
    } catch (JsonProcessingException e) {
      throw new ConfigException(List.of(name + ": " + e.getOriginalMessage()));
    }
    List<String> errors = new ArrayList<>();
    checkSemantics(config, (pointer, what) -> errors.add(locationPrefix(name, locationOf(json, pointer)) + pointer + ": " + what));
    if (!errors.isEmpty()) {
      throw new ConfigException(errors);
    }
    return config;
  }

  /**
   * Validates a text against a schema and fills in the schema's defaults.
   *
   * @param name name of the text in error messages
   * @throws ConfigException if the text is not valid JSON or violates the schema; holds one line for each violation
   */
  public static JsonNode validate(String text, String name, String schemaText) throws ConfigException {
    JsonNode json;
    try {
      json = JsonNodeReader.builder().locationAware().build().readTree(text, InputFormat.JSON);
    } catch (IOException | IllegalArgumentException wrapped) { // the validator wraps its reader's exceptions
      Throwable e = wrapped.getCause() instanceof IOException cause ? cause : wrapped;
      JsonLocation location = e instanceof JsonProcessingException j ? j.getLocation() : null;
      String message = e instanceof JsonProcessingException j ? j.getOriginalMessage() : e.getMessage();
      throw new ConfigException(List.of(locationPrefix(name, location) + "not valid JSON: "
          + String.valueOf(message).lines().findFirst().orElse("")));
    }
    if (json == null || json.isMissingNode()) {
      throw new ConfigException(List.of(name + ": the file is empty"));
    }
    JsonSchema schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(schemaText,
        SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).locale(java.util.Locale.ENGLISH)
            .applyDefaultsStrategy(new ApplyDefaultsStrategy(true, false, true)).build());
    Set<ValidationMessage> violations = schema.walk(json, true).getValidationMessages();
    if (!violations.isEmpty()) {
      JsonNode in = json;
      throw new ConfigException(violations.stream().map(m -> {
        JsonNodePath path = m.getInstanceLocation();
        String pointer = path.toString();
        String message = m.getMessage();
        String prefix = pointer + ": ";
        return locationPrefix(name, locationOf(in, pointer)) + (message.startsWith(prefix) ? "" : prefix) + message;
      }).distinct().sorted().toList());
    }
    return json;
  }

  /** Returns the location of a node or of its nearest ancestor that has one, or null. */
  private static JsonLocation locationOf(JsonNode json, String pointer) {
    JsonNode node = json.at(pointer);
    while (!(node instanceof JsonLocationAware) && pointer.contains("/")) {
      pointer = pointer.substring(0, pointer.lastIndexOf('/'));
      node = json.at(pointer);
    }
    // Values filled in from the schema's defaults have no location.
    return node instanceof JsonLocationAware ? JsonNodes.tokenLocationOf(node) : null;
  }

  private static String locationPrefix(String name, JsonLocation location) {
    return location == null || location.getLineNr() < 1 ? name + ": "
        : name + ":" + location.getLineNr() + ":" + location.getColumnNr() + ": ";
  }

  /** Collects errors with their JSON pointers. */
  private interface ErrorCollector {
    void add(String pointer, String what);
  }

  /** Checks what a schema can't express: references to names, unique names, and rules over several values. */
  private static void checkSemantics(Config config, ErrorCollector errors) {
    if (config.zone() != null && !config.zones().contains(config.zone())) {
      errors.add("/zone", "\"" + config.zone() + "\" is not one of zones: " + String.join(", ", config.zones()));
    }
    Map<String, String> seen = new HashMap<>();
    for (int i = 0; i < config.groups().size(); i++) {
      Config.Group group = config.groups().get(i);
      checkUnique(seen, "group " + group.name(), "/groups/" + i + "/name", errors);
      for (int j = 0; j < group.models().size(); j++) {
        checkUnique(seen, "model " + group.models().get(j), "/groups/" + i + "/models/" + j, errors);
      }
      if (group.repeat().equals("keyed") && group.windowMs() <= 0) {
        errors.add("/groups/" + i + "/window_ms", "a keyed group needs a window greater than 0");
      }
      if (group.deadlineMs() <= group.responseTargetMs() / 2) {
        errors.add("/groups/" + i + "/deadline_ms", "the deadline must be more than half the response target");
      }
    }
    long anonymous = config.customers().stream().filter(Config.CustomerConfig::anonymous).count();
    if (anonymous > 1) {
      errors.add("/customers", "at most one customer may be anonymous");
    }
    for (int i = 0; i < config.customers().size(); i++) {
      Config.CustomerConfig customer = config.customers().get(i);
      checkUnique(seen, "customer " + customer.name(), "/customers/" + i + "/name", errors);
      for (int j = 0; j < customer.keys().size(); j++) {
        checkUnique(seen, "key " + customer.keys().get(j), "/customers/" + i + "/keys/" + j, errors);
      }
    }
    for (int i = 0; i < config.kinds().size(); i++) {
      checkUnique(seen, "kind " + config.kinds().get(i).name(), "/kinds/" + i + "/name", errors);
    }
    if (config.kinds().stream().noneMatch(k -> !k.role().equals("read"))) {
      errors.add("/kinds", "no kind can write");
    }
    if (!config.writersRead() && config.kinds().stream().allMatch(k -> k.role().equals("write"))) {
      errors.add("/writers_read", "no kind can read, and writers may not read either");
    }
  }

  private static void checkUnique(Map<String, String> seen, String name, String pointer, ErrorCollector errors) {
    String firstPointer = seen.putIfAbsent(name, pointer);
    if (firstPointer != null) {
      errors.add(pointer, (name.startsWith("key ") ? "this key" : name) + " is already defined at " + firstPointer);
    }
  }
}
