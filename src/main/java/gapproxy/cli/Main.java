package gapproxy.cli;

import gapproxy.benchlink.BadFrame;
import gapproxy.benchlink.BenchLink;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** The command line: one subcommand a job. */
public final class Main {
  private static final String USAGE = """
      usage: gapproxy COMMAND
        benchlink   decide for the bench: events on standard input, actions on standard output""";

  private Main() {}

  public static void main(String[] args) {
    System.exit(run(args));
  }

  static int run(String[] args) {
    if (args.length != 1 || !args[0].equals("benchlink")) {
      System.err.println(USAGE);
      return 2;
    }
    try {
      new BenchLink().serve(System.in, new FileOutputStream(FileDescriptor.out));
      return 0;
    } catch (BadFrame | IOException e) {
      System.err.println("gapproxy benchlink: " + e.getMessage());
      return 1;
    }
  }
}
