package gapproxy.cli;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;

/** Ends a process: in good order when it is told to, or at once when it can't go on. */
final class Exit {
  /** The exit code after an error that ended a gateway's loop (EX_SOFTWARE). */
  static final int FATAL = 70;
  private static final Duration LAST_WRITES = Duration.ofMillis(100);

  private Exit() {}

  /**
   * Runs work when the process is told to stop, and ends it with exit code 0: a stop that was asked for and went well is no
   * failure, though the JVM would answer a signal with 128 and more.
   */
  static void onSignal(Runnable work) {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> {
      work.run();
      System.out.flush();
      System.err.flush();
      Runtime.getRuntime().halt(0);
    }, "stop"));
  }

  /**
   * Ends a process whose loop has ended by an error, so that its supervisor starts it anew. The failed answers that were just given
   * get a moment to leave; shutdown hooks would wait for the loop and are passed over.
   */
  static void fatal() {
    LockSupport.parkNanos(LAST_WRITES.toNanos());
    System.err.flush();
    Runtime.getRuntime().halt(FATAL);
  }
}
