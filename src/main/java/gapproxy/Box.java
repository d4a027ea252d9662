package gapproxy;

import gapproxy.api.Event;
import gapproxy.api.Settings;
import gapproxy.api.Settings.Role;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** What the list and the reports say of one model server, and what this gateway has out there. */
abstract class Box extends Mail.Actor {
  record Kept(double tokens, Duration at) {}

  private static final Duration LONG = Duration.ofDays(1);
  final long id;
  private final Settings set;
  final Map<Long, Kept> kept = new HashMap<>();
  final Deque<Kept> recent = new ArrayDeque<>();              // tokens sent lately, for the reports' lag
  Event.Line line;
  Duration start;                                             // the latest told, null: long ago; an old list moves it not back
  boolean listed = true;
  int reads, open;
  double held, unread;                                        // own forwards' tokens; those to be read here
  double[] report;

  Box(Settings set, long id, Event.Line line) {
    super(true);
    this.set = set;
    this.id = id;
    this.line = line;
    this.start = line.upSince();
  }

  Settings.ServerKind kind() { return set.kinds().get(line.kind()); }

  Role role() { return kind().role(); }

  boolean reader() { return role() != Role.WRITE; }

  boolean writer() { return role() != Role.READ; }

  boolean readsItself() { return role() == Role.BOTH || set.writersRead(); }

  double memory() { return kind().memoryTokens() > 0 ? kind().memoryTokens() : Double.MAX_VALUE; }

  boolean ready() { return listed && line.state() == Event.State.READY; }

  /** How long it has run. */
  Duration warmFor(Duration now) { return start == null ? LONG : now.minus(start); }

  /** Kept tokens of a text, up to so many, if it was seen since then. */
  double kept(long key, double most, Duration since) {
    Kept k = kept.get(key);
    return k == null || k.at.compareTo(since) < 0 ? 0 : Math.min(most, k.tokens);
  }

  double reported(int column) { return column >= 0 && column < report.length ? report[column] : 0; }
}
