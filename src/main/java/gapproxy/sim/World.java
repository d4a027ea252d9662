package gapproxy.sim;

import gapproxy.audit.Audit;
import gapproxy.audit.Traffic;
import gapproxy.config.Config;
import gapproxy.config.ConfigErrors;
import gapproxy.config.ConfigReader;
import gapproxy.gateway.Gateway;
import gapproxy.http.HttpClient;
import gapproxy.list.ServerList;
import gapproxy.standin.ChatClient;
import gapproxy.standin.ChatClient.Ask;
import gapproxy.standin.Engine;
import gapproxy.standin.Fleet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A fleet on virtual time: gateways, engines, list and clients of one seed, with faults drawn from it. The rules are judged
 * after every step, and at the end nothing may be left behind.
 */
public final class World {
  private static final Duration BUDGET = Duration.ofSeconds(3), SLACK = Duration.ofMillis(60),
      GRACE = Duration.ofMillis(500), RELEASE = Duration.ofSeconds(1), TROUBLE = Duration.ofSeconds(5),
      LIMIT = Duration.ofSeconds(60), RECOVERED = Duration.ofSeconds(12);
  private static final Map<String, Config> CONFIGS = new ConcurrentHashMap<>();

  /** What a seed showed; {@code found} is empty where all held. */
  public record Verdict(long seed, List<String> found, long steps, Duration span, long taken, Map<String, Long> ends,
      Map<String, Integer> faults, long bytes, long trace, List<String> timeline) {
    public boolean held() {
      return found.isEmpty();
    }
  }

  private final class Slot {
    final String name;
    InetSocketAddress at = new InetSocketAddress("127.0.0.1", 8_000);
    SimLoop loop;
    SimNet.Host host;
    Gateway gateway;

    Slot(String name) {
      this.name = name;
    }
  }

  private final Plan plan;
  private final SplittableRandom chance;
  private final Scheduler scheduler;
  private final SimNet net;
  private final SimDisk disk = new SimDisk();
  private final SimLoop loop;
  private final Audit audit = new Audit(new Audit.Figures(GRACE, RELEASE, Duration.ofSeconds(10), SLACK));
  private final List<Slot> slots = new ArrayList<>();
  private final Map<String, Integer> faults = new TreeMap<>();
  private final List<String> found = new ArrayList<>();
  private final List<String> timeline;
  private Fleet fleet;
  private ChatClient clients;
  private int asks, open, doneLate;
  private double rate;
  private boolean ended;

  /** The run of a seed. */
  public World(long seed, boolean told) {
    this(Plan.of(seed), told);
  }

  /** @param told whether a timeline is kept */
  public World(Plan plan, boolean told) {
    this.plan = plan;
    SplittableRandom all = new SplittableRandom(plan.seed());
    chance = all.split();
    scheduler = new Scheduler(plan.shuffle() ? all.split() : null);
    net = new SimNet(scheduler, all.split(), plan.bytes());
    loop = new SimLoop(scheduler);
    timeline = told ? new ArrayList<>() : null;
  }

  private void tell(String what) {
    if (timeline != null) {
      timeline.add("%9.3f ms  %s".formatted(scheduler.now().toNanos() / 1e6, what));
    }
  }

  /** Runs it to its end or to the first step that breaks something. */
  public Verdict run() {
    try {
      begin();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    scheduler.run(LIMIT, () -> audit.brokenSoFar() == 0 && !ended);
    audit.finish(loop.now()).broken().forEach(b -> found.add("rule " + b.rule() + ": " + b.what()));
    if (found.isEmpty()) {
      leftBehind();
    }
    Audit.Report r = audit.finish(loop.now());
    return new Verdict(plan.seed(), List.copyOf(found), scheduler.done(), scheduler.now(), r.taken(), r.ends(), faults, net.bytes,
        net.trace(), timeline == null ? List.of() : timeline);
  }

  private void leftBehind() {
    if (!ended) {
      found.add("liveness: " + open + " reqs have no end, " + held() + " states are held, " + audit.forwardsOut()
          + " forwards are out, lists current: " + slots.stream().filter(s -> s.gateway != null)
              .map(s -> s.name + " " + fleet.list.current(s.name)).toList());
    }
    for (Slot s : slots) {
      if (s.gateway != null && s.gateway.open() > 0) {
        found.add("leak: " + s.name + " has " + s.gateway.open() + " reqs in hand at the end");
      }
      if (s.gateway != null && s.gateway.counts().overdue > 0) {
        found.add("safety net: " + s.name + " had to abort " + s.gateway.counts().overdue + " reqs");
      }
    }
    if (doneLate == 0) {
      found.add("liveness: no req was served after the last fault");
    }
  }

  private int held() {
    return fleet.engines().stream().mapToInt(Engine::held).sum();
  }

  // ---- what there is

  private void begin() throws IOException {
    rate = plan.rate();
    fleet = new Fleet(new Fleet.Size(plan.zones(), 1, plan.readers(), plan.writers(), plan.pace()), loop, net.host("world", loop), audit,
        chance.nextLong(), "sim");
    clients = new ChatClient(loop, new HttpClient(loop, net.host("clients", loop), Duration.ofSeconds(5)), audit);
    for (int i = 0; i < plan.gateways(); i++) {
      Slot s = new Slot("g" + i);
      s.at = new InetSocketAddress("127.0.0.1", 8_000 + i);
      slots.add(s);
      up(s);
    }
    loop.after(Duration.ofMillis(300), this::next);
    for (Plan.Fault f : plan.faults()) {
      loop.after(Duration.ofMillis(f.at()), () -> fault(f));
    }
    loop.after(TROUBLE.plus(RECOVERED), this::settle);
  }

  private void settle() {
    boolean still = open > 0 || held() > 0
        || slots.stream().anyMatch(s -> s.gateway != null && s.gateway.open() > 0);
    if (!still && audit.forwardsOut() == 0 && slots.stream().allMatch(s -> s.gateway == null || fleet.list.current(s.name))) {
      ended = true;
    } else {
      loop.after(Duration.ofMillis(50), this::settle);
    }
  }

  private void up(Slot s) throws IOException {
    audit.gateway(loop.now(), s.name, true);
    s.loop = new SimLoop(scheduler);
    s.host = (SimNet.Host) net.host(s.name, s.loop);
    int zone = Integer.parseInt(s.name.substring(1)) % plan.zones();
    Config c = CONFIGS.computeIfAbsent(s.name + "/" + plan.zones() + "/" + plan.gateways() + "/" + fleet.list.address().getPort(),
        k -> config(s, zone, plan.zones(), plan.gateways()));
    s.gateway = new Gateway(c, s.loop, s.host, disk, chance.nextLong());
    s.gateway.start();
    tell(s.name + " is up");
  }

  private Config config(Slot s, int zone, int zones, int gateways) {
    String text = """
        {"name": "%s", "listen": {"port": %d}, "zones": [%s], "zone": "zone%d", "gateways": %d, "state_dir": "sim",
         "groups": [{"name": "draft", "models": ["draft"], "importance": 3, "response_target_ms": 1500, "deadline_ms": 3000},
           {"name": "tweak", "models": ["tweak"], "repeat": "keyed", "window_ms": 10000, "deadline_ms": 3000},
           {"name": "order", "models": ["order"], "repeat": "non_replayable", "deadline_ms": 3000}],
         "kinds": [{"name": "reader", "role": "read", "memory_tokens": 250000},
                   {"name": "writer", "role": "write", "memory_tokens": 200000}],
         "rules": {"drain_grace_ms": 500, "release_within_ms": 1000, "cold": {"least_capacity": 0.3, "warm_within_ms": 4000,
                   "tip_multiple": 4, "tip_span_ms": 1000}},
         "list": {"url": "http://127.0.0.1:%d/v1/servers", "wait_ms": 1000, "ask_within_ms": 800},
         "limits": {"token_gap_ms": 2000}}
        """.formatted(s.name, s.at.getPort(), zones == 1 ? "\"zone0\"" : "\"zone0\", \"zone1\"", zone, gateways,
        fleet.list.address().getPort());
    try {
      return ConfigReader.parse(text, s.name);
    } catch (ConfigErrors e) {
      throw new IllegalStateException(e);
    }
  }

  // ---- clients

  private void next() {
    boolean late = loop.now().compareTo(TROUBLE.plus(RECOVERED).minus(BUDGET)) > 0;
    if (loop.now().compareTo(TROUBLE.plus(RECOVERED)) > 0) {
      return;
    }
    ask(late);
    boolean quiet = loop.now().compareTo(TROUBLE) > 0 && !late; // nothing to be learned while all recovers
    Duration gap = Duration.ofNanos((long) (-Math.log(1 - chance.nextDouble()) / (quiet ? 1 : rate) * 1e9));
    Duration toLate = TROUBLE.plus(RECOVERED).minus(BUDGET).minus(loop.now()).plusMillis(1);
    loop.after(quiet && gap.compareTo(toLate) > 0 ? toLate : gap, this::next);
  }

  private void ask(boolean late) {
    int kind = chance.nextInt(10);
    String repeat = kind < 2 ? "non_replayable" : kind < 4 ? "keyed" : "replayable";
    int words = chance.nextInt(4) == 0 ? 800 : 10 + chance.nextInt(60);
    boolean leaves = !late && chance.nextInt(6) == 0;
    Ask a = new Ask("r" + asks++, kind < 2 ? "order" : kind < 4 ? "tweak" : "draft", repeat, chance.nextInt(4) > 0,
        chance.nextInt(3) == 0 ? "" : "shared words", "s" + chance.nextInt(8), "ask " + "word ".repeat(words),
        1 + (chance.nextInt(8) == 0 ? chance.nextInt(90) : chance.nextInt(6)), BUDGET, leaves ? Duration.ofMillis(chance.nextInt(200)) : null,
        leaves ? 1 + chance.nextInt(4) : 0, late ? 3 : 1, chance.nextBoolean());
    Slot s = slots.get(chance.nextInt(slots.size()));
    open++;
    clients.ask(a, () -> new ChatClient.Target(s.name, s.at), o -> {
      open--;
      doneLate += late && o.how() == Traffic.Answer.DONE ? 1 : 0;
      tell(a.req() + " (" + repeat + ", " + s.name + "): " + (o.how() == null ? "left" : o.how()) + ", tries " + o.tries());
    });
  }

  // ---- faults

  private void fault(Plan.Fault f) {
    String kind = f.kind();
    Duration lasts = Duration.ofMillis(f.lasts());
    faults.merge(kind, 1, Integer::sum);
    List<Engine> all = List.copyOf(fleet.engines());
    Engine e = all.get(f.which() % all.size());
    Slot slot = slots.get(f.which() % slots.size());
    tell(kind + " for " + lasts.toMillis() + " ms (engine " + e.spec.id() + ", " + slot.name + ")");
    switch (kind) {
      case "engine dies" -> fleet.restart(e, lasts);
      case "engine silent" -> {
        e.faults.silent = true;
        audit.deaf(loop.now(), e.spec.id(), true);
      }
      case "engine slow" -> e.faults.slow = 2 + 20 * f.amount();
      case "engine fails" -> e.faults.failShare = 0.2 + 0.8 * f.amount();
      case "answers lost" -> e.faults.loseAnswers = true;
      case "resets" -> e.faults.resetShare = f.amount();
      case "slow handshake" -> e.faults.handshake = Duration.ofMillis((long) (800 * f.amount()));
      case "engine drains" -> fleet.say(e, ServerList.State.DRAINING);
      case "texts forgotten" -> e.flush();
      case "states lost" -> e.lose();
      case "site cut" -> fleet.engines().stream().filter(x -> x.spec.zone().equals("zone0")).forEach(x -> {
        x.faults.cutOff = java.util.Set.copyOf(slots.stream().filter(s -> plan.zones() == 1 || !s.name.equals("g0")).map(s -> s.name).toList());
        audit.deaf(loop.now(), x.spec.id(), true);
      });
      case "list late" -> fleet.list.lateness = Duration.ofMillis((long) (3000 * f.amount()));
      case "list fails" -> fleet.list.failing = true;
      case "gateway dies" -> die(slot, lasts);
      case "gateway stands still" -> {
        if (slot.gateway != null) {
          slot.loop.pause(lasts);
          audit.excuse(slot.name, lasts);
        }
      }
      case "slow network" -> net.slowness = 1 + 10 * f.amount();
      case "burst" -> rate *= 4;
      default -> throw new IllegalStateException(kind);
    }
    loop.after(lasts, () -> heal(kind, e));
  }

  private void heal(String kind, Engine e) {
    switch (kind) {
      case "engine silent" -> {
        e.faults.silent = false;
        audit.deaf(loop.now(), e.spec.id(), false);
      }
      case "engine slow" -> e.faults.slow = 1;
      case "engine fails" -> e.faults.failShare = 0;
      case "answers lost" -> e.faults.loseAnswers = false;
      case "resets" -> e.faults.resetShare = 0;
      case "slow handshake" -> e.faults.handshake = Duration.ZERO;
      case "engine drains" -> fleet.say(e, ServerList.State.READY);
      case "site cut" -> fleet.engines().forEach(x -> {
        x.faults.cutOff = java.util.Set.of();
        audit.deaf(loop.now(), x.spec.id(), x.faults.silent);
      });
      case "list late" -> fleet.list.lateness = Duration.ZERO;
      case "list fails" -> fleet.list.failing = false;
      case "slow network" -> net.slowness = 1;
      case "burst" -> rate /= 4;
      default -> { }
    }
  }

  private void die(Slot s, Duration lasts) {
    if (s.gateway == null) {
      return;
    }
    audit.gateway(loop.now(), s.name, false);
    s.loop.kill();
    s.host.die();
    s.gateway = null;
    loop.after(lasts, () -> {
      try {
        up(s);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    });
  }
}
