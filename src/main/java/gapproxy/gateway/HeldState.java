package gapproxy.gateway;

import gapproxy.api.Action;
import gapproxy.api.Event.Outcome;
import gapproxy.api.Settings;
import gapproxy.runtime.Loop;
import gapproxy.trace.EventRing;
import gapproxy.trace.Metrics;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * What servers hold for the requests of one gateway: states that reads leave, places that are reserved, and what may be held though no
 * answer told of it. Asks for places, takes in what shows that an attempt has arrived, and carries releases out; {@link ReleaseWatch}
 * says when.
 *
 * <p>A client that names its request gives servers an id by which one call releases all of it, at any server, so that call waits for the
 * request's last attempt. Else each state and place has an id of its own.
 *
 * <p>Belongs to the gateway's loop.
 */
final class HeldState implements ReleaseWatch.Actions {
  /** Ends an attempt. */
  interface Ending {
    void end(Req.Forward f, Outcome how, long note, String why);
  }

  private final Loop loop;
  private final Servers servers;
  private final SendGuard guard;
  private final Metrics metrics;
  private final AttemptLog log;
  private final Ending ending;
  private final Releases releases;
  private final HeldClock clock;
  private final ReleaseWatch watch;

  HeldState(Loop loop, Terms terms, Servers servers, Fleet fleet, SendGuard guard, Metrics metrics, EventRing ring, AttemptLog log,
      Ending ending) {
    this.loop = loop;
    this.servers = servers;
    this.guard = guard;
    this.metrics = metrics;
    this.log = log;
    this.ending = ending;
    clock = new HeldClock(loop, terms.releaseWithin(), ring, guard::heldTooLong);
    releases = new Releases(servers, loop, terms.releaseWithin(), fleet::others, metrics);
    watch = new ReleaseWatch(loop, servers, terms.releaseWithin(),
        r -> terms.settings().groups().get(r.ask.group()).repeat() != Settings.Repeat.NON_REPLAYABLE, this);
  }

  /** Releases that are on their way. */
  int releasing() {
    return releases.underWay();
  }

  /** Something may be held for a request now, or no longer, or one of its attempts has begun, was heard of or has ended. */
  void changed(Req r) {
    watch.changed(r);
    clock.changed(r);
  }

  /** All of an attempt has been handed to the system. */
  void sent(Req.Forward f) {
    watch.sent(f);
  }

  /** Something came on an attempt's own connection. */
  void heardOf(Req.Forward f) {
    if (f.out() && f.arrivedBy != ArrivalEvidence.OWN_CONNECTION) {
      f.arrivedBy = ArrivalEvidence.OWN_CONNECTION;
      changed(f.req);
    }
  }

  /**
   * Asks a server to hold a place.
   *
   * @param then told whether it does
   */
  void reserve(Req r, Fleet.Server at, Consumer<Boolean> then) {
    giveUpPlace(r);
    log.reservation(r, at, "reservation is asked for");
    Req.Place place = new Req.Place(at, r.client.id() != null ? r.client.id() : r.name + "-p" + r.forwards.size());
    Req.Forward beside = r.forwards.stream().filter(f -> f.out() && f.reads() && f.sentAt != null).reduce((a, b) -> b).orElse(null);
    r.place = place;
    r.placeHeld = false;
    changed(r);
    Duration askedAt = loop.now();
    servers.hold(at.address(), place.id(), r.client, watch.reservationWithin(), new Servers.Holding() {
      @Override
      public boolean wanted() {
        return guard.reservation(r, place);
      }

      @Override
      public void answered(Servers.Reservation answer) {
        log.reservation(r, at, "reservation is answered " + answer);
        reserved(r, place, beside, askedAt, answer);
        then.accept(answer == Servers.Reservation.HELD);
      }
    });
  }

  /** @param beside the read that was out when the place was asked for, or null: the answer tells of no other one */
  private void reserved(Req r, Req.Place place, Req.Forward beside, Duration askedAt, Servers.Reservation answer) {
    boolean wanted = r.place == place;
    if (wanted) {
      r.placeHeld = answer == Servers.Reservation.HELD;
      r.place = r.placeHeld ? place : null;
    }
    switch (answer) {
      case HELD -> {
        if (beside != null && beside.out() && beside.arrivedBy == null && servers.reservationShowsRead()) {
          beside.arrivedBy = ArrivalEvidence.RESERVATION;
        }
        if (!wanted) {                                        // given up, or its stream begun, before it was held
          heldForNothing(r, place);
        }
      }
      case UNANSWERED -> {
        watch.placeReleasedAgainAfter().forEach(after -> releaseAgain(r, place.at(), place.id(), askedAt.plus(after)));
        mayHold(r, place.at(), place.id());
      }
      case NOT_KNOWN -> mayHold(r, place.at(), place.id());
      default -> {
      }
    }
    changed(r);
    if (answer == Servers.Reservation.NOT_KNOWN && beside != null) {
      watch.reservationNotKnown(beside);
    }
  }

  private void heldForNothing(Req r, Req.Place place) {
    if (r.client.id() == null) {
      InetSocketAddress at = place.at().address();
      releases.release(at, place.id(), false, clock.start(place.id(), at, loop.now(), true));
    } else {
      mayHold(r, place.at(), place.id());
    }
  }

  /** A read has come to nothing, and may have been read all the same, now or when it arrives later. */
  void readMayHaveEnded(Req.Forward read) {
    unsure(read.req, read.at, read.id);
    watch.releasedAgainAfter(read).forEach(after -> releaseAgain(read.req, read.at, read.id, read.sentAt.plus(after)));
  }

  /** Something may be held, as far as can be told; where the request's id releases all, not before the last attempt has ended. */
  private void unsure(Req r, Fleet.Server at, String id) {
    if (r.client.id() == null) {
      releases.releaseDoubted(at.address(), id, false, clock.start(id, at.address(), loop.now(), false));
    } else {
      r.unsure.add(at);
    }
  }

  /** What came to nothing may still arrive, and leave something behind after all was released. */
  private void releaseAgain(Req r, Fleet.Server at, String id, Duration when) {
    loop.after(when.minus(loop.now()), () -> mayHold(r, at, id));
  }

  /** Something may be held that no attempt will use: it is released with the rest, or at once where nothing else is needed any longer. */
  private void mayHold(Req r, Fleet.Server at, String id) {
    unsure(r, at, id);
    if (r.client.id() != null && r.answered) {
      release(r);
    } else if (r.begun != null) {
      releaseBesideStream(r);
    }
    changed(r);
  }

  /** An answer has begun: its state and place are taken. */
  void taken(Req r) {
    r.state = null;
    r.place = null;
    releaseBesideStream(r);
  }

  /**
   * Releases what other servers may hold beside a stream that has begun, and keeps it in mind for the stream's end: that may be lost, and
   * the stream pass as out for as long as it is waited for.
   */
  private void releaseBesideStream(Req r) {
    if (r.client.id() != null && !r.unsure.isEmpty()) {
      InetSocketAddress at = r.heldAt().address();
      releases.release(at, r.client.id(), true, clock.take(r, at, false));
    }
  }

  /** The place will not be used. */
  void giveUpPlace(Req r) {
    if (r.place != null) {
      if (r.client.id() == null) {
        InetSocketAddress at = r.place.at().address();
        releases.release(at, r.place.id(), false, clock.take(r, at, r.placeHeld));
      } else {
        r.unsure.add(r.place.at());
      }
      r.place = null;
    }
    changed(r);
  }

  /** The state will not be used. */
  void giveUpState(Req r) {
    if (r.state != null) {
      if (r.client.id() == null) {
        InetSocketAddress at = r.state.at().address();
        releases.release(at, r.state.id(), false, clock.take(r, at, true));
      } else {
        r.unsure.add(r.state.at());
      }
      r.state = null;
    }
    changed(r);
  }

  /** Lets go of the state and the place, but for those that an attempt which is out needs. */
  void release(Req r) {
    if (r.client.id() == null) {
      releaseByOwnIds(r);
    } else if (!r.anyOut()) {                                 // one call releases all
      boolean known = r.knownToHold();
      giveUpPlace(r);
      giveUpState(r);
      if (!r.unsure.isEmpty()) {
        InetSocketAddress at = r.heldAt().address();
        releases.releaseDoubted(at, r.client.id(), true, clock.take(r, at, known));
        r.unsure.clear();
      }
      changed(r);
    }
  }

  private void releaseByOwnIds(Req r) {
    boolean fetching = r.forwards.stream().anyMatch(f -> f.out() && f.path == Action.Path.WRITE);
    if (!fetching) {
      giveUpState(r);
    }
    boolean placing = r.forwards.stream().anyMatch(f -> f.out() && !f.reads());
    if (!placing) {
      giveUpPlace(r);
    }
  }

  /**
   * Releases what is held for a request, since none of its attempts is known to have arrived. Those that are out go on, but for a write
   * that waits for its connection still: nothing would be left for it to fetch. Where an attempt ends later, the decisions are told that
   * the state is gone, and may read anew.
   */
  @Override
  public void releaseEarly(Req r) {
    String path = r.forwards.stream().filter(Req.Forward::out).findFirst().map(f -> f.path.name().toLowerCase(Locale.ROOT)).orElse("none");
    metrics.earlyRelease(path);
    log.releasedEarly(r);
    if (r.client.id() == null) {
      giveUpState(r);
      giveUpPlace(r);
    } else {
      InetSocketAddress at = r.heldAt().address();
      HeldClock.Span span = clock.take(r, at, r.knownToHold());
      r.state = null;
      r.place = null;
      r.unsure.clear();
      releases.release(at, r.client.id(), true, span);
    }
    List<Req.Forward> unsent = r.forwards.stream().filter(f -> f.out() && f.path == Action.Path.WRITE && f.sentAt == null).toList();
    unsent.forEach(f -> ending.end(f, Outcome.NO_CONNECTION, 1, "its state was released before it had a connection"));
    changed(r);
  }

  @Override
  public void end(Req.Forward f, String why) {
    ending.end(f, Outcome.TIMED_OUT, 0, why);
  }
}
