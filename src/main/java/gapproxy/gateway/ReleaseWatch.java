package gapproxy.gateway;

import gapproxy.runtime.Loop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sees to it that nothing is held for a request longer than the release time while none of its attempts is known to have arrived.
 *
 * <p>What a server holds for a request may stay held while an attempt is out, but an attempt whose bytes never reached its server is not
 * out, and nothing tells so: a connection may fall silent for good without an error, while the server answers on others. So only {@link
 * ArrivalEvidence} of the attempt itself counts. Without it, what is held is released while there is time left to do so. The attempt goes
 * on: a release takes nothing that an attempt waits for which has arrived, and one that arrives later is told that its state is gone.
 *
 * <p>What a server does on other connections can show the opposite: one that does not answer at all does nothing for its attempts, also for
 * one that has arrived. It is asked, and where no answer comes its attempts are ended, so that others may follow.
 *
 * <p>Belongs to the gateway's loop.
 */
final class ReleaseWatch {
  private static final Logger LOG = LoggerFactory.getLogger(ReleaseWatch.class);
  /**
   * Parts of the release time after which a quiet server is asked, what is held is released, and an attempt at a server without an answer
   * ends. Behind the release lies the time of three tries at it. In front of the end lies that of a connection that comes up at a busy
   * server (a quarter of a second was seen) and of its answer.
   */
  private static final double ASK_AFTER = 0.3, RELEASE_AFTER = 0.6, END_AFTER = 0.8;
  /** By when a reservation is answered, since a server waits 0.3 s for its read; places may be held as late as that. */
  private static final Duration RESERVATION_ANSWERED = Duration.ofMillis(500);
  /** How much later than it was sent a request may still come to its server, on a connection that carries nothing for a while. */
  private static final Duration LATEST_ARRIVAL = Duration.ofMillis(1000);
  private static final Duration RELEASE_SLACK = Duration.ofMillis(150); // of the rule's 0.3 s, the rest is the release's own

  /** What is done about a request. */
  interface Actions {
    /** Releases what is held for a request, as nothing shows that one of its attempts has arrived. */
    void releaseEarly(Req r);

    /** Ends an attempt that has not arrived as far as can be told. */
    void end(Req.Forward f, String why);
  }

  private final Loop loop;
  private final Servers servers;
  private final Actions actions;
  private final Predicate<Req> mayBeSentAgain;
  private final Duration within, askAfter, releaseAfter, endAfter;

  /**
   * @param within the release time
   * @param mayBeSentAgain whether a request may be sent again after an attempt that may have run
   */
  ReleaseWatch(Loop loop, Servers servers, Duration within, Predicate<Req> mayBeSentAgain, Actions actions) {
    this.loop = loop;
    this.servers = servers;
    this.actions = actions;
    this.within = within;
    this.mayBeSentAgain = mayBeSentAgain;
    askAfter = part(within, ASK_AFTER);
    releaseAfter = part(within, RELEASE_AFTER);
    endAfter = part(within, END_AFTER);
  }

  private static Duration part(Duration of, double part) {
    return Duration.ofNanos((long) (of.toNanos() * part));
  }

  /** How long the answer to a reservation is waited for. */
  Duration reservationWithin() {
    return within.compareTo(RESERVATION_ANSWERED) > 0 ? within : RESERVATION_ANSWERED;
  }

  /** When what came to nothing is released once more, after it was sent: it may have arrived after the first release. */
  List<Duration> releasedAgainAfter(Req.Forward read) {
    boolean mayArrive = read.reads() && read.sentAt != null && read.arrivedBy != ArrivalEvidence.OWN_CONNECTION;
    return mayArrive ? untilPast(LATEST_ARRIVAL) : List.of();
  }

  /** When a place is released once more, after a reservation was sent that got no answer. */
  List<Duration> placeReleasedAgainAfter() {
    return untilPast(LATEST_ARRIVAL.plus(RESERVATION_ANSWERED));
  }

  /** Times so close to one another that nothing that comes to be held in between is held too long. */
  private List<Duration> untilPast(Duration latest) {
    Duration every = within.plus(RELEASE_SLACK);
    List<Duration> times = new ArrayList<>();
    for (Duration at = every; times.isEmpty() || at.minus(every).compareTo(latest) < 0; at = at.plus(every)) {
      times.add(at);
    }
    return times;
  }

  /** Something may be held for it now, or no longer, or one of its attempts has begun, was heard of or has ended. */
  void changed(Req r) {
    boolean nothingOpen = !r.mayHold() || r.answered && !r.anyOut() || r.anyHeardOf();
    if (nothingOpen) {
      stop(r);
    } else if (r.uncoveredSince == null || r.releaseCheck == null && !r.anyArrived()) {
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

  /**
   * A server has answered the reservation beside a read with "not known": no read was out, or it had ended first, and the place may be held
   * even so. A read without an answer is then on a connection that carries nothing.
   */
  void reservationNotKnown(Req.Forward read) {
    Req r = read.req;
    if (!read.out() || read.arrivedBy != null) {
      return;
    }
    if (mayBeSentAgain.test(r)) {                             // else it may still arrive, and nothing could follow
      actions.end(read, "its server knows of no read");
    }
    if (r.uncoveredSince != null) {
      release(r);                                             // now, as it may be held since the reservation was asked for
    }
  }

  private void stop(Req r) {
    r.uncoveredSince = null;
    if (r.releaseCheck != null) {
      r.releaseCheck.cancel();
      r.releaseCheck = null;
    }
  }

  private void ask(Req r) {
    r.releaseCheck = loop.after(releaseAfter.minus(askAfter), () -> release(r));
    r.forwards.stream().filter(f -> f.out() && f.sentAt != null).toList().forEach(this::ask);
  }

  private void ask(Req.Forward f) {
    Duration asked = loop.now();
    loop.after(endAfter.minus(askAfter), () -> endIfSilent(f));
    servers.answers(f.at.address(), answers -> {
      LOG.atInfo().addKeyValue("request_id", Gateway.requestId(f.req)).addKeyValue("server", f.at.address())
          .addKeyValue("role", f.at.role()).addKeyValue("answers", answers).addKeyValue("ms", loop.now().minus(asked).toMillis())
          .log("a quiet server was asked whether it answers");
      f.serverAnswers |= answers;
    });
  }

  private void release(Req r) {
    changed(r);
    if (r.uncoveredSince == null) {
      return;
    }
    r.releaseCheck.cancel();
    r.releaseCheck = null;
    if (!r.anyArrived()) {
      stop(r);
      actions.releaseEarly(r);
    }
  }

  private void endIfSilent(Req.Forward f) {
    Duration heard = servers.lastHeard(f.at.address());
    boolean serverAnswers = f.serverAnswers || heard != null && heard.compareTo(f.sentAt) > 0;
    if (f.out() && f.arrivedBy != ArrivalEvidence.OWN_CONNECTION && !serverAnswers) {
      actions.end(f, "its server does not answer");
      if (f.req.uncoveredSince != null) {
        release(f.req);
      }
    }
  }
}
