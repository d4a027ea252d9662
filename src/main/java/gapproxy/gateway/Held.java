package gapproxy.gateway;

import gapproxy.engine.Engines;
import gapproxy.runtime.Loop;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Frees states and places at engines, and tries again, first while the release time runs and then each time it has passed
 * once more, until engines have surely forgotten by themselves. Guards against a call lost on the way:
 * what stays pinned takes memory from every other req of that engine.
 */
final class Held {
  private static final Logger LOG = LoggerFactory.getLogger(Held.class);
  private static final int TRIES = 4, LATER = 30;
  private final Engines engines;
  private final Loop loop;
  private final Duration each;
  private int freeing;

  Held(Engines engines, Loop loop, Duration within) {
    this.engines = engines;
    this.loop = loop;
    each = within.dividedBy(TRIES + 1);
  }

  /** Frees what is known to be held. */
  void free(InetSocketAddress at, String id) {
    freeing++;
    attempt(at, id, TRIES, false);
  }

  /**
   * Frees what a read that was ended early may leave behind. Guards against the read that ends between this call and the
   * news of its closed connection: where nothing was held yet it is asked once more.
   */
  void freeLater(InetSocketAddress at, String id) {
    freeing++;
    attempt(at, id, TRIES, true);
  }

  private void attempt(InetSocketAddress at, String id, int left, boolean unsure) {
    Duration begun = loop.now();
    engines.release(at, id, each, (well, any) -> {
      if (well && (any || !unsure)) {
        freeing -= left >= 1 ? 1 : 0;
      } else if (left > 1) {
        loop.after(each.minus(loop.now().minus(begun)), () -> attempt(at, id, left - 1, unsure && !well));
      } else if (left > -LATER) {
        LOG.atDebug().addKeyValue("engine", at).addKeyValue("id", id).log("not freed yet");
        freeing -= left == 1 ? 1 : 0;                         // a stop does not wait for it any longer
        loop.after(each.multipliedBy(TRIES + 1), () -> attempt(at, id, left - 1, unsure));
      } else {
        LOG.atWarn().addKeyValue("engine", at).addKeyValue("id", id).log("could not free what is held");
      }
    });
  }

  /** Calls that are on their way. */
  int freeing() {
    return freeing;
  }
}
