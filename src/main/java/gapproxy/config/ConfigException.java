package gapproxy.config;

import java.util.List;

/** Thrown for an invalid settings file. Holds one line per error, with its location in the file, its JSON pointer and what is allowed. */
public final class ConfigException extends Exception {
  private static final long serialVersionUID = 1L;
  private final List<String> lines;

  public ConfigException(List<String> lines) {
    super(String.join("\n", lines));
    this.lines = List.copyOf(lines);
  }

  public List<String> lines() {
    return lines;
  }
}
