package gapproxy.cli;

import gapproxy.benchlink.MalformedFrameException;
import gapproxy.benchlink.BenchLink;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Makes routing decisions for the bench, an external test program, over standard input and output. */
@Command(name = "benchlink",
    description = "Makes routing decisions for the bench: reads events from standard input, writes actions to standard output.")
final class BenchLinkCommand implements Callable<Integer> {
  @Override
  public Integer call() throws IOException {
    try {
      new BenchLink().serve(System.in, new FileOutputStream(FileDescriptor.out));
      return 0;
    } catch (MalformedFrameException e) {
      throw new Main.CommandFailedException(e.getMessage());
    }
  }
}
