package gapproxy.day;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import gapproxy.config.ConfigException;
import gapproxy.config.ConfigReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The script of a day, read from JSON. Times of faults are fractions of the day's length, so that a day can be run at any length.
 *
 * @param seconds length of the day, unless it is overridden
 * @param cells cells in each zone
 * @param readers readers in each cell
 * @param writers writers in each cell
 * @param rate reqs per second
 * @param nonReplayable share of reqs that must not be repeated
 * @param keyed share of reqs with an idempotency key
 * @param hangUps share of reqs whose client hangs up
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record Script(String name, String about, double seconds, int gateways, int zones, int cells, int readers,
    int writers, double rate, double nonReplayable, double keyed, double hangUps, List<Trouble> troubles) {

  /**
   * A fault during the day.
   *
   * @param at start, as a fraction of the day
   * @param lasts duration, as a fraction of the day
   * @param share share of the engines, reqs or gateways that are affected
   * @param factor strength, with a meaning that depends on the kind: a factor, a share or a number of seconds
   */
  public record Trouble(String kind, double at, @JsonProperty("for") double lasts, double share, double factor) {}

  private static final ObjectMapper JSON = new ObjectMapper();

  private static String resource(String name) {
    try (InputStream in = Script.class.getResourceAsStream(name)) {
      return in == null ? null : new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the names of the built-in days. */
  public static List<String> names() {
    return resource("index.txt").lines().toList();
  }

  /**
   * Returns a built-in day by its name, or a day from a script file.
   *
   * @throws ConfigException if there is neither, or the script is invalid
   */
  public static Script find(String nameOrFile) throws ConfigException {
    String text = nameOrFile.matches("[A-Za-z0-9_-]+") ? resource(nameOrFile + ".json") : null;
    if (text == null) {
      try {
        text = Files.readString(Path.of(nameOrFile));
      } catch (IOException e) {
        throw new ConfigException(List.of("no built-in day and no file has the name " + nameOrFile + "; days: "
            + String.join(", ", names())));
      }
    }
    try {
      return JSON.treeToValue(ConfigReader.validate(text, nameOrFile, resource("day.schema.json")), Script.class);
    } catch (JsonProcessingException e) {
      throw new ConfigException(List.of(nameOrFile + ": " + e.getOriginalMessage()));
    }
  }
}
