package gapproxy.gateway;

import gapproxy.api.Action;
import gapproxy.api.Action.Path;
import gapproxy.api.Event.Outcome;
import gapproxy.http.HttpClient;
import gapproxy.runtime.Loop;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One req in hand: what came, what is out for it, what is held for it. */
final class Req {
  /** One forward. */
  static final class Forward {
    final Req req;
    final int number;
    final Fleet.Server at;
    final Path path;
    final String id;                                          // what the engine knows it by
    final Duration sent;
    final Duration latest;                                    // by when it must begin, or null
    HttpClient.Call call;
    Loop.Timer limit;
    Outcome how;
    final List<Object> early = new ArrayList<>();             // pieces that came before its first token
    Duration until;                                           // the end of the time that its server is told
    Duration sentAt;                                          // when its last byte was handed to the system, or null
    ArrivalEvidence arrivedBy;                                // what shows that it has come to its server, or null
    boolean serverAnswers;                                    // has answered something else that was asked since
    boolean mayKeep;                                          // was out at a release, which may have left what it waits for
    boolean begun;
    boolean waits;                                            // for the end of the turn, to be written
    double[] report = new double[0];                          // that came with its answer
    long kept = -1;                                           // not told
    String why = "";

    Forward(Req req, Fleet.Server at, Path path, Duration sent, Duration latest) {
      this.req = req;
      this.number = req.forwards.size();
      this.at = at;
      this.path = path;
      this.id = req.client.id() != null ? req.client.id() : req.name + "-" + number;
      this.sent = sent;
      this.latest = latest;
    }

    boolean out() {
      return how == null;
    }

    boolean reads() {
      return path == Path.READ;
    }
  }

  /** A state that waits at a reader, or may: its read's id frees it. */
  record State(Fleet.Server at, String id, Object transfer) {}

  record Place(Fleet.Server at, String id) {}

  final long number;
  final String name;
  final Client client;
  final Client.Ask ask;
  final Duration taken;
  final List<Forward> forwards = new ArrayList<>();
  State state;
  Place place;
  Forward begun;                                              // whose tokens go to the client
  Loop.Timer limit;
  Action.Hold wanted;                                         // until the read is sent
  final Map<String, HeldLedger> ledgers = new LinkedHashMap<>(); // of what may be held for it, by the ids that release it
  final Map<String, HeldClock.Account> heldAccounts = new LinkedHashMap<>(); // the guard's own of the same
  Duration closedAt;                                          // when an attempt of it last ended without an answer, or null
  Duration readClosedAt;                                      // when a read of it last ended without an answer, or null
  Duration goneAt;                                            // when its client closed, or null
  Duration uncoveredSince;                                    // held with no attempt known to have arrived, or null
  Loop.Timer releaseCheck;
  boolean placeHeld;                                          // its server has said so
  boolean answered;
  boolean paused;
  Duration firstToken, readEnd, lastChunk;
  long tokens;

  Req(long number, String name, Client client, Duration taken) {
    this.number = number;
    this.name = name;
    this.client = client;
    this.ask = client.ask();
    this.taken = taken;
  }

  /** Whether a server holds something for it, or may. */
  boolean mayHold() {
    return ledgers.values().stream().anyMatch(HeldLedger::isOpen);
  }

  /** Whether attempts may still use what a ledger stands for. */
  boolean uses(HeldLedger l) {
    boolean inUse = l.anywhere || state != null && state.id().equals(l.id) || place != null && place.id().equals(l.id);
    return inUse && !isOver();
  }

  /** Whether something may be held that attempts may still use, and no release of it is under way. */
  boolean usesHeld() {
    return ledgers.values().stream().anyMatch(l -> l.isOpen() && !l.releasing && uses(l));
  }

  /** Whether it has its answer and nothing is out for it. */
  boolean isOver() {
    return answered && !anyOut();
  }

  boolean anyOut() {
    return forwards.stream().anyMatch(Forward::out);
  }

  /** Whether something came on the own connection of an attempt that is out. */
  boolean anyHeardOf() {
    return forwards.stream().anyMatch(f -> f.out() && f.arrivedBy == ArrivalEvidence.OWN_CONNECTION);
  }

  /** Whether an attempt is out that is known to have come to its server. */
  boolean anyArrived() {
    return forwards.stream().anyMatch(f -> f.out() && f.arrivedBy != null);
  }

  /** The table of states: where it stands follows from what is out and what is held. */
  Stage stage() {
    if (answered) {
      return Stage.ANSWERED;
    } else if (begun != null) {
      return Stage.STREAMING;
    } else if (forwards.stream().anyMatch(f -> f.out() && f.path != Path.READ)) {
      return Stage.WRITING;
    } else if (anyOut()) {
      return Stage.READING;
    }
    return state != null ? Stage.HELD : Stage.WAITING;
  }

  /** How its prompt was read, as clients and logs see it. */
  String path() {
    for (int i = forwards.size() - 1; i >= 0; i--) {
      if (forwards.get(i).path != Path.READ) {
        return forwards.get(i).path == Path.LOCAL ? "local" : "remote";
      }
    }
    return forwards.isEmpty() ? "none" : "remote";
  }
}
