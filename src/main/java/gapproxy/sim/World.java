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
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A fleet on virtual time: gateways, engines, list and clients of one seed, with faults drawn from it. The rules are judged
 * after every step, and at the end nothing may be left behind.
 */
public final class World {
  private static final Duration BUDGET = Duration.ofSeconds(3), SLACK = Duration.ofMillis(60),
      GRACE = Duration.ofMillis(500), RELEASE = Duration.ofSeconds(1), TROUBLE = Duration.ofSeconds(5),
      LIMIT = Duration.ofSeconds(60), RECOVERED = Duration.ofSeconds(12), WINDOW = Duration.ofSeconds(10);
  private static final Map<String, Config> CONFIGS = new ConcurrentHashMap<>();

  /** What a seed showed; {@code found} is empty where all held. */
  public record Verdict(long seed, List<String> found, long steps, Duration span, long taken, Map<String, Long> ends,
      Map<String, Integer> faults, Map<String, Long> coverage, long bytes, long trace, List<Sequence.Step> timeline) {
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
  private final Audit audit = new Audit(new Audit.Figures(GRACE, RELEASE, WINDOW, SLACK));
  private final List<Slot> slots = new ArrayList<>();
  private final Map<String, Integer> faults = new TreeMap<>();
  private final List<String> found = new ArrayList<>();
  private final Sequence sequence;                            // or null
  private final Traffic traffic;
  private Fleet fleet;
  private ChatClient clients;
  private final List<Plan.Fault> armed = new ArrayList<>();   // that wait for a stage
  private final Map<String, Long> coverage = new TreeMap<>();
  private int asks, open, doneLate, impatient, leaving;
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
    sequence = told ? new Sequence(scheduler::now) : null;
    traffic = told ? sequence.over(audit) : audit;
  }

  private void tell(String at, String what) {
    if (sequence != null) {
      sequence.note(at, what);
    }
  }

  /** Runs it to its end or to the first step that breaks something. */
  public Verdict run() {
    try {
      begin();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    scheduler.run(LIMIT, () -> {
      if (!armed.isEmpty()) {
        fire();
      }
      return audit.brokenSoFar() == 0 && !ended;
    });
    audit.finish(loop.now()).broken().forEach(b -> found.add("rule " + b.rule() + ": " + b.what()));
    if (found.isEmpty()) {
      leftBehind();
    }
    Audit.Report r = audit.finish(loop.now());
    return new Verdict(plan.seed(), List.copyOf(found), scheduler.done(), scheduler.now(), r.taken(), r.ends(), faults, coverage, net.bytes,
        net.trace(), sequence == null ? List.of() : sequence.steps());
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
    fleet = new Fleet(new Fleet.Size(plan.zones(), 1, plan.readers(), plan.writers(), plan.pace()), loop, net.host("world", loop), traffic,
        chance.nextLong(), "sim");
    clients = new ChatClient(loop, new HttpClient(loop, net.host("clients", loop), Duration.ofSeconds(5)), traffic);
    for (int i = 0; i < plan.gateways(); i++) {
      Slot s = new Slot("g" + i);
      s.at = new InetSocketAddress("127.0.0.1", 8_000 + i);
      slots.add(s);
      up(s);
    }
    loop.after(Duration.ofMillis(300), this::next);
    for (Plan.Fault f : plan.faults()) {
      loop.after(Duration.ofMillis(f.at()), () -> {
        if (f.when().isEmpty()) {
          fault(f);
        } else {
          armed.add(f);
        }
      });
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
    traffic.gateway(loop.now(), s.name, true);
    s.loop = new SimLoop(scheduler);
    s.host = (SimNet.Host) net.host(s.name, s.loop);
    int zone = Integer.parseInt(s.name.substring(1)) % plan.zones();
    Config c = CONFIGS.computeIfAbsent(s.name + "/" + plan.zones() + "/" + plan.gateways() + "/" + fleet.list.address().getPort(),
        k -> config(s, zone, plan.zones(), plan.gateways()));
    s.gateway = new Gateway(c, s.loop, s.host, disk, chance.nextLong());
    s.gateway.watch((stage, event) -> coverage.merge(stage + " / " + event, 1L, Long::sum));
    s.gateway.start();
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
    boolean leaves = !late && chance.nextInt(leaving > 0 ? 2 : 6) == 0;
    Ask a = new Ask("r" + asks++, kind < 2 ? "order" : kind < 4 ? "tweak" : "draft", repeat, chance.nextInt(4) > 0,
        chance.nextInt(3) == 0 ? "" : "shared words", "s" + chance.nextInt(8), "ask " + "word ".repeat(words),
        1 + (chance.nextInt(8) == 0 ? chance.nextInt(90) : chance.nextInt(6)), BUDGET, leaves ? Duration.ofMillis(chance.nextInt(200)) : null,
        leaves ? 1 + chance.nextInt(4) : 0, late ? 3 : impatient > 0 ? 4 : 1,
        chance.nextBoolean() && impatient == 0);
    boolean returns = leaves && repeat.equals("keyed") && chance.nextBoolean();
    Duration away = Duration.ofMillis(chance.nextBoolean() ? 50 + chance.nextInt(2000) : WINDOW.toMillis() + 500);
    Slot s = slots.get(chance.nextInt(slots.size()));
    send(a, s, late, returns ? away : null);
  }

  /** @param back after how long a client that left comes back with the same mark and key, within the window or past it; or null */
  private void send(Ask a, Slot s, boolean late, Duration back) {
    open++;
    clients.ask(a, () -> new ChatClient.Target(s.name, s.at), o -> {
      open--;
      if (back != null && o.how() == null) {
        Ask again = new Ask(a.req(), a.model(), a.repeat(), a.stream(), a.system(), a.session(), a.text(), a.answer(), a.budget(), null, 0,
            0, true);
        loop.after(back, () -> send(again, s, false, null));
      }
      doneLate += late && o.how() == Traffic.Answer.DONE ? 1 : 0;
      tell(Sequence.CLIENTS, a.req() + " (" + a.repeat() + ", " + s.name + "): " + (o.how() == null ? "left" : o.how()) + ", tries " + o.tries());
    });
  }

  // ---- faults

  private Set<String> stages() {
    Set<String> all = new TreeSet<>();
    slots.stream().filter(s -> s.gateway != null).forEach(s -> all.addAll(s.gateway.stages()));
    return all;
  }

  private void fire() {
    Set<String> now = stages();
    for (Plan.Fault f : List.copyOf(armed)) {
      if (now.contains(f.when()) || loop.now().compareTo(TROUBLE) > 0) {
        armed.remove(f);
        fault(f);
      }
    }
  }

  private void fault(Plan.Fault f) {
    String kind = f.kind();
    Duration lasts = Duration.ofMillis(f.lasts());
    faults.merge(kind, 1, Integer::sum);
    List<Engine> all = List.copyOf(fleet.engines());
    Engine e = all.get(f.which() % all.size());
    Slot slot = slots.get(f.which() % slots.size());
    stages().forEach(s -> coverage.merge(s + " / " + kind, 1L, Long::sum));
    tell(Sequence.WORLD, kind + " for " + lasts.toMillis() + " ms (engine " + e.spec.id() + ", " + slot.name + ")");
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
      case "one-way cut" -> {
        cut(slot, f.amount(), true);
        audit.excuse(slot.name, lasts);                       // what it does not hear, or can't say, is not its fault
        all.forEach(x -> audit.deaf(loop.now(), x.spec.id(), true));
      }
      case "connects hang" -> {
        net.full(e.address(), true);
        audit.deaf(loop.now(), e.spec.id(), true);
      }
      case "narrow network" -> net.narrow = 300_000 + 2_000_000 * f.amount();
      case "clock jumps" -> slot.loop.jump(Duration.ofMillis((long) (10_000 * (f.amount() - 0.5))));
      case "reports late" -> all.forEach(x -> x.faults.reportLate = Duration.ofMillis((long) (3000 * f.amount())));
      case "reports wrong" -> e.faults.reportWrong = 1 + (int) (2.99 * f.amount());
      case "list lost" -> fleet.list.losing = true;
      case "list old" -> fleet.list.old = true;
      case "drains in waves" -> {
        for (int i = 0; i < all.size(); i++) {
          Engine x = all.get(i);
          loop.after(lasts.multipliedBy(i).dividedBy(all.size()), () -> fleet.say(x, ServerList.State.DRAINING));
          loop.after(lasts.multipliedBy(i + 1).dividedBy(all.size()), () -> fleet.say(x, ServerList.State.READY));
        }
      }
      case "torn list" -> {
        disk.tear(f.amount());
        die(slot, lasts);
      }
      case "retries at once" -> impatient++;
      case "hang-ups" -> leaving++;
      case "memory full" -> all.stream().filter(x -> x.spec.role().equals(e.spec.role()))
          .forEach(x -> x.faults.memoryTaken = 0.99 + 0.01 * f.amount());
      default -> throw new IllegalStateException(kind);
    }
    loop.after(lasts, () -> heal(f, e, slot));
  }

  private void cut(Slot s, double amount, boolean on) {
    String from = amount < 0.33 ? s.name : amount < 0.67 ? "world" : s.name;
    String to = amount < 0.33 ? "world" : amount < 0.67 ? s.name : "clients";
    net.cut(from, to, on);
  }

  private void heal(Plan.Fault f, Engine e, Slot slot) {
    switch (f.kind()) {
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
      case "one-way cut" -> {
        cut(slot, f.amount(), false);
        fleet.engines().forEach(x -> audit.deaf(loop.now(), x.spec.id(), x.faults.silent || !x.faults.cutOff.isEmpty()));
      }
      case "connects hang" -> {
        net.full(e.address(), false);
        audit.deaf(loop.now(), e.spec.id(), e.faults.silent);
      }
      case "narrow network" -> net.narrow = 0;
      case "reports late" -> fleet.engines().forEach(x -> x.faults.reportLate = Duration.ZERO);
      case "reports wrong" -> e.faults.reportWrong = 0;
      case "list lost" -> fleet.list.losing = false;
      case "list old" -> fleet.list.old = false;
      case "retries at once" -> impatient--;
      case "hang-ups" -> leaving--;
      case "memory full" -> fleet.engines().forEach(x -> x.faults.memoryTaken = 0);
      default -> { }
    }
  }

  private void die(Slot s, Duration lasts) {
    if (s.gateway == null) {
      return;
    }
    traffic.gateway(loop.now(), s.name, false);
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
