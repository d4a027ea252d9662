package gapproxy.cli;

/** Ends a process in good order when it is told to. */
final class Exit {
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
}
