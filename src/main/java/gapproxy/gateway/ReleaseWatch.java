package gapproxy.gateway;

import gapproxy.runtime.Loop;
import java.time.Duration;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches that nothing is held for a request longer than the release time while none of its attempts is known to have arrived.
 *
 * <p>What a server holds for a request may stay held while an attempt is out, but an attempt whose bytes never reached its server is
 * not out, and nothing tells so: a connection to a machine that fell silent takes the bytes without an error. An attempt counts as
 * arrived once anything has come from its server after it was sent. A server that has been quiet since then is asked whether it
 * answers; where it does not answer either, the request's attempts are ended and what is held for it is released while there is
 * time left to do so.
 *
 * <p>Belongs to the gateway's loop.
 */
final class ReleaseWatch {
  private static final Logger LOG = LoggerFactory.getLogger(ReleaseWatch.class);
  /**
   * Parts of the release time after which a quiet server is asked, and after which what is held is released. In between lies the time
   * of a connection that comes up at a busy server (a quarter of a second was seen) and of its answer; behind it that of the release.
   */
  private static final double ASK_AFTER = 0.3, RELEASE_AFTER = 0.8;

  private final Loop loop;
  private final Servers servers;
  private final Consumer<Req> release;
  private final Duration askAfter, releaseAfter;

  /**
   * @param within the release time
   * @param release ends the attempts of a request that are out and releases what is held for it
   */
  ReleaseWatch(Loop loop, Servers servers, Duration within, Consumer<Req> release) {
    this.loop = loop;
    this.servers = servers;
    this.release = release;
    askAfter = part(within, ASK_AFTER);
    releaseAfter = part(within, RELEASE_AFTER);
  }

  private static Duration part(Duration of, double part) {
    return Duration.ofNanos((long) (of.toNanos() * part));
  }

  /** Something may be held for it now, or no longer, or one of its attempts has begun, was heard of or has ended. */
  void changed(Req r) {
    boolean covered = !r.mayHold() || r.answered && !r.anyOut() || r.forwards.stream().anyMatch(this::arrived);
    if (covered) {
      stop(r);
    } else if (r.uncoveredSince == null) {
      r.uncoveredSince = loop.now();
      r.releaseCheck = loop.after(askAfter, () -> ask(r));
    }
  }

  /** All of an attempt has been handed to the system. */
  void sent(Req.Forward f) {
    f.sentAt = loop.now();
    Req r = f.req;
    if (r.uncoveredSince != null && loop.now().minus(r.uncoveredSince).compareTo(askAfter) >= 0) {
      ask(f);
    }
  }

  private void stop(Req r) {
    r.uncoveredSince = null;
    if (r.releaseCheck != null) {
      r.releaseCheck.cancel();
      r.releaseCheck = null;
    }
  }

  private boolean arrived(Req.Forward f) {
    if (!f.out()) {
      return false;
    }
    Duration heard = f.sentAt == null ? null : servers.lastHeard(f.at.address());
    if (f.arrivedBy == null && heard != null && heard.compareTo(f.sentAt) > 0) {
      f.arrivedBy = ArrivalEvidence.SERVER_ANSWERED;
    }
    return f.arrivedBy != null;
  }

  private void ask(Req r) {
    changed(r);
    if (r.uncoveredSince == null) {
      return;
    }
    Duration left = r.uncoveredSince.plus(releaseAfter).minus(loop.now());
    r.releaseCheck = loop.after(left, () -> decide(r));
    r.forwards.stream().filter(f -> f.out() && f.sentAt != null).forEach(this::ask); // which may be answered at once
  }

  private void ask(Req.Forward f) {
    Duration asked = loop.now();
    servers.answers(f.at.address(), answers -> {
      LOG.atInfo().addKeyValue("request_id", Gateway.requestId(f.req)).addKeyValue("server", f.at.address())
          .addKeyValue("role", f.at.role()).addKeyValue("answers", answers).addKeyValue("ms", loop.now().minus(asked).toMillis())
          .log("a quiet server was asked whether it answers");
      if (answers && f.out()) {
        f.arrivedBy = f.arrivedBy == null ? ArrivalEvidence.SERVER_ANSWERED : f.arrivedBy;
        changed(f.req);
      }
    });
  }

  private void decide(Req r) {
    changed(r);
    if (r.uncoveredSince != null) {
      stop(r);
      release.accept(r);
    }
  }
}
