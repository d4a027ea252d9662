package gapproxy.cli;

import gapproxy.config.ConfigException;
import gapproxy.config.ConfigReader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Validates configuration files and prints their schema. */
@Command(name = "config", description = "Validates a configuration file, or prints the schema.",
    subcommands = {ConfigCommand.Check.class, ConfigCommand.Schema.class})
final class ConfigCommand {
  /** Validates a configuration file. */
  @Command(name = "check", description = "Validates a configuration file and prints every error with its location.")
  static final class Check implements Callable<Integer> {
    @Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    public Integer call() {
      try {
        ConfigReader.read(file);
      } catch (ConfigException e) {
        e.lines().forEach(System.err::println);
        return 1;
      }
      System.out.println(file + ": good");
      return 0;
    }
  }

  /** Prints the JSON schema of configuration files. */
  @Command(name = "schema", description = "Prints the JSON Schema of configuration files.")
  static final class Schema implements Runnable {
    @Override
    public void run() {
      System.out.print(ConfigReader.schema());
    }
  }
}
