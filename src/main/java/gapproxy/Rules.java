package gapproxy;

import static gapproxy.Durations.*;

import gapproxy.api.*;
import gapproxy.api.Event.Outcome;
import gapproxy.api.Settings.*;
import java.time.Duration;
import java.util.*;
import java.util.function.*;
import java.util.random.RandomGenerator;

/**
 * The decision module of one gateway: which server gets a req, and when a req is retried, pushed back or given up. Its owner calls {@link
 * #step} with the time since the gateway's start and the events that came in, and carries out the returned actions in order; it has no
 * other input or output and is confined to its owner's thread. Events and actions are declared in gapproxy.api.
 * The ordinary path ({@link Req#plan}) follows docs/design.md with the departures named there: home cells, reads by other cells' readers,
 * and sessions with a home in another zone. Six mechanisms supplement it: 1 health (ejection and queue waits), 2 timeouts with retries, 3
 * slow start of cold servers, 4 overload pushback, 5 verification of assumed cached prefixes, 6 probing.
 */
public final class Rules {
  // Constants of the ordinary path.
  private static final double REMOTE_READ_MIN_TOKENS = 300;  // up to so many uncached tokens are read by the writer if it can
  /** From this average of open reads per reader on, writers that can read prompts and have enough free memory read them locally. */
  private static final double MAX_READS_PER_READER = 4;
  /** A reader with more than this multiple of the least busy reader's open reads is passed over. */
  private static final double MAX_READER_IMBALANCE = 2;
  private static final Duration CACHED_PREFIX_LIFETIME = Duration.ofSeconds(10);
  // Costs in the choice of a writer, as fractions of a writer's memory.
  private static final double COST_PER_1000_UNCACHED = 0.10;
  private static final double COST_OTHER_ZONE = 0.40;
  private static final double COST_PER_OPEN_READ = 0.15;  // for each open read per reader of the writer's cell
  private static final double COST_AWAY_FROM_HOME = 0.30;  // for a writer outside the session's home cell
  private static final double COST_RANDOM_SPREAD = 0.15;
  /** At full wait pressure, a cell reads all its prompts itself if it has more than 1/0.75 of the fleet's reader capacity per writer. */
  private static final double READ_IN_CELL_FACTOR = 0.75;
  private static final double OTHER_ZONE_LENDING_WEIGHT = 0.2;  // for readers in another zone than the writer
  /** At full wait pressure, a zone counts as short of writers below 1/1.1 of an equal share of the writer capacity. */
  private static final double ZONE_WRITER_SHARE_FACTOR = 1.1;
  private static final double FULL_PRESSURE_WAIT_SECONDS = 0.35;  // median wait, beyond the first bin, at full wait pressure
  /**
   * Above this median wait of writes, a fraction of the sessions get homes in other zones. The fraction grows linearly with the wait; it
   * would reach 1 at the end of the range, but is limited to 0.5.
   */
  private static final double OTHER_ZONE_MIN_WAIT_SECONDS = 0.2, OTHER_ZONE_WAIT_RANGE_SECONDS = 4;

  // Constants of the six mechanisms.
  private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(100);
  private static final int ROUNDS_PER_DECAY = 40, ROUNDS_PER_WAIT_DECAY = 10;
  private static final double BASELINE_RATE_ROUNDS = 300;
  private static final double LOAD_SMOOTHING = 0.02;  // weight of the current value, per maintenance round
  private static final double EJECTION_FAILURE_SHARE = 0.3, EJECTION_MIN_FAILURES = 1.5;
  private static final Duration FIRST_TRIAL_INTERVAL = Duration.ofMillis(800);
  private static final Duration READMIT_TRIAL_INTERVAL = Duration.ofMillis(80);  // an ejected server is readmitted below it
  private static final Duration MAX_TRIAL_INTERVAL = Duration.ofSeconds(3);
  private static final int MAX_RETRIES = 2;
  /** An attempt times out after this multiple of the time within which this fraction of similar attempts begin. */
  private static final double TIMEOUT_FACTOR = 8, TIMEOUT_QUANTILE = 0.75;
  /** The share of a cold server's overload limit that slow start uses, and the reqs that it permits in every overload window. */
  private static final double SLOW_START_SHARE = 0.75, SLOW_START_MIN_REQS = 2;
  private static final Duration MAX_GROUP_FAILURE_SPAN = Duration.ofSeconds(12);
  private static final double FIRST_WAIT_BIN_SECONDS = 0.05;  // each further bin has twice the upper edge
  private static final int WAIT_SAMPLES = 12;  // the roles' histograms of waits are halved above this sum
  private static final double OVERLOAD_LATE_SHARE = 0.35;
  private static final double HIGH_MEMORY_SHARE = 0.25;  // of a writer's memory
  // Pushback limits for reqs of the lowest and the highest importance.
  private static final double MIN_LOAD_LIMIT = 1.0, MAX_LOAD_LIMIT = 1.3;
  private static final double MIN_WAIT_LIMIT = 0.8, MAX_WAIT_LIMIT = 1.5;  // fractions of the response target
  private static final double QUICK_WAIT_SHARE = 0.25;  // of the response target, for each server of an alternative pair
  private static final int REPORT_WRITERS = 2;  // writers that a req probes, with one reader for each
  private static final double REPORT_ALL_ZONES_PROBABILITY = 0.2;
  private static final Duration REPORT_WAIT = Duration.ofMillis(30);
  private static final Duration REPORT_REQUEST_INTERVAL = Duration.ofMillis(250);
  /** How far load reports lag: a new report is assumed to cover the sends made at least this long before it. */
  private static final Duration REPORT_LAG = Duration.ofMillis(400);
  private static final Duration REPORT_LIFETIME = Duration.ofSeconds(3);
  private static final Duration GONE_SERVER_RETENTION = Duration.ofMinutes(1);  // well above the time that a server needs to get warm

  private final Settings settings;
  /** Whether load reports are obtained by probes; a probe without a reply then marks the server as unresponsive. */
  private final boolean probesForReports;
  private final RandomGenerator random;
  private final Map<Long, Server> servers = new TreeMap<>();
  private ReadyServers<Server> readyServers = new ReadyServers<>(List.of());
  private boolean readyServersOutdated;
  private final Map<Long, Req> reqs = new HashMap<>();
  private final List<Req> reqsAwaitingReports = new ArrayList<>();
  /** Servers have high priority, so that every choice of a server takes the sends before it into account. */
  private final Mailboxes mailboxes = new Mailboxes();
  private final Map<Role, RoleStatistics> roleStatistics = new EnumMap<>(Role.class);
  private final CellCapacities cells = new CellCapacities();  // without ejected servers
  /** Waits of writes whose state was held by a reader in another cell. */
  private final DurationHistogram stateMoveWaits = new DurationHistogram(FIRST_WAIT_BIN_SECONDS);
  private final Histogram lateness = new Histogram(2);  // bin 0: begun in time; bin 1: begun late or failed
  /** Token buckets of reqs within each customer's share. */
  private final double[] customerAllowances;
  private List<Action> actions = new ArrayList<>();
  private Duration now = Duration.ZERO;
  private Duration nextMaintenanceAt = Duration.ZERO;
  private Duration subscribeAt;
  private double meanPromptTokens = 2000;
  private int maintenanceRounds;

  /** @param seed the seed of all random choices */
  public Rules(Settings settings, long seed) {
    this.settings = settings;
    probesForReports = this.settings.limits().probes() && this.settings.reports().source() == Source.BY_PROBE;
    random = new SplittableRandom(seed);
    subscribeAt = settings.listOnRequest() ? Duration.ZERO : null;
    List.of(Role.values()).forEach(role -> roleStatistics.put(role,
        new RoleStatistics(FIRST_WAIT_BIN_SECONDS, LOAD_SMOOTHING, BASELINE_RATE_ROUNDS)));
    customerAllowances = new double[settings.customers().size()];
  }

  /** Handles the events that came in at one moment; the returned actions are valid for that moment. */
  public List<Action> step(Duration sinceStart, List<Event> events) {
    now = sinceStart;
    actions = new ArrayList<>();
    events.forEach(this::dispatch);
    reqsAwaitingReports.stream().filter(r -> now.compareTo(r.reportWaitEndsAt) >= 0)
        .forEach(r -> mailboxes.post(r, new Message.ReportWaitExpired()));
    if (now.compareTo(nextMaintenanceAt) >= 0) {
      runMaintenance();
    }
    mailboxes.deliverAll();
    return actions;
  }

  /** Posts an event to the actor that it concerns; events of unknown reqs and servers are ignored. */
  private void dispatch(Event event) {
    if (event instanceof Event.Accept a) {
      Req req = new Req(a);
      reqs.put(a.req(), req);
      mailboxes.post(req, a);
    } else if (event instanceof Event.OfReq o && reqs.containsKey(o.req())) {
      mailboxes.post(reqs.get(o.req()), event);
    } else if (event instanceof Event.Probed p && servers.containsKey(p.server())) {
      Server server = servers.get(p.server());
      mailboxes.post(server, new Message.ProbeResult(p.outcome(), p.report(), now.minus(p.took())));
    } else if (event instanceof Event.ServerList l) {
      applyServerList(l);
    }
  }

  /** Updates servers from a list; a complete or remembered list also removes the servers that it does not name. */
  private void applyServerList(Event.ServerList list) {
    readyServersOutdated = true;
    if (list.form() == Event.ListForm.FAILED) {
      subscribeAt = settings.listOnRequest() ? now.plus(settings.listRequestDeadline().dividedBy(8)) : null;
      return;
    }
    for (Event.Line line : list.lines()) {
      if (line.kind() < settings.kinds().size()) {
        mailboxes.post(servers.computeIfAbsent(line.server(), id -> new Server(id, line)), line);
      } else if (servers.containsKey(line.server())) {
        mailboxes.post(servers.get(line.server()), new Message.RemovedFromList());  // of a kind that is not in the settings
      }
    }
    if (list.form() != Event.ListForm.CHANGES) {
      Set<Long> listedIds = new HashSet<>();
      list.lines().forEach(line -> listedIds.add(line.server()));
      servers.values().stream().filter(s -> !listedIds.contains(s.id)).forEach(s -> mailboxes.post(s, new Message.RemovedFromList()));
    }
  }

  /** Requests the server list if due, refills allowances, ages the statistics, forgets gone servers and recounts the cells' capacities. */
  private void runMaintenance() {
    nextMaintenanceAt = now.plus(MAINTENANCE_INTERVAL);
    actions.add(new Action.Alarm(nextMaintenanceAt));
    if (subscribeAt != null && now.compareTo(subscribeAt) >= 0) {
      actions.add(new Action.Subscribe());
      subscribeAt = null;
    }
    maintenanceRounds++;
    for (int i = 0; i < customerAllowances.length; i++) {
      double rate = settings.customers().get(i).reqsPerSecond() / settings.gateways();
      customerAllowances[i] = Math.max(0, Math.min(customerAllowances[i] + rate * toSeconds(MAINTENANCE_INTERVAL), Math.max(1, 2 * rate)));
    }
    if (maintenanceRounds % (ROUNDS_PER_DECAY / 2) == 0) {
      lateness.halve();
      stateMoveWaits.halve();
      roleStatistics.values().forEach(p -> p.queueWaits.halve());
    }
    roleStatistics.forEach((role, p) -> {
      List<Server> ofRole = readyServers().ofRole(role);
      p.update(maintenanceRounds % ROUNDS_PER_DECAY == 0, (int) ofRole.stream().filter(s -> !s.cold()).count(), ofRole.size());
    });
    servers.values().removeIf(s -> s.runningAttempts.isEmpty() && s.goneAt != null
        && now.minus(s.goneAt).compareTo(GONE_SERVER_RETENTION) > 0);
    // Unless histograms decay in this round, only the servers that need every round get a message.
    boolean decays = maintenanceRounds % ROUNDS_PER_DECAY == 0 || maintenanceRounds % ROUNDS_PER_WAIT_DECAY == 0;
    servers.values().stream().filter(s -> decays || s.needsEveryRound())
        .forEach(s -> mailboxes.post(s, new Message.MaintenanceRound(maintenanceRounds % ROUNDS_PER_DECAY == 0)));
    cells.recount(readyServers().all().stream().filter(s -> !s.ejected).toList(), Server::capacityFraction);
  }

  /** The ready servers, by role and cell, as of the latest list. */
  private ReadyServers<Server> readyServers() {
    if (readyServersOutdated) {
      readyServers = new ReadyServers<>(servers.values());
      readyServersOutdated = false;
    }
    return readyServers;
  }

  /**
   * Queue waits of a role: those of recent attempts, and those of unfinished attempts that are already longer than the median, unless their
   * server is unresponsive or an attempt sent to it later has already succeeded.
   */
  private DurationHistogram observedWaits(Role role) {
    RoleStatistics statistics = roleStatistics.get(role);
    return statistics.queueWaits.withLonger(statistics.waitingAttempts.stream().filter(t ->
        !t.server.unresponsive && !t.server.isOvertaken(t))
        .mapToDouble(t -> statistics.queueWaitSeconds(t, now.minus(t.sentAt))));
  }

  /** The state of one model server as this gateway sees it. */
  final class Server extends ServerView {
    Histogram outcomes = new Histogram(2);  // bin 0: successes; bin 1: failures
    /** Waits until the first token or the end of the read. */
    DurationHistogram queueWaits = new DurationHistogram(FIRST_WAIT_BIN_SECONDS);
    final Set<Attempt> waitingAttempts = new LinkedHashSet<>();
    final Set<Attempt> runningAttempts = new LinkedHashSet<>();  // at the present engine
    final Deque<Duration> recentSendTimes = new ArrayDeque<>();  // within the last overload window of a cold server
    final List<Req> reqsAwaitingReport = new ArrayList<>();
    /** When the latest report came in, when the server last refused a req for lack of room, and when a req last requested a report. */
    Duration reportedAt, fullAt, reportRequestedAt;
    /** When the server was first seen to be gone, null while it is present. */
    Duration goneAt;
    /** When the present engine replaced another one; whatever was sent up to then went to the former engine. */
    Duration engineSince = Duration.ofNanos(-1);
    Duration nextProbeAt = Duration.ZERO, creditUpdatedAt = now;
    /** Slow-start credit in reqs; see {@link #slowStartAllows}. */
    double credit = random.nextDouble();
    /** Whether the server is ejected for its failures, and whether its latest probe succeeded. */
    boolean ejected, probeSucceeded;
    /** Whether a probe got no reply and nothing was received from the server since. */
    boolean unresponsive;
    /** The req that claimed the next trial; its write follows after its read at another server. */
    Req trialReq;
    Duration trialInterval = FIRST_TRIAL_INTERVAL;
    Duration nextTrialAt = Duration.ZERO;

    Server(long id, Event.Line line) {
      super(settings, id, line);
    }

    RoleStatistics statistics() { return roleStatistics.get(role()); }

    /** Whether the server was started so recently that slow start applies. */
    boolean cold() { return uptime(now).compareTo(settings.slowStart().warmWithin()) < 0; }

    /** The guaranteed fraction of its full capacity: grows linearly from the start until the server is warm. */
    double capacityFraction() {
      double warmFraction = Math.max(0, Math.min(1, toSeconds(uptime(now)) / toSeconds(settings.slowStart().warmWithin())));
      return settings.slowStart().leastCapacity() + (1 - settings.slowStart().leastCapacity()) * warmFraction;
    }

    /**
     * Slow start. Prevents a server that has just started from being overloaded by all gateways together. A gateway earns credit for the
     * server at the rate at which servers of the same role finish the gateway's reqs, recently or usually, scaled down by the server's
     * capacity fraction. The credit starts at a random value below one req so that gateways don't all send at once. The longer reqs wait,
     * the more often {@link Rules#chooseReader} prefers a cold reader with credit, since otherwise few reqs would be sent to a server
     * while it has credit. All gateways together may always send two reqs per overload window; when a whole role is cold, the rate derives
     * from what the role usually finished. Risk: servers that restart often may get too little work.
     */
    boolean slowStartAllows() {
      if (cold()) {
        double minRate = SLOW_START_MIN_REQS / toSeconds(settings.slowStart().overloadWindow()) / settings.gateways();
        double tolerated = SLOW_START_SHARE * settings.slowStart().overloadMultiple();
        double share = statistics().readyWhileAllCold > 0 ? Math.min(SLOW_START_SHARE, tolerated * capacityFraction())
            : Math.min(1, tolerated) * capacityFraction();
        double rate = Math.max(minRate, Math.max(statistics().baselineRate, statistics().recentRate()));
        credit = Math.min(1, credit + share * rate * toSeconds(now.minus(creditUpdatedAt)));
        creditUpdatedAt = now;
      }
      return !cold() || credit >= 1;
    }

    /** Whether an ejected server may get this req as a trial. */
    boolean allowsTrial(Req req) {
      boolean due = now.compareTo(nextTrialAt) >= 0 && waitingAttempts.isEmpty();
      return trialReq == req || due && (probeSucceeded || !settings.limits().probes());
    }

    /**
     * The expected queue wait at this server in seconds; a part of the health mechanism. It detects slow, blocked or silent servers
     * whatever the cause and without load reports: the longest unfinished wait counts before its outcome is known. Where no waits were
     * observed at this server, {@code roleWait} is used instead, except for servers that are idle or have just started, since the wait at
     * other servers says nothing about those.
     */
    double expectedWait(double roleWait) {
      double observed = queueWaits.sum() >= 0.5 ? queueWaits.median() : isIdle() || cold() ? 0 : roleWait;
      return longestWaiting() == null ? observed
          : Math.max(observed, statistics().queueWaitSeconds(longestWaiting(), now.minus(longestWaiting().sentAt)));
    }

    /** Whether a current report says that nothing is queued; the waits at other servers then say nothing about this one. */
    private boolean isIdle() {
      return settings.reports().queued() >= 0 && reportReceived(REPORT_LAG) && reportedValue(settings.reports().queued()) < 0.5;
    }

    /** The attempt that has waited longest, except {@linkplain #isOvertaken overtaken} ones, which no queue delays; null if none waits. */
    Attempt longestWaiting() { return waitingAttempts.stream().filter(t -> !isOvertaken(t)).findFirst().orElse(null); }

    /**
     * Whether attempts are stuck here and none was sent for some time, so that only another send can tell whether the server still makes
     * reqs wait.
     */
    boolean hasStaleWaits() {
      return !waitingAttempts.isEmpty()
          && (recentSendTimes.isEmpty() || now.minus(recentSendTimes.peekLast()).compareTo(FIRST_TRIAL_INTERVAL) >= 0);
    }

    /** Whether the server reads prompts for others and is neither unavailable nor ejected. */
    boolean isUsableReader() { return isReader() && isReady() && !ejected; }

    /** The reads that are open or queued here. */
    ReadQueues.Queue readQueue() {
      int tokensColumn = settings.reports().queuedKiloTokens();
      return new ReadQueues.Queue(openReads, !reportReceived() ? OptionalDouble.empty() : OptionalDouble.of(tokensColumn >= 0
          ? reportedValue(tokensColumn) * 1000 / meanPromptTokens : reportedValue(settings.reports().queued())));
    }

    /** Whether a report was received within its lifetime. */
    boolean reportReceived() { return reportReceived(REPORT_LIFETIME); }

    boolean reportReceived(Duration within) { return report != null && now.minus(reportedAt).compareTo(within) < 0; }

    /** The memory share taken by this gateway's own writes, plus the mean share of such writes for each other gateway. */
    double ownLoad() { return ownTokens / memoryTokens() + (settings.gateways() - 1) * statistics().meanOwnMemoryShare; }

    /** The share of memory in use or, if that is not reported, of slots, or an estimate from the number of outstanding reqs. */
    double utilization() {
      Settings.Reports reports = settings.reports();
      return !reportReceived() ? ownLoad() : reports.memoryUtilization() >= 0 ? reportedValue(reports.memoryUtilization())
          : reports.slotUtilization() >= 0 ? reportedValue(reports.slotUtilization())
              : reportedValue(reports.outstanding()) * meanPromptTokens / memoryTokens();
    }

    /**
     * The load as a fraction of memory: in use, sent since the report, queued, and yet to be read. Without a current report, {@code
     * average}, the mean over all writers, takes the place of the first three; or this gateway's own load does if {@code average} is
     * negative or the server is cold, since the mean says nothing about a cold server. A recent rejection for lack of room adds 0.5.
     */
    double load(double average) {
      double load = average < 0 || cold() ? ownLoad() : average;
      if (reportReceived()) {
        load = utilization() + recentSends.stream().mapToDouble(TimedTokens::tokens).sum() / memoryTokens();
        load = Math.max(load, ownTokens / memoryTokens()) + reportedValue(settings.reports().queued()) * meanPromptTokens / memoryTokens();
      }
      boolean full = fullAt != null && now.minus(fullAt).compareTo(REPORT_LAG) < 0;
      return load + COST_PER_1000_UNCACHED * unreadTokens / 1000 + (full ? 0.5 : 0);
    }

    /** Prompt tokens that the server probably has cached; none at a writer whose memory is so full that it may have evicted them. */
    double expectedCachedTokens(Event.Accept a) {
      Duration since = now.minus(CACHED_PREFIX_LIFETIME);
      return isWriter() && utilization() > HIGH_MEMORY_SHARE ? 0
          : Math.max(cachedTokens(a.session(), a.prompt(), since), cachedTokens(a.shared(), a.sharedPart(), since));
    }

    @Override
    void receive(Object message) {
      if (message instanceof Event.Line newLine) {
        readyServersOutdated = true;
        boolean started = newLine.upSince() != null && (startedAt == null || newLine.upSince().compareTo(startedAt) > 0);
        if (started || newLine.kind() != line.kind() || newLine.cell() != line.cell() || newLine.zone() != line.zone()) {
          resetForNewEngine(started ? newLine.upSince() : now);
        }
        startedAt = started ? newLine.upSince() : startedAt;
        line = newLine;
        listed = true;
      } else if (message instanceof Message.RemovedFromList) {
        readyServersOutdated = true;
        listed = false;
      } else if (message instanceof Message.TrialClaimed c) {
        trialReq = c.by();
        nextTrialAt = now.plus(trialInterval);
      } else if (message instanceof Message.AttemptSent s) {
        attemptSent(s.attempt());
      } else if (message instanceof Message.AttemptBegun b && runningAttempts.contains(b.attempt())) {
        recordCachedPrefixes(b.attempt());
        stopWaiting(b.attempt());
        recordResult(true, b.attempt(), b.took(), true);
      } else if (message instanceof Message.AttemptEnded o && runningAttempts.contains(o.attempt())) {
        attemptEnded(o.attempt(), o.event());
      } else if (message instanceof Message.ReportRequested a) {
        if (reportRequestedAt == null || now.minus(reportRequestedAt).compareTo(REPORT_REQUEST_INTERVAL) >= 0) {
          actions.add(new Action.Probe(id));
          reportRequestedAt = now;
          reqsAwaitingReport.clear();
        }
        reqsAwaitingReport.add(a.by());
      } else if (message instanceof Message.ProbeResult s) {
        reqsAwaitingReport.forEach(r -> mailboxes.post(r, new Message.ReportReceived(this)));
        reqsAwaitingReport.clear();
        if (s.askedAt().compareTo(engineSince) > 0) {
          reportReceived(s.report());
          probeSucceeded = s.outcome() == Outcome.DONE;
          unresponsive = probesForReports && s.outcome() != Outcome.DONE && s.outcome() != Outcome.ERROR
              && s.outcome() != Outcome.FULL;  // a server that refuses is not silent
          nextProbeAt = probeSucceeded ? nextProbeAt : now.plus(ejected ? trialInterval : FIRST_TRIAL_INTERVAL);
        }
      } else if (message instanceof Message.MaintenanceRound b) {
        maintain(b.decay());
      }
    }

    /**
     * A new engine runs under the same name: discards what was learned about the former one and stops tracking the attempts that it got, so
     * that their outcomes do not count for the new engine. Sends that reached the new engine before its start was listed are charged to its
     * slow-start credit.
     */
    private void resetForNewEngine(Duration from) {
      engineSince = from;
      List.copyOf(runningAttempts).stream().filter(t -> t.sentAt.compareTo(from) <= 0).forEach(this::removeAttempt);
      cachedPrefixes.clear();
      recentSends.clear();
      report = null;
      queueWaits = new DurationHistogram(FIRST_WAIT_BIN_SECONDS);
      outcomes = new Histogram(2);
      ejected = false;
      probeSucceeded = false;
      unresponsive = false;
      fullAt = null;
      reportRequestedAt = null;
      trialReq = null;
      groupFailures.clear();
      latestSuccessSentAt = null;
      credit = random.nextDouble() - recentSendTimes.stream().filter(at -> at.compareTo(from) >= 0).count();
      creditUpdatedAt = now;
    }

    private void reportReceived(double[] values) {
      if (values.length > 0) {
        report = values;
        reportedAt = now;
        recentSends.removeIf(k -> k.at().compareTo(now.minus(REPORT_LAG)) < 0);
      }
    }

    private void attemptSent(Attempt attempt) {
      runningAttempts.add(attempt);
      recentSendTimes.add(now);
      recentSendTimes.removeIf(at -> at.compareTo(now.minus(settings.slowStart().overloadWindow())) < 0);
      waitingAttempts.add(attempt);
      statistics().waitingAttempts.add(attempt);
      openReads += attempt.remoteRead ? 1 : 0;
      if (!attempt.remoteRead) {
        openWrites++;
        addOwnTokens(attempt.expectedTokens);
        attempt.unreadTokens = attempt.tokensToRead;
        unreadTokens += attempt.unreadTokens;
        recordSend(attempt.expectedTokens, now, REPORT_LIFETIME.plus(REPORT_LAG));
      }
      credit -= cold() ? 1 : 0;
      nextTrialAt = ejected ? now.plus(trialInterval) : nextTrialAt;
      probeSucceeded &= !ejected;
    }

    /** Records that an attempt has begun its answer or has ended. */
    private void stopWaiting(Attempt attempt) {
      waitingAttempts.remove(attempt);
      // All roles, since the server's role may have changed since the send.
      roleStatistics.values().forEach(p -> p.waitingAttempts.remove(attempt));
      unreadTokens -= attempt.localRead ? attempt.unreadTokens : 0;
      attempt.unreadTokens = 0;
    }

    /** Stops tracking an attempt and subtracts its tokens. */
    private void removeAttempt(Attempt attempt) {
      runningAttempts.remove(attempt);
      stopWaiting(attempt);
      openReads -= attempt.remoteRead ? 1 : 0;
      openWrites -= attempt.remoteRead ? 0 : 1;
      addOwnTokens(openWrites == 0 ? -ownTokens : attempt.remoteRead ? 0 : -attempt.expectedTokens);
    }

    private void attemptEnded(Attempt attempt, Event.Ended event) {
      boolean waited = waitingAttempts.contains(attempt);
      removeAttempt(attempt);
      reportReceived(event.report());
      if (event.outcome() == Outcome.TIMED_OUT && attempt.req.givesUpBeforeTarget()) {
        return;
      }
      switch (event.outcome()) {
        case READ -> {
          recordCachedPrefixes(attempt);
          recordResult(true, attempt, event.took(), true);
        }
        case DONE -> checkCachedPrefixes(attempt, event.note());
        case FULL -> {
          if (event.note() != 1) {
            fullAt = now;
            recordGroupFailure(attempt, now, FIRST_TRIAL_INTERVAL, MAX_GROUP_FAILURE_SPAN);
          }
        }
        case NO_CONNECTION, BROKEN, ERROR, TIMED_OUT -> recordResult(false, attempt, now.minus(attempt.sentAt), waited);
        default -> { }
      }
    }

    private void addOwnTokens(double tokens) {
      ownTokens += tokens;
      statistics().ownMemoryShare += tokens / memoryTokens();
    }

    /** Records that the server has now read the req's prompt, for its session and its shared prefix. */
    private void recordCachedPrefixes(Attempt attempt) {
      cachedPrefixes.put(attempt.req.accepted.session(), new TimedTokens(attempt.req.accepted.prompt(), now));
      cachedPrefixes.put(attempt.req.accepted.shared(), new TimedTokens(attempt.req.accepted.sharedPart(), now));
      cachedPrefixes.remove(0L);
    }

    /**
     * Verification of assumed cached prefixes. Detects prefixes that are no longer cached although the table still lists them, and servers
     * that evict early for lack of memory: if the server found less than half of the expected tokens, all entries older than the send are
     * removed. Without effect if the server does not report cached tokens (-1). Cost: a few unneeded remote reads if only one prefix was
     * evicted.
     */
    private void checkCachedPrefixes(Attempt attempt, double cachedTokens) {
      if (attempt.localRead && attempt.expectedCachedTokens > 300 && cachedTokens >= 0 && cachedTokens < attempt.expectedCachedTokens / 2) {
        cachedPrefixes.values().removeIf(k -> k.at().compareTo(attempt.sentAt) < 0);
      }
    }

    /**
     * Health. Detects servers that fail, fall silent or can't be reached, whatever the cause: a server with too many failures is ejected
     * and then gets trial sends only, at an interval that is halved after each success until the server is readmitted. At most half of a
     * role's servers are ejected, since with more of them failing the cause lies elsewhere. Risk: a short run of bad luck may look like a
     * fault. The duration of a stream that breaks after its first token ({@code waited} is false) is not recorded: it would count as queue
     * wait of the whole role.
     */
    private void recordResult(boolean success, Attempt attempt, Duration took, boolean waited) {
      outcomes.add(success ? 0 : 1, 1);
      if (waited && (success || !unresponsive)) {
        (attempt.stateLeftCell ? stateMoveWaits : statistics().queueWaits).add(statistics().queueWaitSeconds(attempt, took), WAIT_SAMPLES);
      }
      unresponsive &= !success;
      if (success) {
        recordSuccess(attempt);
        statistics().decayedSuccesses += !cold() ? 1.0 / statistics().warmServers
            : statistics().readyWhileAllCold > 0 ? 1 / capacityFraction() / statistics().readyWhileAllCold : 0;
        if (!attempt.stateLeftCell) {
          queueWaits.add(statistics().queueWaitSeconds(attempt, took));
        }
        statistics().recordTimePerToken(attempt, took);
        if (ejected) {
          trialInterval = trialInterval.dividedBy(2);
          nextTrialAt = now.plus(trialInterval);
          probeSucceeded = true;
          if (trialInterval.compareTo(READMIT_TRIAL_INTERVAL) < 0) {
            ejected = false;
            outcomes.clear(1);
          }
        }
        return;
      }
      recordGroupFailure(attempt, now, FIRST_TRIAL_INTERVAL, MAX_GROUP_FAILURE_SPAN);
      if (ejected) {
        extendTrialInterval();
      } else if (outcomes.count(1) >= EJECTION_MIN_FAILURES && outcomes.share(1) >= EJECTION_FAILURE_SHARE) {
        List<Server> sameRole = readyServers().ofRole(role());
        if (2 * (sameRole.stream().filter(s -> s.ejected).count() + 1) <= sameRole.size()) {
          ejected = true;
          trialInterval = Duration.ZERO;
          extendTrialInterval();
        }
      }
    }

    /**
     * Whether the req avoids the server because a req of its endpoint group failed here lately and none has succeeded since; the server is
     * retried after spans that double. Detects servers that fail one group and serve the others, whose successes would otherwise count as
     * proof of health. A req that may not try doubtful servers avoids the server for the longest span, whichever group failed.
     */
    boolean isAvoidedFor(Req req) {
      GroupFailure groupFailure = groupFailures.get(req.accepted.group());
      return groupFailure != null && groupFailure.happenedWithin(now, groupFailure.avoidFor())
          || !req.mayTryDoubtfulServers() && groupFailures.values().stream().anyMatch(f -> f.happenedWithin(now, MAX_GROUP_FAILURE_SPAN));
    }

    /** Doubles the trial interval, from {@link #FIRST_TRIAL_INTERVAL} up to {@link #MAX_TRIAL_INTERVAL}. */
    private void extendTrialInterval() {
      trialInterval = min(MAX_TRIAL_INTERVAL,
          trialInterval.compareTo(FIRST_TRIAL_INTERVAL) < 0 ? FIRST_TRIAL_INTERVAL : trialInterval.multipliedBy(2));
      nextTrialAt = now.plus(trialInterval);
      nextProbeAt = nextTrialAt;
      probeSucceeded = false;
      trialReq = null;
    }

    private boolean isPresent() { return listed && line.state() != Event.State.GONE; }

    /** Whether the server may need a probe or may have to be forgotten. */
    private boolean needsEveryRound() { return ejected || unresponsive || goneAt != null || !isPresent(); }

    /** Ages what is known of the server. Probing: asks whether an ejected or unresponsive server answers again. */
    private void maintain(boolean decay) {
      boolean present = isPresent();
      goneAt = present ? null : goneAt == null ? now : goneAt;
      if (settings.limits().probes() && isReady() && (ejected && !probeSucceeded || unresponsive) && now.compareTo(nextProbeAt) >= 0) {
        actions.add(new Action.Probe(id));
        nextProbeAt = now.plus(ejected ? trialInterval : FIRST_TRIAL_INTERVAL);
      }
      if (maintenanceRounds % ROUNDS_PER_WAIT_DECAY == 0) {
        queueWaits.halve();
      }
      if (decay) {
        outcomes.halve();
        cachedPrefixes.values().removeIf(k -> now.minus(k.at()).compareTo(CACHED_PREFIX_LIFETIME) > 0);
      }
    }
  }

  /** The mean load of the writers with a current report, -1 if there is none. */
  private double averageWriterLoad() {
    return readyServers().writers().stream().filter(Server::reportReceived).mapToDouble(s -> s.load(0)).average().orElse(-1);
  }

  /**
   * The servers that may get this req now; or a single ejected server that is due for a trial. Unresponsive servers are left out while
   * others remain: neither the hash nor the free memory in a last report must direct reqs to a silent server until their attempts time out.
   * Servers that failed the req's endpoint group or the req itself are left out too, unless the req allows them. Risk: the remaining
   * servers may be crowded.
   */
  private List<Server> candidates(Req req, List<Server> among, Predicate<Server> filter) {
    List<Server> allowed = among.stream().filter(filter).filter(s -> maySend(req, s))
        .filter(s -> req.allowsFailedServers || !s.isAvoidedFor(req) && !req.failedServers.contains(s)).toList();
    List<Server> dueForTrial = allowed.stream()
        .filter(s -> s.ejected && req.retries == 0 && req.stateHolder == null && !req.quickServersOnly
            && req.mayTryDoubtfulServers()).toList();
    if (!dueForTrial.isEmpty()) {
      return dueForTrial.subList(0, 1);
    }
    List<Server> admitted = allowed.stream().filter(s -> !s.ejected).toList();
    admitted = req.quickServersOnly ? req.quickServers(admitted) : admitted;
    List<Server> responsive = admitted.stream().filter(s -> !s.unresponsive).toList();
    return responsive.isEmpty() ? admitted : responsive;
  }

  /** The server with the lowest cost, null if there is none. */
  private static Server lowestCost(List<Server> servers, ToDoubleFunction<Server> cost) {
    Server best = null;
    double bestCost = Double.MAX_VALUE;
    for (Server server : servers) {
      double serverCost = cost.applyAsDouble(server);
      best = serverCost < bestCost ? server : best;
      bestCost = Math.min(serverCost, bestCost);
    }
    return best;
  }

  /**
   * The writer with the lowest cost for this req: its load, its distance from the session's home and, before the read, the uncached tokens
   * and the open reads of its cell's readers. Used before the read and, if that writer can't be used any more, again after it.
   */
  private Server chooseWriter(Req req, Predicate<Server> filter) {
    double average = averageWriterLoad();
    boolean beforeRead = req.stateHolder == null;
    ReadQueues readQueues = beforeRead ? readQueues() : null;
    Integer homeCell = homeCell(req);
    int homeZone = homeCell == null ? settings.zone() : cells.get(homeCell).zone;
    return lowestCost(candidates(req, readyServers().writers(), filter), s -> s.load(average) / s.capacityFraction()
        + (beforeRead ? COST_PER_1000_UNCACHED * (req.accepted.prompt() - s.expectedCachedTokens(req.accepted)) / 1000
            + COST_PER_OPEN_READ * Math.min(20, openReadsPerReader(readQueues, s)) : 0)
        + (s.line.zone() == homeZone ? 0 : COST_OTHER_ZONE)
        + (beforeRead && homeCell != null && s.line.cell() != homeCell ? COST_AWAY_FROM_HOME : 0)
        + random.nextDouble() * COST_RANDOM_SPREAD);
  }

  /**
   * The open reads per reader of the writer's cell: this gateway's own or, if longer, the reported queue. For a cell without usable readers
   * it is the figure of all readers, with a penalty, so that the cell's writers are not left idle.
   */
  private double openReadsPerReader(ReadQueues queues, Server writer) {
    ReadQueues.Queue own = writer.isUsableReader() ? writer.readQueue() : ReadQueues.NO_QUEUE;
    double inCell = queues.perReader(writer.line.cell(), own);
    return inCell < Double.MAX_VALUE ? inCell : MAX_READS_PER_READER / 2 + queues.perReader(own);
  }

  /** The queues of all usable readers, in one pass over the servers; a pass for each writer would take a time quadratic in the fleet. */
  private ReadQueues readQueues() {
    ReadQueues queues = new ReadQueues();
    for (Server reader : readyServers().readers()) {
      if (!reader.ejected) {
        queues.add(reader.line.cell(), reader.readQueue());
      }
    }
    return queues;
  }

  /**
   * The home cell of a session, chosen by a rendezvous hash that all gateways share and weighted by writer capacity; null without a
   * session. A gateway that sees few reqs of a session can't learn where the session's prefix is cached, but the earlier turns were read
   * in the home cell.
   */
  private Integer homeCell(Req req) {
    boolean otherZone = hasHomeInOtherZone(req);
    return req.accepted.session() == 0 ? null : cells.all().keySet().stream()
        .filter(c -> cells.get(c).zone == settings.zone() != otherZone && cells.get(c).writerCapacity > 0)
        .max(Comparator.comparingDouble(c -> Math.log(Hash.toUnitInterval(req.accepted.session(), c)) / cells.get(c).writerCapacity))
        .orElse(null);
  }

  /**
   * Whether the req's session has its home in another zone. This holds for a fraction of the sessions if the gateway's zone has less than
   * its share of the writers or writes have to wait; the fraction grows with the wait, so that gateways don't all leave the zone together.
   */
  private boolean hasHomeInOtherZone(Req req) {
    double allWriters = cells.all().values().stream().mapToDouble(c -> c.writerCapacity).sum();
    double zoneWriters = cells.all().values().stream().mapToDouble(c -> c.zone == settings.zone() ? c.writerCapacity : 0).sum();
    long zones = cells.all().values().stream().map(c -> c.zone).distinct().count();
    double fraction = Math.max(waitPressure(Role.WRITE) - ZONE_WRITER_SHARE_FACTOR * zoneWriters * zones / allWriters,
        Math.min(0.5, (observedWaits(Role.WRITE).median() - OTHER_ZONE_MIN_WAIT_SECONDS) / OTHER_ZONE_WAIT_RANGE_SECONDS));
    return zoneWriters < allWriters && Hash.toUnitInterval(req.accepted.session() + 3, 0) < fraction;
  }

  /** How much attempts of a role wait: from 0 while they begin at once, up to 1. It scales the departures from the ordinary path. */
  private double waitPressure(Role role) {
    return Math.max(0, Math.min(1, (observedWaits(role).median() - FIRST_WAIT_BIN_SECONDS) / FULL_PRESSURE_WAIT_SECONDS));
  }

  /** Whether the writer's cell has enough readers for this req; otherwise a cell with spare readers reads the prompt. */
  private boolean readsInWritersCell(Req req, Server writer) {
    CellCapacities.Capacity capacity = cells.get(writer.line.cell());
    double neededReaders = capacity.writerCapacity * cells.readersPerWriter() * waitPressure(Role.READ);
    return Hash.toUnitInterval(req.accepted.session() + 1, 0) * neededReaders < READ_IN_CELL_FACTOR * capacity.readerCapacity;
  }

  /** The weight of a reader for reads on behalf of other cells: its cell's readers beyond the cell's own need. */
  private double lendingWeight(Server reader, int zone) {
    CellCapacities.Capacity capacity = cells.get(reader.line.cell());
    double spareShare = capacity.readerCapacity <= 0 ? 0 : 1 - capacity.writerCapacity * cells.readersPerWriter() / capacity.readerCapacity;
    return Math.max(0, spareShare) * (reader.line.zone() == zone ? 1 : OTHER_ZONE_LENDING_WEIGHT);
  }

  /**
   * The reader picked by the hash of the shared prompt prefix or else the session, or the least busy reader if the picked one is too busy
   * in comparison; null if there is none. While reqs wait, a cold reader with slow-start credit may be chosen instead.
   */
  private Server chooseReader(Req req, List<Server> among, ToDoubleFunction<Server> weight) {
    long key = req.accepted.shared() != 0 ? req.accepted.shared() : req.accepted.session();
    List<Server> readers = candidates(req, among, s -> s != req.chosenWriter && weight.applyAsDouble(s) > 0);
    Server coldReader = lowestCost(readers.stream().filter(Server::cold).toList(), s -> -s.credit);
    if (coldReader != null && roleStatistics.get(coldReader.role()).readyWhileAllCold == 0
        && random.nextDouble() < waitPressure(Role.READ)) {
      return coldReader;  // otherwise its slow-start credit would go unused while reqs wait
    }
    Server picked = lowestCost(readers, s -> -Math.log(Hash.toUnitInterval(key, s.id)) / weight.applyAsDouble(s));
    Server leastBusy = lowestCost(readers, this::readsPerCapacity);
    return picked != null && readsPerCapacity(picked) > MAX_READER_IMBALANCE * Math.max(1, readsPerCapacity(leastBusy))
        ? leastBusy : picked;
  }

  /** Own open reads relative to the reader's present capacity. */
  private double readsPerCapacity(Server reader) { return reader.openReads / reader.capacityFraction(); }

  // ---- Send checks: every rule on what may be sent is enforced here.

  /**
   * Whether this req may be sent to the server now, by the state of both, slow start, the platform's limits and the group's repeat rule.
   */
  private boolean maySend(Req req, Server server) {
    if (req.closed || req.begun || !server.isReady() || !server.slowStartAllows() || server.ejected && !server.allowsTrial(req)
        || req.attempts.size() >= settings.limits().maxForwards() || req.remainingBudget().compareTo(settings.tick()) <= 0
        || req.runningAttempts > 0 && !settings.limits().concurrentForwards()) {
      return false;
    }
    return req.group.repeat() == Repeat.REPLAYABLE || req.attempts.stream().filter(Attempt::mayHaveRun).allMatch(t ->
        req.group.repeat() == Repeat.KEYED && req.group.scope().covers(t.line, server.line)
            && now.compareTo(t.sentAt.plus(req.group.idempotencyWindow())) < 0);
  }

  /** Sends a req to a server for which {@link #maySend} holds. */
  private void send(Req req, Server server, boolean remoteRead, Duration timeOut) {
    if (!maySend(req, server)) {
      throw new IllegalStateException("send not permitted for this req and server");
    }
    double expectedTokens = req.accepted.prompt() + Math.min(200, req.accepted.maxAnswer() / 2);
    Attempt attempt = new Attempt(req, server, req.attempts.size(), remoteRead, expectedTokens, now);
    attempt.expectedCachedTokens = server.expectedCachedTokens(req.accepted);
    attempt.localRead = !remoteRead && req.stateHolder == null;
    attempt.stateLeftCell = !remoteRead && !attempt.localRead && req.stateHolder.line.cell() != server.line.cell();
    attempt.tokensToRead = remoteRead || attempt.localRead ? req.accepted.prompt() - attempt.expectedCachedTokens : 0;
    if (req.attempts.isEmpty() && req.accepted.customer() < customerAllowances.length) {
      customerAllowances[req.accepted.customer()]--;  // reqs that are pushed back do not count against the share
    }
    req.attempts.add(attempt);
    req.runningAttempts++;
    Action.Path path = remoteRead && server.role() == Role.READ ? Action.Path.READ
        : attempt.localRead || remoteRead ? Action.Path.LOCAL : Action.Path.WRITE;
    Duration sendBefore = req.group.repeat() != Repeat.KEYED ? null : req.attempts.stream().filter(Attempt::mayHaveRun)
        .filter(before -> before != attempt).map(before -> before.sentAt.plus(req.group.idempotencyWindow()))
            .min(Duration::compareTo).orElse(null);
    actions.add(new Action.Forward(req.accepted.req(), server.id, path,
        min(timeOut, req.remainingBudget().minus(settings.tick())), sendBefore));
    mailboxes.post(server, new Message.AttemptSent(attempt));
  }

  /** One req, from its acceptance until its one final answer is given and its last attempt has ended. */
  final class Req extends Mailboxes.Actor {
    final Event.Accept accepted;
    final EndpointGroup group;
    final Duration acceptedAt = now;
    final List<Attempt> attempts = new ArrayList<>();
    /** The servers whose load reports the req waits for. */
    final Set<Server> awaitedReports = new HashSet<>();
    /** The servers at which an attempt of this req failed. */
    final Set<Server> failedServers = new HashSet<>();
    /** A random rank of this req's wait among those of concurrent reqs. */
    final double waitQuantile = random.nextDouble();
    /** When the req stops waiting for load reports and is planned without them. */
    Duration reportWaitEndsAt;
    int retries, runningAttempts;
    /**
     * Whether the req has its final answer or its client has left, whether the answer has begun, and whether room is reserved at the chosen
     * writer.
     */
    boolean closed, begun, hasReservation;
    /** Whether servers where the req or its endpoint group failed lately are candidates too. */
    boolean allowsFailedServers;
    /** Whether only servers that would begin at once are candidates, because the pair chosen first would begin too late. */
    boolean quickServersOnly;
    /** The writer chosen before the read, and the reader that holds the state after it. */
    Server chosenWriter, stateHolder;
    /** The req's importance relative to the highest; see {@link #relativeImportance()}. */
    double relativeImportance = 1;

    Req(Event.Accept accepted) {
      super(false);
      this.accepted = accepted;
      group = settings.groups().get(accepted.group());
    }

    /** The time left until the client gives up. */
    Duration remainingBudget() { return acceptedAt.plus(accepted.budget()).minus(now); }

    /** The target time to the first token for a prompt of this length. */
    Duration responseTarget() {
      return group.responseTarget().plus(group.targetPer1000().multipliedBy((long) accepted.prompt() / 1000));
    }

    @Override
    void receive(Object message) {
      if (message instanceof Event.Accept) {
        meanPromptTokens += (accepted.prompt() - meanPromptTokens) / 50;
        relativeImportance = relativeImportance();
        if (exceedsBudget()) {
          giveUp();
        } else {
          requestReports();
        }
      } else if (message instanceof Message.ReportReceived a && awaitedReports.remove(a.by()) && awaitedReports.isEmpty()
          || message instanceof Message.ReportWaitExpired) {
        if (reqsAwaitingReports.remove(this) && !closed) {
          plan();
        }
      } else if (message instanceof Event.FirstToken f && f.forward() < attempts.size()) {
        begun = true;
        stateHolder = null;
        Attempt attempt = attempts.get(f.forward());
        lateness.add(now.minus(acceptedAt).compareTo(responseTarget()) <= 0 ? 0 : 1, 1);
        mailboxes.post(attempt.server, new Message.AttemptBegun(attempt, f.took()));
      } else if (message instanceof Event.Ended e && e.forward() < attempts.size()
          && attempts.get(e.forward()).outcome == null) {
        attemptEnded(attempts.get(e.forward()), e);
      } else if (message instanceof Event.HungUp && !closed) {
        closed = true;
        releaseResources();
      }
      if (closed && runningAttempts == 0) {
        reqs.remove(accepted.req());
        reqsAwaitingReports.remove(this);
      }
    }

    /**
     * Probing: where reports come only in reply to probes, a req requests those of a few nearby writers and one reader for each, chosen at
     * random, so that the cost of probing follows the traffic and gateways don't all decide by the same reports.
     */
    private void requestReports() {
      List<Server> writers = new ArrayList<>();
      if (probesForReports) {
        readyServers().writers().stream().filter(s -> !s.ejected && !s.unresponsive && maySend(this, s)).forEach(writers::add);
        long inZone = writers.stream().filter(s -> s.line.zone() == settings.zone()).count();
        if (inZone > REPORT_WRITERS && random.nextDouble() > REPORT_ALL_ZONES_PROBABILITY) {
          writers.removeIf(s -> s.line.zone() != settings.zone());
        }
      }
      for (int i = 0; i < REPORT_WRITERS && !writers.isEmpty(); i++) {
        Server writer = writers.remove(random.nextInt(writers.size()));
        Server reader = chooseReader(this, readyServers().readersOfCell(writer.line.cell()), s -> 1);
        for (Server s : reader == null ? List.of(writer) : List.of(writer, reader)) {
          if (!s.reportReceived(REPORT_REQUEST_INTERVAL) && awaitedReports.add(s)) {
            mailboxes.post(s, new Message.ReportRequested(this));
          }
        }
      }
      if (awaitedReports.isEmpty()) {
        plan();
      } else {
        reportWaitEndsAt = now.plus(min(REPORT_WAIT, remainingBudget().dividedBy(4)));
        reqsAwaitingReports.add(this);
        actions.add(new Action.Alarm(reportWaitEndsAt));
      }
    }

    /**
     * The ordinary path: choose a writer; unless it reads the prompt itself, choose a reader; then send the read, or the whole req to the
     * writer. Gives up if there is no suitable pair.
     */
    void plan() {
      stateHolder = null;
      Server reader = choosePair();
      if (chosenWriter == null || reader == null && !chosenWriter.canReadLocally()) {
        allowsFailedServers = true;  // no other servers are left
        reader = choosePair();
      }
      if (chosenWriter != null && wouldBeTooLate(reader, chosenWriter, false) && !isFleetCongested()) {
        quickServersOnly = true;
        reader = choosePair();
        quickServersOnly = false;
      }
      if (chosenWriter == null || reader == null && !chosenWriter.canReadLocally() || wouldBeTooLate(reader, chosenWriter, true)) {
        giveUp();
        return;
      } else if (chosenWriter.ejected) {
        mailboxes.post(chosenWriter, new Message.TrialClaimed(this));
      }
      if (reader != null) {
        // Checked before the read is sent: a reservation is not a second running attempt.
        hasReservation = settings.holdAhead() && maySend(this, chosenWriter);
        send(this, reader, true, attemptTimeout(reader, accepted.prompt()));
        if (hasReservation) {
          actions.add(new Action.Hold(accepted.req(), chosenWriter.id));
        }
      } else {
        send(this, chosenWriter, false, attemptTimeout(chosenWriter, accepted.prompt() - chosenWriter.expectedCachedTokens(accepted)));
      }
    }

    /** Chooses the writer, and returns the reader or null if the writer reads itself or no reader is available. */
    private Server choosePair() {
      chosenWriter = chooseWriter(this, s -> true);
      if (chosenWriter == null) {
        return null;
      }
      boolean remote = accepted.prompt() - chosenWriter.expectedCachedTokens(accepted) > REMOTE_READ_MIN_TOKENS
          && (openReadsPerReader(readQueues(), chosenWriter) < MAX_READS_PER_READER || chosenWriter.utilization() > HIGH_MEMORY_SHARE);
      Server reader = null;
      if (remote || !chosenWriter.canReadLocally()) {
        Event.Line writerLine = chosenWriter.line;
        List<Server> all = readyServers().readers();
        reader = readsInWritersCell(this, chosenWriter) ? null : chooseReader(this, all, s -> lendingWeight(s, writerLine.zone()));
        reader = reader != null ? reader : chooseReader(this, readyServers().readersOfCell(writerLine.cell()), s -> 1);
        reader = reader != null ? reader : chooseReader(this, all, s -> s.line.zone() == writerLine.zone() ? 1 : 0);
        reader = reader != null ? reader : chooseReader(this, all, s -> 1);
      }
      return reader;
    }

    /** After the read: sends the write to the chosen writer or, if that can no longer be used, to another one, near ones first. */
    private void sendWrite() {
      Event.Line holderLine = stateHolder.line;
      Server writer = chosenWriter != null && maySend(this, chosenWriter) && !chosenWriter.unresponsive ? chosenWriter : null;
      writer = writer != null ? writer : chooseWriter(this, s -> s.line.cell() == holderLine.cell());
      writer = writer != null ? writer : chooseWriter(this, s -> s.line.zone() == holderLine.zone());
      writer = writer != null ? writer : chooseWriter(this, s -> true);
      allowsFailedServers |= writer == null;
      writer = writer != null ? writer : chooseWriter(this, s -> true);
      if (writer == null) {
        giveUp();
      } else {
        hasReservation = false;
        send(this, writer, false, attemptTimeout(writer, 0));
      }
    }

    /**
     * Timeouts. Detects servers and links that fall silent: an attempt that exceeds both the response target and a multiple of what most
     * attempts take is ended, so that the req can be retried. At a server that reported an empty queue, the attempt ends earlier, while a
     * retry could still meet the response target. Under overload, to which a retry would add, or if no retry may follow, only the client's
     * deadline applies. Risk: work that was nearly done may be wasted.
     */
    private Duration attemptTimeout(Server server, double tokensToRead) {
      if (isOverloaded() || retries >= MAX_RETRIES || group.repeat() == Repeat.NON_REPLAYABLE) {
        return remainingBudget();
      }
      double usual = Math.max(FIRST_WAIT_BIN_SECONDS, roleStatistics.get(server.role()).quantileSeconds(TIMEOUT_QUANTILE, tokensToRead));
      double retrySeconds = usual + (tokensToRead > 0 ? roleStatistics.get(Role.WRITE).quantileSeconds(TIMEOUT_QUANTILE, 0) : 0);
      double spareSeconds = toSeconds(responseTarget().minus(now).plus(acceptedAt)) - retrySeconds;
      double timeoutSeconds = server.isIdle() && roleStatistics.get(server.role()).timePerToken.sum() > 2 && spareSeconds > usual
          ? Math.min(spareSeconds, TIMEOUT_FACTOR * usual) : Math.max(TIMEOUT_FACTOR * usual, toSeconds(responseTarget()));
      Duration timeout = Duration.ofMillis((long) (1000 * timeoutSeconds));
      return group.repeat() == Repeat.KEYED && timeout.compareTo(group.idempotencyWindow()) >= 0 ? remainingBudget() : timeout;
    }

    /** Whether the req may be sent where it is likely to fail: only replayable reqs may, unless no endpoint group is replayable. */
    private boolean mayTryDoubtfulServers() {
      return group.repeat() == Repeat.REPLAYABLE || settings.groups().stream().noneMatch(g -> g.repeat() == Repeat.REPLAYABLE);
    }

    /** Whether the client's budget is shorter than the response target; timeouts of the req then say nothing about servers. */
    boolean givesUpBeforeTarget() { return accepted.budget().compareTo(responseTarget()) < 0; }

    /** Handles the end of an attempt: sends the write after a read, retries, or gives up. */
    private void attemptEnded(Attempt attempt, Event.Ended event) {
      attempt.outcome = event.outcome();
      runningAttempts--;
      mailboxes.post(attempt.server, new Message.AttemptEnded(attempt, event));
      closed |= event.closed();
      boolean noState = event.note() == 1 && (event.outcome() == Outcome.FULL || event.outcome() == Outcome.TIMED_OUT
          || event.outcome() == Outcome.NO_CONNECTION || event.outcome() == Outcome.NOT_SENT);  // the held state is gone or was released
      stateHolder = event.outcome() == Outcome.READ ? attempt.server : noState ? null : stateHolder;
      if (closed ? event.outcome() != Outcome.DONE : attempt.remoteRead && hasReservation && event.outcome() != Outcome.READ) {
        releaseResources();
      }
      if (closed || runningAttempts > 0) {
        return;
      }
      boolean late = event.outcome() == Outcome.BROKEN
          || event.outcome() == Outcome.TIMED_OUT && !givesUpBeforeTarget() && !attempt.server.isOvertaken(attempt);
      lateness.add(1, late ? 1 : 0);  // an attempt that was refused or failed at once is not counted: it did not wait
      if (event.outcome() == Outcome.READ) {
        sendWrite();
        return;
      } else if (retries++ >= MAX_RETRIES || late && isOverloaded() || begun) {
        giveUp();
        return;
      }
      failedServers.add(attempt.server);
      if (event.outcome() == Outcome.BROKEN && !attempt.remoteRead && !attempt.resent && maySend(this, attempt.server)) {
        send(this, attempt.server, false, attemptTimeout(attempt.server, 0));
        attempts.get(attempts.size() - 1).resent = true;
      } else if (stateHolder != null) {
        chosenWriter = chosenWriter == attempt.server ? null : chosenWriter;
        sendWrite();
      } else {
        plan();
      }
    }

    /** Whether many recent reqs began late or failed after a wait. */
    private boolean isOverloaded() { return lateness.sum() > 6 && lateness.share(1) > OVERLOAD_LATE_SHARE; }

    /** The req's importance relative to the highest, reduced for reqs beyond their customer's share. */
    private double relativeImportance() {
      double highest = settings.groups().stream().mapToDouble(EndpointGroup::importance).max().orElse(1);
      boolean withinShare = accepted.customer() >= customerAllowances.length || customerAllowances[accepted.customer()] >= 1;
      return group.importance() / Math.max(1e-9, highest) * (withinShare ? 1 : settings.overShareFactor());
    }

    /**
     * Overload pushback. Protects against more work than the fleet can do, caused by bursts, retries or lost servers: a req that would wait
     * for too much of its response target, or whose writer is full, is pushed back before any work is done, the least important ones first.
     * Risk: one slow server may make the others look late.
     *
     * @param rejecting whether a late req is to be pushed back; a wait at a server with {@linkplain Server#hasStaleWaits stale waits} then
     * does not count as too long
     */
    private boolean wouldBeTooLate(Server reader, Server writer, boolean rejecting) {
      double moveWait = reader == null || reader.line.cell() == writer.line.cell() ? 0 : stateMoveWaits.median();
      double wait = (reader == null ? 0 : expectedWaitAt(reader)) + moveWait + expectedWaitAt(writer);
      return attempts.isEmpty() && !writer.ejected && (reader == null || !reader.ejected)
          && (writer.load(averageWriterLoad()) > MIN_LOAD_LIMIT + (MAX_LOAD_LIMIT - MIN_LOAD_LIMIT) * relativeImportance
              || wait > toSeconds(responseTarget()) * (MIN_WAIT_LIMIT + (MAX_WAIT_LIMIT - MIN_WAIT_LIMIT) * relativeImportance)
                  && !(rejecting && (writer.hasStaleWaits() || reader != null && reader.hasStaleWaits())));
    }

    /**
     * The expected wait of this req at a server. Where only the waits of the server's role are known, each req assumes a random one of them
     * up to the median. If all assumed the median, an endpoint group with a target below it would be pushed back entirely although some of
     * the group's reqs begin in time, while groups with longer targets keep the median up.
     */
    private double expectedWaitAt(Server server) {
      return server.expectedWait(observedWaits(server.role()).quantile(Math.min(0.5, waitQuantile)));
    }

    /**
     * The servers at which the req would begin almost at once. Prevents a pushback of reqs that idle servers could serve, only because
     * the one pair that the session's home and the hash choose is slow: otherwise a silent site or a few slow servers would cost all reqs
     * assigned to them. If all servers make reqs wait, none qualifies. Risk: cached prefixes at the idle servers may be evicted.
     */
    private List<Server> quickServers(List<Server> among) {
      double averageLoad = averageWriterLoad();
      Map<Role, Double> medianWaits = new EnumMap<>(Role.class);
      List.of(Role.values()).forEach(role -> medianWaits.put(role, observedWaits(role).median()));
      return among.stream().filter(s -> (s.queueWaits.sum() >= 0.5 || s.isIdle())
          && s.expectedWait(medianWaits.get(s.role())) <= QUICK_WAIT_SHARE * toSeconds(responseTarget())
          && (!s.isWriter() || s.load(averageLoad) < MIN_LOAD_LIMIT)).toList();
    }

    /** Whether most recent attempts had to wait, so that the whole fleet makes reqs wait and not just some servers. */
    private boolean isFleetCongested() {
      return roleStatistics.get(Role.READ).queueWaits.median()
          + roleStatistics.get(Role.WRITE).queueWaits.median() > QUICK_WAIT_SHARE * toSeconds(responseTarget());
    }

    /**
     * Whether the req probably can't begin before its client gives up, by the median of recent durations; checked before any probe or send.
     * Protects against clients that leave early and retry, and against any other wasted work. Risk: a fast server might still have begun in
     * time.
     */
    private boolean exceedsBudget() {
      RoleStatistics readers = roleStatistics.get(Role.READ);
      RoleStatistics writers = roleStatistics.get(Role.WRITE);
      return readers.timePerToken.sum() > 2 && writers.timePerToken.sum() > 2
          && readers.quantileSeconds(0.5, accepted.prompt()) + writers.quantileSeconds(0.5, 0) > toSeconds(remainingBudget());
    }

    /**
     * Ends the req without an answer from a server: pushes it back if a retry is harmless, otherwise aborts it. Releases held resources.
     */
    private void giveUp() {
      closed = true;
      releaseResources();
      boolean repeatIsHarmless = group.repeat() == Repeat.REPLAYABLE
          || group.repeat() == Repeat.KEYED && group.scope() == Settings.Scope.ALL
          || attempts.stream().noneMatch(Attempt::mayHaveRun);
      if (repeatIsHarmless) {
        Duration retryDelay = min(Duration.ofMillis(300 + random.nextInt(700)),
            settings.limits().maxRetryAdvice());
        actions.add(new Action.PushBack(accepted.req(), settings.limits().retryAdvice() ? retryDelay : Duration.ZERO));
      } else {
        actions.add(new Action.Abort(accepted.req()));
      }
    }

    /** Cancels running attempts of a closed req, and releases its held state and reservation. */
    private void releaseResources() {
      attempts.stream().filter(t -> t.outcome == null && closed && !begun && settings.limits().cancel())
          .forEach(t -> actions.add(new Action.Cancel(accepted.req(), t.number)));
      if (!attempts.isEmpty()) {
        actions.add(new Action.Drop(accepted.req()));
      }
      hasReservation = false;
    }
  }
}
