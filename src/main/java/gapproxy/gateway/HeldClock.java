package gapproxy.gateway;

import gapproxy.runtime.Loop;
import gapproxy.trace.EventRing;
import java.time.Duration;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Times how long a state or place is held for a request while nothing shows that one of its attempts has arrived, up to the
 * acknowledgement of its release. It doubts {@link ReleaseWatch} and {@link Releases} on purpose: it starts its spans by itself and takes
 * nobody's word for an end but a server's.
 *
 * <p>Belongs to the gateway's loop.
 */
final class HeldClock {
  private static final Logger LOG = LoggerFactory.getLogger(HeldClock.class);
  private static final double WARN_AFTER = 0.8;               // of the release time
  private static final Duration SLACK = Duration.ofMillis(300);

  private final Loop loop;
  private final Duration within;
  private final EventRing ring;
  private final BiConsumer<Span, Duration> heldTooLong;

  /**
   * @param within the release time
   * @param heldTooLong told of each span that is known to hold something and went on past the release time and the slack of the rule
   */
  HeldClock(Loop loop, Duration within, EventRing ring, BiConsumer<Span, Duration> heldTooLong) {
    this.loop = loop;
    this.within = within;
    this.ring = ring;
    this.heldTooLong = heldTooLong;
  }

  /** One span in which something is held, or may be. */
  final class Span {
    final String requestId;
    final Object server;
    final Duration since;
    private final Loop.Timer warning, end;
    boolean known;                                            // that something is held, and not only that it may be

    private Span(String requestId, Object server, Duration since, boolean known) {
      this.requestId = requestId;
      this.server = server;
      this.since = since;
      this.known = known;
      Duration warnIn = since.plus(Duration.ofNanos((long) (within.toNanos() * WARN_AFTER))).minus(loop.now());
      Duration endIn = since.plus(within).plus(SLACK).minus(loop.now());
      warning = loop.after(warnIn, this::warn);
      end = loop.after(endIn, this::late);
    }

    private void warn() {
      LOG.atWarn().addKeyValue("request_id", requestId).addKeyValue("held_at", server).addKeyValue("known", known)
          .addKeyValue("held_ms", loop.now().minus(since).toMillis()).addKeyValue("release_ms", within.toMillis())
          .addKeyValue("history", ring.of(requestId)).log("held for most of the release time");
    }

    private void late() {
      if (known) {
        heldTooLong.accept(this, loop.now().minus(since));
      }
    }

    /** It is taken, released, or an attempt that needs it is known to have arrived. */
    void over() {
      warning.cancel();
      end.cancel();
    }
  }

  /**
   * Starts a span.
   *
   * @param since when it came to be held
   * @param known whether it is known that something is held
   */
  Span start(String requestId, Object server, Duration since, boolean known) {
    return new Span(requestId, server, since, known);
  }

  /** A request's state, place or attempts have changed: its span starts, goes on or is over. */
  void changed(Req r) {
    boolean covered = !r.mayHold() || r.anyArrived();
    if (covered) {
      end(r);
    } else if (r.heldSpan == null) {
      r.heldSpan = start(Gateway.requestId(r), r.heldAt().address(), loop.now(), r.knownToHold());
    } else {
      r.heldSpan.known |= r.knownToHold();
    }
  }

  private void end(Req r) {
    if (r.heldSpan != null) {
      r.heldSpan.over();
      r.heldSpan = null;
    }
  }

  /** The span of what is about to be released: the request's own, from when it came to be held, or one that starts now. */
  Span take(Req r, Object server, boolean known) {
    Span span = r.heldSpan == null ? start(Gateway.requestId(r), server, loop.now(), known) : r.heldSpan;
    span.known |= known;
    r.heldSpan = null;
    return span;
  }

  /** Since when something is held for a request with no attempt known to have arrived; now where nothing was held before. */
  Duration heldSince(Req r) {
    return r.heldSpan == null ? loop.now() : r.heldSpan.since;
  }
}
