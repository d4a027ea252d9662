package gapproxy.audit;

import gapproxy.audit.Traffic.Answer;
import gapproxy.audit.Traffic.Left;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the five rules against the observed traffic, as it happens; {@link #finish} returns the result. It relies on nothing that the
 * gateways report about themselves. Belongs to the loop on which the traffic is reported. The rules, within the {@link Limits}:
 * <ol>
 * <li>Each req gets exactly one final answer, and this answer or its first token within the time budget.
 * <li>A non-replayable req is executed at most once, and a keyed one again only under its key and within the window.
 * <li>A gateway sends no forward to a server once the drain grace has passed since it was told not to use the server.
 * <li>Gateways that know of a server's start do not overload it while it is cold.
 * <li>A held state or reservation is released within the release time after the last open forward of its req has ended.
 * </ol>
 */
public final class Audit implements Traffic {
  /**
   * The limits that the rules are checked against.
   *
   * @param drainGrace how long a gateway may still use a server after it was told not to
   * @param release how long a held resource may stay held once no forward of its req is open
   * @param window how long the model servers recognize repeats of a keyed req
   * @param slack how long a message may take between two observers
   */
  public record Limits(Duration drainGrace, Duration release, Duration window, Duration slack) {}

  /** A violation of rule 1 to 5; rule 0 stands for work that continued long after its client disconnected. */
  public record Violation(int rule, Duration at, String description) {}

  private static final int MAX_VIOLATIONS_PER_RULE = 1000;

  /** One try of a client: a req as sent to one gateway, first or repeated. */
  private static final class Submission {
    final Duration sentAt;
    final Duration deadline;
    final String gateway;
    // Counts the starts of the gateway up to the process that got the req.
    final int incarnation;
    final String repeat;
    Duration firstTokenAt;
    boolean ended;

    Submission(Duration sentAt, Duration deadline, String gateway, int incarnation, String repeat) {
      this.sentAt = sentAt;
      this.deadline = deadline;
      this.gateway = gateway;
      this.incarnation = incarnation;
      this.repeat = repeat;
    }
  }

  /** A held state or a reservation at an engine. */
  private static final class HeldResource {
    final long engine;
    final String req;
    final String gateway;
    final int incarnation;
    // When the last open forward of the req ended, or null while one is open.
    Duration idleSince;

    HeldResource(long engine, String req, String gateway, int incarnation, Duration idleSince) {
      this.engine = engine;
      this.req = req;
      this.gateway = gateway;
      this.incarnation = incarnation;
      this.idleSince = idleSince;
    }
  }

  /** A forward that a cold engine received, and whether its gateway had been told of the start. */
  private record ReceivedForward(Duration at, boolean startKnown) {}

  /** An execution of a req by an engine, with the idempotency key if there was one. */
  private record Execution(Duration at, String id, String key) {}

  private final Limits limits;
  private final Map<String, Submission> submissions = new LinkedHashMap<>();
  // Number of starts of each gateway.
  private final Map<String, Integer> incarnations = new HashMap<>();
  private final Set<String> runningGateways = new HashSet<>();
  // By gateway and engine: when the gateway was told that the engine must not be used.
  private final Map<String, Map<Long, Duration>> unusableSince = new HashMap<>();
  // Number of open forwards by the gateway's id of the req.
  private final Map<String, Integer> openForwards = new HashMap<>();
  // The gateway that sent a forward, by the forward's id.
  private final Map<String, String> gatewayOfForward = new HashMap<>();
  // Keyed by the engine and the id of the state or reservation.
  private final Map<String, HeldResource> heldResources = new LinkedHashMap<>();
  // By the client's id of the req.
  private final Map<String, List<Execution>> executions = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private final int[] violationCounts = new int[6];
  private final Map<String, Long> outcomes = new java.util.TreeMap<>();
  private final Set<Long> unreachableEngines = new HashSet<>();
  private final Map<String, Duration> allowedDelay = new HashMap<>();
  // When clients disconnected, by the client's id of the req.
  private final Map<String, Duration> hangUpTimes = new HashMap<>();
  // The incarnation of the gateway when it sent a forward, by the forward's id.
  private final Map<String, Integer> incarnationOfForward = new HashMap<>();
  // The client's id of the req, by the forward's id.
  private final Map<String, String> reqOfForward = new HashMap<>();
  // Start times of engines that started cold.
  private final Map<Long, Instant> coldStarts = new HashMap<>();
  // Forwards that engines which started cold have received since their start.
  private final Map<Long, List<ReceivedForward>> forwardsSinceStart = new HashMap<>();
  // By gateway and engine: the start times that the gateway was told.
  private final Map<String, Map<Long, Instant>> knownStarts = new HashMap<>();
  // By the forward's id: how long after the close its engine noticed it.
  private final Map<String, Duration> closeDelays = new HashMap<>();
  private long taken;
  private Duration longestHeld = Duration.ZERO;
  private String longestHeldBy = "none";

  public Audit(Limits limits) {
    this.limits = limits;
  }

  /**
   * Marks an engine as unreachable or as reachable again. What it holds can't be released meanwhile, so the release time starts anew when
   * it is reachable again.
   */
  public void setUnreachable(Duration at, long engine, boolean unreachable) {
    if (unreachable) {
      unreachableEngines.add(engine);
    } else if (unreachableEngines.remove(engine)) {
      heldResources.values().stream().filter(h -> h.engine == engine && h.idleSince != null).forEach(h -> h.idleSince = at);
    }
  }

  /** Extends all limits of a gateway by a span in which it could not act, for example since its process was stalled. */
  public void allowDelay(String gateway, Duration span) {
    allowedDelay.merge(gateway, span, Duration::plus);
  }

  /** Records that an engine saw the close of a forward late; the gateway is not blamed for that delay. */
  public void allowLateClose(String id, Duration by) {
    closeDelays.merge(id, by, (a, b) -> a.compareTo(b) > 0 ? a : b);
  }

  private Duration slack(String gateway) {
    return limits.slack.plus(allowedDelay.getOrDefault(gateway, Duration.ZERO));
  }

  /** Number of forwards that have not ended at their engines. */
  public int openForwardCount() {
    return openForwards.values().stream().mapToInt(i -> i).sum();
  }

  /** Number of violations up to now, including those of rule 0. */
  public int violationCount() {
    return violationCounts[0] + violationCounts[1] + violationCounts[2] + violationCounts[3] + violationCounts[4] + violationCounts[5];
  }

  private void addViolation(int rule, Duration at, String what) {
    if (violationCounts[rule]++ < MAX_VIOLATIONS_PER_RULE) {
      violations.add(new Violation(rule, at, what));
    }
  }

  private void countOutcome(String how) {
    outcomes.merge(how, 1L, Long::sum);
  }

  // ---- rule 1

  @Override
  public void asked(Duration at, String req, int tryNumber, String gateway, String repeat, Duration budget) {
    taken++;
    hangUpTimes.remove(req);
    List<Execution> earlier = executions.get(req);
    if (earlier != null && tryNumber == 0 && at.minus(earlier.get(0).at).compareTo(limits.window) > 0) {
      // The client itself sends the req again after the window, so it may be executed again.
      executions.remove(req);
    }
    submissions.put(req + "#" + tryNumber, new Submission(at, at.plus(budget), gateway, incarnations.getOrDefault(gateway, 0), repeat));
  }

  @Override
  public void firstToken(Duration at, String req, int tryNumber) {
    Submission submission = submissions.get(req + "#" + tryNumber);
    if (submission != null && submission.firstTokenAt == null) {
      submission.firstTokenAt = at;
      if (at.compareTo(submission.deadline.plus(slack(submission.gateway))) > 0) {
        addViolation(1, at, req + "#" + tryNumber + ": first token after its budget");
      }
    }
  }

  @Override
  public void answered(Duration at, String req, int tryNumber, Answer how) {
    Submission submission = submissions.get(req + "#" + tryNumber);
    countOutcome(how.name().toLowerCase(java.util.Locale.ROOT));
    if (submission == null || submission.ended) {
      addViolation(1, at, req + "#" + tryNumber + ": a second final answer (" + how + ")");
      return;
    }
    submission.ended = true;
    if (submission.firstTokenAt == null && at.compareTo(submission.deadline.plus(slack(submission.gateway))) > 0) {
      addViolation(1, at, req + "#" + tryNumber + ": final answer " + at.minus(submission.deadline).toMillis() + " ms after its budget");
    }
    if (how == Answer.PUSHED_BACK) {
      checkPushBack(at, req, tryNumber, submission);
    }
  }

  @Override
  public void after(Duration at, String req, int tryNumber, String what) {
    addViolation(1, at, req + "#" + tryNumber + ": sent after its final answer: " + what);
  }

  @Override
  public void left(Duration at, String req, int tryNumber, Left how) {
    Submission submission = submissions.get(req + "#" + tryNumber);
    countOutcome(how.name().toLowerCase(java.util.Locale.ROOT));
    if (submission == null || submission.ended) {
      return;
    }
    submission.ended = true;
    if (how == Left.HUNG_UP) {
      hangUpTimes.put(req, at);
    }
    if (how == Left.LOST && gatewayStillRunning(submission)) {
      addViolation(1, at, req + "#" + tryNumber + ": its connection ended without a final answer");
    }
  }

  private boolean gatewayStillRunning(Submission submission) {
    return runningGateways.contains(submission.gateway) && incarnations.getOrDefault(submission.gateway, 0) == submission.incarnation;
  }

  /**
   * Records that a gateway that had been told to stop is killed now. Reqs that it accepted after {@code owedFrom} and has not answered
   * violate rule 1, since it should have refused them.
   *
   * @param owedFrom when the gateway had to refuse new reqs at the latest
   */
  public void killed(Duration at, String gateway, Duration owedFrom) {
    submissions.forEach((name, submission) -> {
      if (!submission.ended && submission.gateway.equals(gateway) && gatewayStillRunning(submission)
          && submission.sentAt.compareTo(owedFrom) > 0) {
        addViolation(1, at, name + ": taken " + submission.sentAt.minus(owedFrom).toMillis()
            + " ms after its gateway could still refuse it, and not answered at the kill");
      }
    });
  }

  // ---- rule 2

  @Override
  public void ran(Duration at, long engine, String req, String id, String key) {
    List<Execution> earlier = executions.computeIfAbsent(req, r -> new ArrayList<>());
    Submission submission = latestSubmission(req);
    if (!earlier.isEmpty() && submission != null) {
      if (submission.repeat.equals("non_replayable")) {
        addViolation(2, at, req + ": ran again at " + engine + " (" + id + ")");
      } else if (submission.repeat.equals("keyed")) {
        Execution first = earlier.get(0);
        if (key == null || !key.equals(first.key) || at.minus(first.at).compareTo(limits.window) > 0) {
          addViolation(2, at, req + ": ran again at " + engine + " without its key or past its window (" + id + ")");
        }
      }
    }
    earlier.add(new Execution(at, id, key));
  }

  private Submission latestSubmission(String req) {
    for (int tryNumber = 9; tryNumber >= 0; tryNumber--) {
      Submission submission = submissions.get(req + "#" + tryNumber);
      if (submission != null) {
        return submission;
      }
    }
    return null;
  }

  private void checkPushBack(Duration at, String req, int tryNumber, Submission submission) {
    if (submission.repeat.equals("non_replayable") && executions.containsKey(req)) {
      addViolation(2, at, req + "#" + tryNumber + ": told to come again after it had run");
    }
  }

  // ---- rule 3

  @Override
  public void told(Duration at, String gateway, long engine, boolean usable, Instant start) {
    // A list without the start time does not make the gateway forget it.
    if (start != null) {
      knownStarts.computeIfAbsent(gateway, g -> new HashMap<>()).merge(engine, start, (a, b) -> a.isAfter(b) ? a : b);
    }
    Map<Long, Duration> unusable = unusableSince.computeIfAbsent(gateway, g -> new HashMap<>());
    if (usable) {
      unusable.remove(engine);
    } else {
      unusable.putIfAbsent(engine, at);
    }
  }

  private void checkServerUsable(Duration at, long engine, String gateway, String what) {
    Duration since = unusableSince.getOrDefault(gateway, Map.of()).get(engine);
    if (since != null && at.compareTo(since.plus(limits.drainGrace).plus(slack(gateway))) > 0) {
      addViolation(3, at, what + " at " + engine + ", " + at.minus(since).toMillis() + " ms after " + gateway + " was told");
    }
  }

  @Override
  public void forward(Duration at, long engine, String gateway, String req, String id, boolean read) {
    checkServerUsable(at, engine, gateway, "forward " + id);
    Instant start = coldStarts.get(engine);
    if (start != null) {
      forwardsSinceStart.computeIfAbsent(engine, e -> new ArrayList<>())
          .add(new ReceivedForward(at, start.equals(knownStarts.getOrDefault(gateway, Map.of()).get(engine))));
    }
    String name = gatewayReqId(id);
    openForwards.merge(name, 1, Integer::sum);
    gatewayOfForward.put(id, gateway);
    reqOfForward.put(id, req);
    incarnationOfForward.put(id, incarnations.getOrDefault(gateway, 0));
    heldResources.forEach((held, h) -> {
      if (h.req.equals(name)) {
        checkReleaseTime(at, h, held);
        h.idleSince = null;
      }
    });
  }

  /** The gateway's id of the req, taken from the id of a forward or a reservation. */
  private static String gatewayReqId(String id) {
    return id.contains("-") ? id.substring(0, id.lastIndexOf('-')) : id;
  }

  // ---- rule 5

  @Override
  public void ended(Duration at, long engine, String id) {
    String name = gatewayReqId(id);
    if (openForwards.merge(name, -1, Integer::sum) <= 0) {
      openForwards.remove(name);
      heldResources.values().stream().filter(h -> h.req.equals(name)).forEach(h -> h.idleSince = at);
    }
    String gateway = gatewayOfForward.remove(id);
    incarnationOfForward.remove(id);
    Duration hungUpAt = hangUpTimes.get(reqOfForward.remove(id));
    if (hungUpAt != null && gateway != null && runningGateways.contains(gateway) && !unreachableEngines.contains(engine)
        && at.compareTo(hungUpAt.plus(limits.release).plus(slack(gateway)).plus(closeDelays.getOrDefault(id, Duration.ZERO))) > 0) {
      addViolation(0, at, "forward " + id + " ran on for " + at.minus(hungUpAt).toMillis() + " ms after its client was gone");
    }
  }

  @Override
  public void holds(Duration at, long engine, String req, String id) {
    String gateway = gatewayOfForward.getOrDefault(id, req);
    int incarnation = incarnationOfForward.getOrDefault(id, incarnations.getOrDefault(gateway, 0));
    heldResources.put(engine + "/" + id, new HeldResource(engine, gatewayReqId(id), gateway, incarnation,
        openForwards.containsKey(gatewayReqId(id)) ? null : at));
  }

  @Override
  public void freed(Duration at, long engine, String id, boolean taken) {
    HeldResource resource = heldResources.remove(engine + "/" + id);
    if (resource != null) {
      checkReleaseTime(at, resource, id);
    }
  }

  private void checkReleaseTime(Duration at, HeldResource resource, String id) {
    boolean killed = incarnations.containsKey(resource.gateway)
        && (!runningGateways.contains(resource.gateway) || incarnations.get(resource.gateway) != resource.incarnation);
    if (resource.idleSince == null || unreachableEngines.contains(resource.engine) || killed) {
      // A killed gateway can't release anything, and its next process does not know what the killed one held.
      return;
    }
    Duration held = at.minus(resource.idleSince);
    if (held.compareTo(longestHeld) > 0) {
      longestHeld = held;
      longestHeldBy = id + " at " + resource.engine + " until " + at.toMillis() + " ms";
    }
    if (held.compareTo(limits.release.plus(slack(resource.gateway))) > 0) {
      addViolation(5, at, id + " at " + resource.engine + " was held " + held.toMillis() + " ms with no forward out");
    }
  }

  // ---- rule 4 and the rest

  @Override
  public void started(Duration at, long engine, Instant start) {
    coldStarts.put(engine, start);
    forwardsSinceStart.remove(engine);
  }

  /**
   * Counts as a violation only if at least two thirds of the forwards came from gateways that had been told of the start; others could not
   * know.
   */
  @Override
  public void tipped(Duration at, long engine, Duration span, String why) {
    List<ReceivedForward> recent = forwardsSinceStart.getOrDefault(engine, List.of()).stream()
        .filter(w -> at.minus(w.at).compareTo(span) <= 0).toList();
    long informed = recent.stream().filter(ReceivedForward::startKnown).count();
    if (3 * informed >= 2 * recent.size()) {
      addViolation(4, at, "server " + engine + " was pushed over: " + why + "; " + informed + " by gateways told of its start");
    }
  }

  @Override
  public void gateway(Duration at, String gateway, boolean isUp) {
    if (isUp) {
      incarnations.merge(gateway, 1, Integer::sum);
      runningGateways.add(gateway);
      unusableSince.remove(gateway);
      knownStarts.remove(gateway);
    } else {
      runningGateways.remove(gateway);
      heldResources.entrySet().removeIf(e -> e.getValue().gateway.equals(gateway));
    }
  }

  /** Returns the result up to now; reqs without an answer after their deadline count as violations of rule 1. */
  public Report finish(Duration at) {
    submissions.forEach((name, submission) -> {
      if (!submission.ended && gatewayStillRunning(submission) && at.compareTo(submission.deadline.plus(slack(submission.gateway))) > 0) {
        addViolation(1, at, name + ": no final answer");
      }
    });
    heldResources.forEach((id, h) -> checkReleaseTime(at, h, id));
    long open = submissions.values().stream().filter(submission -> !submission.ended).count();
    return new Report(taken, Map.copyOf(new java.util.TreeMap<>(outcomes)), open, longestHeld.toMillis(), longestHeldBy,
        List.copyOf(violations), violationCounts.clone());
  }

  /**
   * The result of an audit.
   *
   * @param taken number of reqs that clients sent, repeats included
   * @param ends number of reqs by how they ended, as their clients saw it
   * @param unfinished tries of clients that had not ended
   * @param longestHeldBy the held state or reservation that was held longest without an open forward, and until when
   * @param violations the first violations of each rule
   * @param counts number of violations by rule, 0 to 5
   */
  public record Report(long taken, Map<String, Long> ends, long unfinished, long longestHeldMs, String longestHeldBy,
      List<Violation> violations, int[] counts) {
    public boolean passed() {
      return violations.isEmpty();
    }
  }
}
