package gapproxy.cli;

import gapproxy.daemon.Logs;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.slf4j.LoggerFactory;

/** Ends the process: gracefully on a signal, or at once after a fatal error. */
final class Exit {
  /** Exit code after an error that ended a gateway's loop (EX_SOFTWARE). */
  static final int FATAL_EXIT_CODE = 70;
  /** Time allowed for error answers that were just written to leave the process. */
  private static final Duration LAST_WRITES_DELAY = Duration.ofMillis(100);

  private Exit() {}

  /**
   * Registers work to run when the process receives a stop signal. The process then ends with exit code 0, because a requested shutdown
   * that succeeded is not a failure; by default the JVM would exit with 128 plus the signal's number.
   */
  static void onShutdownSignal(Runnable work) {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> {
      work.run();
      System.out.flush();
      System.err.flush();
      Runtime.getRuntime().halt(0);
    }, "stop"));
  }

  /**
   * Ends the process when any thread ends by an {@link Error}: a process that has lost the thread that reads from connections, for example,
   * would accept requests and never answer them. When memory has run out, the JVM exits before this handler runs, see
   * {@code ExitOnOutOfMemoryError} in deploy/balancer.toml.
   */
  static void installUncaughtExceptionHandler() {
    Thread.setDefaultUncaughtExceptionHandler((thread, cause) -> {
      LoggerFactory.getLogger(Exit.class).atError().setCause(cause).addKeyValue("thread", thread.getName())
          .log("thread terminated by an uncaught exception");
      if (cause instanceof Error) {
        exitAfterFatalError();
      }
    });
  }

  /**
   * Ends a process whose loop has ended by an error, so that its supervisor restarts it. Waits briefly so that the error answers that
   * were just written can be sent. Halts without shutdown hooks, since they would wait for the loop.
   */
  static void exitAfterFatalError() {
    LockSupport.parkNanos(LAST_WRITES_DELAY.toNanos());
    try {
      Logs.flushAndStop();
    } finally {
      Runtime.getRuntime().halt(FATAL_EXIT_CODE);
    }
  }
}
