package gapproxy.runtime;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LiveLoopTest {
  private static final long SECONDS = 5;

  /** A caller that waits for a loop that has ended is not kept for ever. */
  @Test
  void aCallToALoopThatEndedReturns() throws Exception {
    CountDownLatch returned = new CountDownLatch(1);
    LiveLoop loop = new LiveLoop("ended");
    Thread caller = new Thread(() -> {
      loop.call(() -> {
        throw new StackOverflowError("planted");
      });
      loop.call(() -> { });
      returned.countDown();
    });
    caller.setDaemon(true);
    caller.start();
    assertTrue(returned.await(SECONDS, TimeUnit.SECONDS), "it waits for work that never runs");
  }
}
