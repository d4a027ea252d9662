package gapproxy.gateway;

import gapproxy.runtime.Loop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Records which servers may hold resources under one id, the one that a release call names.
 *
 * <p>Each event after which a server may hold something adds an entry, with the time until which the event may still act on that server: a
 * message or a connection close may arrive late. An entry is removed only on proof: the first token of an answer, the server's report that
 * it holds nothing, or the acknowledgement of a release that was started after that time. If the server did not answer the call
 * that caused the event, the acknowledgement has to come from that same server, unless its process has ended: no other server can prove
 * whether the event took effect.
 *
 * <p>A release spares, that is, does not free, the resources that an attempt at a server is waiting for. Attempts that are in flight during
 * an acknowledged release therefore add an entry when they end without a token, see {@link Req.Attempt#mayRetainAfterRelease}.
 *
 * <p>An attempt in flight is no proof that its server still works on it: its answer may have been lost, or its server may have vanished. A
 * read from its sending on, and every attempt that a release may have spared something for, therefore has an entry while it is in flight.
 *
 * <p>Confined to the gateway's loop.
 */
final class HeldResourceLedger {
  /**
   * The longest delay between sending a message or a close and its arrival at the server, on a connection that temporarily carries no data.
   */
  static final Duration MAX_DELIVERY_DELAY = Duration.ofSeconds(1);
  /** Stands for the unknown end of an attempt in flight. */
  private static final Duration NO_END = Duration.ofDays(365_000);

  /** An event after which a server may hold a resource, or because of which a release may spare one. */
  final class Entry {
    private final Fleet.Server server;
    /** Whether a resource may be held after the event. If not, a release may only spare other resources because of it. */
    private final boolean mayHold;
    private Duration recordedAt;
    private Duration mayActUntil;
    private boolean answered;
    /** Whether the entry stands for an attempt in flight. */
    private boolean inFlight;

    private Entry(Fleet.Server server, boolean mayHold, Duration recordedAt, Duration mayActUntil, boolean answered) {
      this.server = server;
      this.mayHold = mayHold;
      this.recordedAt = recordedAt;
      this.mayActUntil = mayActUntil;
      this.answered = answered;
    }

    /** Records that the server has answered: the event has had its effect, and nothing more follows from it. */
    void markAnswered(Duration now) {
      recordedAt = now;
      mayActUntil = now;
      answered = true;
    }

    private void extendTo(Duration until) {
      mayActUntil = mayActUntil.compareTo(until) > 0 ? mayActUntil : until;
    }

    /** Removes the entry, since the server reported that it holds nothing. */
    void remove() {
      entries.remove(this);
    }

    /** Whether the acknowledgement of a release by the server at {@code address} proves that the event has no effect any longer. */
    private boolean isSettledBy(Duration releaseStartedAt, InetSocketAddress address, Predicate<Fleet.Server> isSameInstance) {
      boolean proven = answered || server.address().equals(address) || !isSameInstance.test(server);
      return proven && mayActUntil.compareTo(releaseStartedAt) <= 0;
    }
  }

  final Req req;
  final String id;
  final boolean releasableAnywhere;
  private final List<Entry> entries = new ArrayList<>();
  /** When the last acknowledged release was started, or null. */
  private Duration lastReleaseStartedAt;
  Loop.Timer nextReleaseTimer;
  /** Whether release calls are in flight, or wait until an unreachable server can be reached again. */
  boolean releaseInProgress;
  /** Whether a release was not acknowledged in time, or is waiting for an unreachable server that has to acknowledge it. */
  boolean releaseOverdue;

  /** @param releasableAnywhere whether a release call at any server releases everything held under the id */
  HeldResourceLedger(Req req, String id, boolean releasableAnywhere) {
    this.req = req;
    this.id = id;
    this.releasableAnywhere = releasableAnywhere;
  }

  /**
   * Records that a server may hold a resource.
   *
   * @param mayActUntil until when the event may act on the server
   * @param answered whether the server has reported that the event is complete
   */
  Entry recordMayHold(Fleet.Server server, Duration now, Duration mayActUntil, boolean answered) {
    Entry entry = new Entry(server, true, now, mayActUntil, answered);
    entries.add(entry);
    return entry;
  }

  /**
   * Records that an attempt is in flight that may leave a resource held at any moment: it may end at its server without its answer reaching
   * this gateway, or its server may vanish while it waits for a resource. No release settles the entry; the end of the attempt removes it.
   */
  Entry recordInFlight(Fleet.Server server, Duration now) {
    Entry entry = new Entry(server, true, now, NO_END, false);
    entry.inFlight = true;
    entries.add(entry);
    return entry;
  }

  /**
   * Records that an attempt was closed without an answer. Until its server has seen the close, a release may spare resources that become
   * held in the meantime.
   */
  void recordUnansweredClose(Fleet.Server server, Duration now, Duration mayActUntil) {
    entries.add(new Entry(server, false, now, mayActUntil, false));
  }

  /** Removes the entries that an answer settles: its attempt consumed everything that was held by the time the attempt started. */
  void answerBegun(Duration attemptStartedAt) {
    entries.removeIf(entry -> entry.mayActUntil.compareTo(attemptStartedAt) <= 0);
  }

  /**
   * Records that a release was acknowledged.
   *
   * @param releaseStartedAt when it was started
   * @param address the server that acknowledged it
   * @param isSameInstance whether a server is still the same process; one that has ended no longer holds anything
   */
  void releaseAcknowledged(Duration releaseStartedAt, InetSocketAddress address, Predicate<Fleet.Server> isSameInstance) {
    lastReleaseStartedAt = lastReleaseStartedAt == null || lastReleaseStartedAt.compareTo(releaseStartedAt) < 0
        ? releaseStartedAt : lastReleaseStartedAt;
    boolean mayBeSpared = entries.stream()
        .anyMatch(entry -> !entry.mayHold && !entry.isSettledBy(releaseStartedAt, address, isSameInstance));
    entries.removeIf(entry -> entry.isSettledBy(releaseStartedAt, address, isSameInstance) && !(entry.mayHold && mayBeSpared));
    if (releasableAnywhere) {
      req.attempts.stream().filter(a -> a.inFlight() && !a.answerBegun && a.startedAt.compareTo(releaseStartedAt) <= 0)
          .forEach(a -> mayRetain(a, releaseStartedAt));
    }
  }

  private void mayRetain(Req.Attempt attempt, Duration releaseStartedAt) {
    attempt.mayRetainAfterRelease = true;
    if (attempt.inFlightEntry == null) {
      attempt.inFlightEntry = recordInFlight(attempt.server, releaseStartedAt);
    }
  }

  /**
   * Extends the entries of a server that can be reached again: it may only now see the messages and closes sent while it was unreachable.
   */
  void serverReachable(InetSocketAddress address, Duration now) {
    entries.stream().filter(entry -> !entry.answered && !entry.inFlight && entry.server.address().equals(address))
        .forEach(entry -> entry.extendTo(now.plus(MAX_DELIVERY_DELAY)));
  }

  /** Removes all entries, since no further release will be tried. */
  void giveUp() {
    entries.clear();
  }

  /** Whether a server may hold a resource. */
  boolean isOpen() {
    return entries.stream().anyMatch(entry -> entry.mayHold);
  }

  /** Whether a server may hold a resource for another reason than an attempt in flight. */
  boolean mayHoldBesidesAttempts() {
    return entries.stream().anyMatch(entry -> entry.mayHold && !entry.inFlight);
  }

  /** When the next release of what no attempt will use is due, given the interval between two releases. */
  Duration releaseDueAt(Duration now, Duration interval) {
    if (releaseCoversAll()) {
      return lastReleaseStartedAt.plus(interval);
    }
    return mayHoldBesidesAttempts() ? now
        : entries.stream().map(entry -> entry.recordedAt).reduce(Duration.ZERO, (a, b) -> a.compareTo(b) > 0 ? a : b).plus(interval);
  }

  /** Until when a resource may still become held. */
  Duration mayActUntil() {
    return entries.stream().map(entry -> entry.mayActUntil).reduce(Duration.ZERO, (a, b) -> a.compareTo(b) > 0 ? a : b);
  }

  /** When the last acknowledged release was started, or null. */
  Duration lastReleaseStartedAt() {
    return lastReleaseStartedAt;
  }

  /** Whether the last acknowledged release was started after every recorded event. */
  boolean releaseCoversAll() {
    return lastReleaseStartedAt != null && entries.stream().allMatch(entry -> entry.recordedAt.compareTo(lastReleaseStartedAt) <= 0);
  }

  /** The servers to call for a release: all whose own acknowledgement is needed or, if there are none, the one that was recorded first. */
  List<InetSocketAddress> serversToRelease() {
    List<InetSocketAddress> unanswered = entries.stream().filter(entry -> !entry.answered).map(entry -> entry.server.address()).distinct()
        .toList();
    return unanswered.isEmpty() ? entries.stream().limit(1).map(entry -> entry.server.address()).toList() : unanswered;
  }

  /** The servers of all entries. */
  List<InetSocketAddress> servers() {
    return entries.stream().map(entry -> entry.server.address()).distinct().toList();
  }

  /** Whether the acknowledgement of a release by this server that is started now would settle an entry that no other server's would. */
  boolean needsAcknowledgementOf(InetSocketAddress address, Duration now) {
    return entries.stream()
        .anyMatch(entry -> !entry.answered && entry.server.address().equals(address) && entry.mayActUntil.compareTo(now) <= 0);
  }

  /** A description for logs. */
  String describe(Duration now) {
    Duration since = entries.stream().filter(entry -> entry.mayHold).map(entry -> entry.recordedAt).min(Duration::compareTo).orElse(now);
    return entries.size() + " events at " + serversToRelease() + " since " + now.minus(since).toMillis() + " ms, " + (entries.stream().anyMatch(entry -> entry.inFlight)
        ? "an attempt in flight may leave more" : "act for " + Math.max(0, mayActUntil().minus(now).toMillis()) + " ms more");
  }
}
