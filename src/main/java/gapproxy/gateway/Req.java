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

/** The state of one open req: the client's request, its attempts and its held resources. */
final class Req {
  /** One try of a req at one server, from its decision to its outcome. */
  static final class Attempt {
    final Req req;
    /** The index of the attempt in {@link Req#attempts}. */
    final int number;
    final Fleet.Server server;
    final Path path;
    /** The id under which the server knows the attempt. */
    final String serverRequestId;
    /** When the attempt was decided. */
    final Duration startedAt;
    /** The latest time at which the attempt may be sent, or null. */
    final Duration sendDeadline;
    HttpClient.Call call;
    Loop.Timer timeoutTimer;
    /** Ends the attempt if its request is not written by the latest time for that; null if there is none. */
    Loop.Timer writeTimer;
    /** When the silence of its server is checked next; null until the answer has begun. */
    Duration silenceCheckAt;
    Outcome outcome;
    /** Pieces of the answer that arrived before its first token. */
    final List<Object> bufferedPieces = new ArrayList<>();
    /** The end of the time budget that its server was given. */
    Duration serverDeadline;
    /** When its last byte was handed to the operating system, or null. */
    Duration sentAt;
    /** What shows that the attempt has arrived at its server, or null. */
    ArrivalEvidence arrivalEvidence;
    /** The ledger entry that stands for this attempt while it is in flight, or null. */
    HeldResourceLedger.Entry inFlightEntry;
    /** Whether its server has been probed since the attempt was sent. */
    boolean probed;
    /** Whether the server has answered a probe since the attempt was sent. */
    boolean serverResponsive;
    /** Whether the attempt was in flight during a release, which may have spared the resources that it waits for. */
    boolean mayRetainAfterRelease;
    /** Whether it was given up while its request was being written, so that the last byte may have left. */
    boolean endedInWriting;
    /** Whether its first token has arrived. */
    boolean answerBegun;
    /** What was received of its answer; null until the answer has begun. */
    StreamActivity activity;
    /** Whether its answer is to be flushed at the end of the loop's turn. */
    boolean flushPending;
    /** The load figures that came with the answer. */
    double[] loadReport = new double[0];
    /** The number of prompt tokens that the server found in its cache, or -1 if unknown. */
    long cachedTokens = -1;
    /** Why the attempt ended, for logs and final answers. */
    String reason = "";

    Attempt(Req req, Fleet.Server server, Path path, Duration startedAt, Duration sendDeadline) {
      this.req = req;
      this.number = req.attempts.size();
      this.server = server;
      this.path = path;
      this.serverRequestId = req.clientRequestId != null ? req.clientRequestId : req.assignedId + "-" + number;
      this.startedAt = startedAt;
      this.sendDeadline = sendDeadline;
    }

    /** When the data of its answer that is being handled was read from the socket; {@code now} where the call does not tell that. */
    Duration lastReadAt(Duration now) {
      Duration readAt = call == null ? null : call.lastReadAt();
      return readAt == null ? now : readAt;
    }

    /** How long its server took to begin its response; zero if the call does not tell that. */
    Duration responseTime() {
      return call == null ? Duration.ZERO : call.responseTime();
    }

    /** Runs a task after all that had arrived for the attempt by now was passed on. */
    void afterNextRead(Runnable task) {
      if (call == null) {
        task.run();
      } else {
        call.afterNextRead(task);
      }
    }

    /** Drops the references to the call, which holds the request's body, and to pieces of an answer that was not used. */
    private void releaseBytes() {
      call = null;
      bufferedPieces.clear();
    }

    boolean inFlight() {
      return outcome == null;
    }

    /** Whether it has a connection, and the last byte of its request was not handed to the operating system yet. */
    boolean isBeingWritten() {
      return sentAt == null && call != null && call.connection() != null;
    }

    boolean isRead() {
      return path == Path.READ;
    }
  }

  /** A held state that is, or may be, left at a reader. The id of its read releases it. */
  record HeldState(Fleet.Server server, String id, Object transferParams) {}

  /** A reservation at a writer. Its id releases it. */
  record Reservation(Fleet.Server server, String id) {}

  /** The number by which the decisions know the req. */
  final long number;
  /** The id that the gateway assigned. Servers get it where the client gave none. */
  final String assignedId;
  /** The id that the client gave, or null. */
  final String clientRequestId;
  /** The client's side of the req, with the bytes of its request; null once the req is finished. */
  ClientReq client;
  final ClientReq.Attributes attributes;
  final Duration receivedAt;
  final List<Attempt> attempts = new ArrayList<>();
  HeldState heldState;
  Reservation reservation;
  /** The attempt whose tokens are sent to the client, or null. */
  Attempt streamingAttempt;
  Loop.Timer deadlineTimer;
  /** A reservation that waits until the read is sent, or null. */
  Action.Hold pendingHold;
  /** What may be held for the req, by the ids that release it. */
  final Map<String, HeldResourceLedger> ledgersById = new LinkedHashMap<>();
  /** What servers have reported as held, by the same ids. Maintained by {@link HeldClock}, independently of the ledgers. */
  final Map<String, HeldClock.ReportedHold> reportedHoldsById = new LinkedHashMap<>();
  /** When an attempt last ended without an answer, or null. */
  Duration lastUnansweredCloseAt;
  /** When a read last ended without an answer, or null. */
  Duration lastUnansweredReadCloseAt;
  /** When the client closed its connection, or null. */
  Duration clientClosedAt;
  /** When an attempt was last known to be out at its server, or to have ended there with an answer; or null. */
  Duration lastConfirmedAt;
  /** Since when something may be held while no attempt is known to be out at its server, or null. */
  Duration unconfirmedSince;
  Loop.Timer releaseCheckTimer;
  /** Whether the server has granted the reservation. */
  boolean reservationConfirmed;
  boolean answered;
  /** Whether reading of the answer is paused until the client accepts more data. */
  boolean paused;
  Duration timeToFirstToken, timeToReadEnd;
  long answerTokens;

  Req(long number, String assignedId, ClientReq client, Duration receivedAt) {
    this.number = number;
    this.assignedId = assignedId;
    this.client = client;
    this.clientRequestId = client.clientRequestId();
    this.attributes = client.attributes();
    this.receivedAt = receivedAt;
  }

  /**
   * Gives back the memory of the client's request. What is still needed of the req, to release what servers may hold for it, refers neither
   * to that request nor to the calls in which it was sent.
   */
  void releaseClient() {
    client.finished();
    client = null;
    attempts.forEach(Attempt::releaseBytes);
  }

  /** Whether a server holds, or may hold, something for the req. */
  boolean mayHold() {
    return ledgersById.values().stream().anyMatch(HeldResourceLedger::isOpen);
  }

  /** Whether attempts may still use the resource that a ledger records. */
  boolean mayUse(HeldResourceLedger ledger) {
    boolean inUse = ledger.releasableAnywhere || heldState != null && heldState.id().equals(ledger.id)
        || reservation != null && reservation.id().equals(ledger.id);
    return inUse && !isFinished();
  }

  /** Whether something may be held that attempts may still use and for which no release is in progress. */
  boolean mayUseHeldResource() {
    return ledgersById.values().stream().anyMatch(ledger -> ledger.isOpen() && !ledger.releaseInProgress && mayUse(ledger));
  }

  /** Whether the req has its final answer and no attempt is in flight. */
  boolean isFinished() {
    return answered && !anyInFlight();
  }

  boolean anyInFlight() {
    return attempts.stream().anyMatch(Attempt::inFlight);
  }

  /** Whether an answer is being received. */
  boolean isStreaming() {
    return streamingAttempt != null && streamingAttempt.inFlight();
  }

  /** Whether something may be held for another reason than the attempts in flight. */
  boolean mayHoldBesidesAttempts() {
    return ledgersById.values().stream().anyMatch(HeldResourceLedger::mayHoldBesidesAttempts);
  }

  /** Records that an attempt was out at its server at a time, or ended there then with an answer. */
  void confirmed(Duration at) {
    lastConfirmedAt = lastConfirmedAt == null || lastConfirmedAt.compareTo(at) < 0 ? at : lastConfirmedAt;
  }

  /** The stage that follows from the attempts in flight and the held state. */
  Stage stage() {
    if (answered) {
      return Stage.ANSWERED;
    } else if (streamingAttempt != null) {
      return Stage.STREAMING;
    } else if (attempts.stream().anyMatch(a -> a.inFlight() && a.path != Path.READ)) {
      return Stage.WRITING;
    } else if (anyInFlight()) {
      return Stage.READING;
    }
    return heldState != null ? Stage.HELD : Stage.WAITING;
  }

  /**
   * How the prompt was read, as reported to clients and in logs: at the answering writer itself ("local"), at a reader ("remote") or not at
   * all.
   */
  String path() {
    for (int i = attempts.size() - 1; i >= 0; i--) {
      if (attempts.get(i).path != Path.READ) {
        return attempts.get(i).path == Path.LOCAL ? "local" : "remote";
      }
    }
    return attempts.isEmpty() ? "none" : "remote";
  }
}
