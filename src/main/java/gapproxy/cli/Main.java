package gapproxy.cli;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.ScopeType;

/** Entry point of the command line; each task is a subcommand. */
@Command(name = "gapproxy", mixinStandardHelpOptions = true, versionProvider = Main.VersionProvider.class,
    scope = ScopeType.INHERIT, sortOptions = false, usageHelpAutoWidth = true,
    description = "Routes language-model requests to separate readers and writers.",
    footer = {"", "Exit codes: 0 success; 1 failure, explained in one line on standard error; 2 invalid command line."},
    subcommands = {ServeCommand.class, NodeCommand.class, DemoCommand.class, StandinCommand.class, DayCommand.class,
        SoakCommand.class, OverheadCommand.class, SimCommand.class, ConfigCommand.class, BenchLinkCommand.class,
        AutoComplete.GenerateCompletion.class})
public final class Main implements Runnable {
  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;

  private Main() {}

  /** Reads the version from the jar's manifest. */
  static final class VersionProvider implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"gapproxy " + (version == null ? "unpackaged" : version)};
    }
  }

  /** Fails a command; its message is printed as one line without a stack trace. */
  static final class CommandFailedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CommandFailedException(String what) {
      super(what);
    }
  }

  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "missing subcommand");
  }

  public static void main(String[] args) throws Exception {
    // Bypasses picocli for the plain node command: a gateway may restart under load, and each loaded class delays its start.
    if (args.length == 1 && args[0].equals("node")) {
      try {
        System.exit(NodeCommand.serve(NodeCommand.DEFAULT_LOG_LEVEL));
      } catch (CommandFailedException e) {
        System.err.println("gapproxy node: " + e.getMessage());
        System.exit(1);
      }
    }
    System.exit(run(args));
  }

  static int run(String... args) {
    CommandLine line = new CommandLine(new Main());
    line.setCaseInsensitiveEnumValuesAllowed(true);
    line.setExecutionExceptionHandler((e, c, parsed) -> {
      c.getErr().println(c.getCommandSpec().qualifiedName() + ": " + (e instanceof CommandFailedException || e.getMessage() != null
          ? e.getMessage() : e.toString()));
      return 1;
    });
    return line.execute(args);
  }
}
