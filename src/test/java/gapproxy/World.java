package gapproxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.api.Action;
import gapproxy.api.Event;
import gapproxy.api.Event.Outcome;
import gapproxy.api.Settings;
import gapproxy.api.Settings.Repeat;
import gapproxy.api.Settings.Role;
import gapproxy.api.Settings.Scope;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Feeds a gateway with events and checks the five rules after every step by its own bookkeeping. */
final class World {
  static final Duration SLACK = ms(16);

  /** What is known of one forward. */
  static final class Fwd {
    long req;
    int number;
    long server;
    Duration sentAt;
    Duration due;
    boolean streaming;
    boolean cancelled;
    Outcome how;
  }

  /** What is known of one req. */
  static final class Job {
    Event.Accept in;
    Duration due;
    final List<Fwd> forwards = new ArrayList<>();
    boolean ended;
    boolean state;
    boolean place;
    Duration heldSince;
    int answers;

    long out() {
      return forwards.stream().filter(f -> f.how == null).count();
    }
  }

  final Settings set;
  final Rules rules;
  final Map<Long, Event.Line> list = new TreeMap<>();
  final Map<Long, Job> jobs = new TreeMap<>();
  final Map<Long, List<Duration>> coldSends = new TreeMap<>();
  final Map<Long, List<Duration>> wentWell = new TreeMap<>();
  final List<Action> last = new ArrayList<>();
  final List<Duration> alarms = new ArrayList<>();
  Duration now = Duration.ZERO;
  int cellsAZone = 1;
  long nextReq = 1;
  long mostSeen;

  World(Settings set, long seed) {
    this.set = set;
    rules = new Rules(set, seed);
  }

  static Duration ms(long ms) {
    return Duration.ofMillis(ms);
  }

  /** Settings drawn at random; every kind of deployment that the interface allows. */
  static Settings draw(SplittableRandom r) {
    List<Settings.EndpointGroup> groups = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      groups.add(new Settings.EndpointGroup(Repeat.values()[r.nextInt(3)], Scope.values()[r.nextInt(3)],
          ms(300 + r.nextInt(3000)), 1 + i, ms(500 + r.nextInt(1500)), ms(40)));
    }
    boolean local = r.nextBoolean();
    List<Settings.ServerKind> kinds = new ArrayList<>(List.of(new Settings.ServerKind(Role.READ, 200_000),
        new Settings.ServerKind(Role.WRITE, 120_000)));
    if (r.nextBoolean()) {
      kinds.add(new Settings.ServerKind(Role.BOTH, 100_000));
    }
    return settings(groups, kinds, local, r.nextBoolean(), r.nextInt(3) == 0,
        Settings.Source.values()[r.nextInt(3)], r.nextBoolean(), r.nextBoolean(), r.nextInt(3));
  }

  static Settings settings(List<Settings.EndpointGroup> groups, List<Settings.ServerKind> kinds, boolean local,
      boolean ahead, boolean ask, Settings.Source source, boolean cancel, boolean probes, int customers) {
    List<Settings.Customer> shares = new ArrayList<>();
    for (int i = 0; i < customers; i++) {
      shares.add(new Settings.Customer(20));
    }
    return new Settings(3, 0, ms(4), groups, shares, 0.2, kinds, local, ahead, ms(300), ms(250),
        new Settings.ColdLimit(0.25, ms(12_000), 4, ms(2000)), ask, ms(5000),
        new Settings.Reports(source, 0, 1, -1, 2, 3),
        new Settings.Limits(5, cancel, cancel, probes, true, ms(1000)));
  }

  static Settings plain() {
    return settings(List.of(new Settings.EndpointGroup(Repeat.REPLAYABLE, Scope.ALL, ms(5000), 1, ms(1500), ms(40))),
        List.of(new Settings.ServerKind(Role.READ, 200_000), new Settings.ServerKind(Role.WRITE, 120_000)),
        true, false, false, Settings.Source.NONE, true, true, 0);
  }

  /** The same among more gateways, and with reports from that source. */
  static Settings grown(Settings s, int gateways, Settings.Source source) {
    return new Settings(gateways, s.zone(), s.tick(), s.groups(), s.customers(), s.overShareWorth(), s.kinds(),
        s.writersRead(), s.holdAhead(), s.releaseWithin(), s.drainGrace(), s.cold(), s.listOnRequest(),
        s.askListWithin(), new Settings.Reports(source, 0, 1, -1, 2, 3), s.limits());
  }

  Event.Line line(long id, int kind, int cell, Event.State state, Duration up) {
    return new Event.Line(id, cell / cellsAZone, kind, cell, state, 1, up);
  }

  /** Tells the gateway of servers: ids from 1, kinds in turn, so many in each of the cells. */
  void start(int cells, int each) {
    List<Event.Line> lines = new ArrayList<>();
    for (int c = 0; c < cells; c++) {
      for (int i = 0; i < each; i++) {
        lines.add(line(1 + c * 100L + i, i % set.kinds().size(), c, Event.State.READY, null));
      }
    }
    lines.forEach(l -> list.put(l.server(), l));
    step(new Event.ServerList(Event.ListForm.REMEMBERED, lines));
  }

  void tell(Event.Line l) {
    list.put(l.server(), l);
    step(new Event.ServerList(Event.ListForm.CHANGES, List.of(l)));
  }

  Job accept(int group, long session, long shared, double prompt, double sharedPart, Duration budget) {
    Job j = new Job();
    j.in = new Event.Accept(nextReq++, group, 0, session, budget, shared, prompt, sharedPart, 300, false);
    j.due = now.plus(budget);
    jobs.put(j.in.req(), j);
    step(j.in);
    return j;
  }

  /** Ends a forward; a stream's end finishes the req. */
  void end(Fwd f, Outcome how, long note) {
    Job j = jobs.get(f.req);
    f.how = how;
    if (how == Outcome.READ) {
      wentWell(f.server);
    }
    boolean first = how == Outcome.DONE || f.streaming;
    j.answers += first && !j.ended ? 1 : 0;
    j.ended |= first;
    if (how == Outcome.READ) {
      j.state = true;
    } else if (how == Outcome.DONE || how == Outcome.FULL && note == 1) {
      j.state = false;
    }
    j.heldSince = now;
    step(new Event.Ended(f.req, f.number, how, f.server, note, j.ended, now.minus(f.sentAt), new double[0]));
  }

  private void wentWell(long server) {
    List<Duration> times = wentWell.computeIfAbsent(server, k -> new ArrayList<>());
    times.add(now);
    mostSeen = Math.max(mostSeen, inSpan(times));
  }

  void begin(Fwd f) {
    wentWell(f.server);
    f.streaming = true;
    jobs.get(f.req).state = false;
    jobs.get(f.req).place = false;
    step(new Event.FirstToken(f.req, f.number, now.minus(f.sentAt), f.server));
  }

  void step(Event... events) {
    last.clear();
    last.addAll(rules.step(now, Arrays.asList(events)));
    last.forEach(this::acted);
    for (Job j : jobs.values()) {
      boolean running = j.forwards.stream().anyMatch(f -> f.streaming);
      assertTrue(j.ended || running || now.compareTo(j.due.plus(SLACK)) <= 0, "a req was lost");
      assertTrue(j.out() > 0 || !(j.state || j.place)
          || now.minus(j.heldSince).compareTo(set.releaseWithin()) <= 0, "a state or place is pinned");
    }
  }

  private void acted(Action a) {
    if (a instanceof Action.Forward f) {
      forwarded(f);
    } else if (a instanceof Action.Hold h) {
      assertTrue(set.holdAhead(), "a hold where none is allowed");
      mayUse(h.server());
      jobs.get(h.req()).place = true;
      jobs.get(h.req()).heldSince = now;
    } else if (a instanceof Action.Drop d) {
      jobs.get(d.req()).state = false;
      jobs.get(d.req()).place = false;
    } else if (a instanceof Action.PushBack p) {
      answered(jobs.get(p.req()));
      Job j = jobs.get(p.req());
      Settings.EndpointGroup g = set.groups().get(j.in.group());
      assertTrue(g.repeat() == Repeat.REPLAYABLE || g.repeat() == Repeat.KEYED && g.scope() == Scope.ALL
          || j.forwards.stream().noneMatch(this::mayHaveRun), "pushed back what may have run");
    } else if (a instanceof Action.Abort b) {
      answered(jobs.get(b.req()));
    } else if (a instanceof Action.Cancel c) {
      assertTrue(set.limits().cancel(), "a cancel where none is allowed");
      jobs.get(c.req()).forwards.get(c.forward()).cancelled = true;
    } else if (a instanceof Action.Alarm t) {
      alarms.add(t.at());
    } else if (a instanceof Action.Probe) {
      assertTrue(set.limits().probes(), "a probe where none is allowed");
    }
  }

  private void answered(Job j) {
    assertTrue(!j.ended && j.answers == 0, "a second final answer");
    assertTrue(now.compareTo(j.due.plus(SLACK)) <= 0, "an answer past the budget");
    j.ended = true;
    j.answers++;
  }

  private boolean mayHaveRun(Fwd f) {
    return set.kinds().get(list.get(f.server).kind()).role() != Role.READ && (f.how == null
        || !List.of(Outcome.FULL, Outcome.NO_CONNECTION, Outcome.NOT_SENT, Outcome.READ).contains(f.how));
  }

  private void mayUse(long server) {
    assertTrue(list.containsKey(server) && list.get(server).state() == Event.State.READY, "sent past a drain");
  }

  private void forwarded(Action.Forward a) {
    Job j = jobs.get(a.req());
    Event.Line to = list.get(a.server());
    Settings.EndpointGroup g = set.groups().get(j.in.group());
    mayUse(a.server());
    assertTrue(!j.ended && j.forwards.stream().noneMatch(f -> f.streaming), "sent after the end");
    assertTrue(j.forwards.size() < set.limits().forwards(), "too many forwards");
    assertTrue(set.limits().copies() || j.out() == 0, "a second copy");
    for (Fwd f : j.forwards) {
      Event.Line at = list.get(f.server);
      if (mayHaveRun(f) && g.repeat() != Repeat.REPLAYABLE) {
        assertTrue(g.repeat() == Repeat.KEYED && now.minus(f.sentAt).compareTo(g.window()) < 0
            && (g.scope() != Scope.ZONE || at.zone() == to.zone())
            && (g.scope() != Scope.CELL || at.cell() == to.cell()), "an effect could happen twice");
      }
    }
    Fwd f = new Fwd();
    f.req = a.req();
    f.number = j.forwards.size();
    f.server = a.server();
    f.sentAt = now;
    f.due = now.plus(a.timeOut());
    j.forwards.add(f);
    if (to.upSince() != null && now.minus(to.upSince()).compareTo(set.cold().warmWithin()) < 0) {
      List<Duration> sent = coldSends.computeIfAbsent(f.server, k -> new ArrayList<>());
      sent.add(now);
      assertTrue(inSpan(sent) <= Math.max(1, mostSeen), "a cold server gets more than its like can do");
    }
  }

  private long inSpan(List<Duration> times) {
    return times.stream().filter(t -> now.minus(t).compareTo(set.cold().tipSpan()) < 0).count();
  }
}
