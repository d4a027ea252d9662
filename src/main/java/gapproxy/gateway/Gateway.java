package gapproxy.gateway;

import gapproxy.Rules;
import gapproxy.api.Action;
import gapproxy.api.Event;
import gapproxy.api.Event.Outcome;
import gapproxy.config.Config;
import gapproxy.engine.EngineFailure;
import gapproxy.http.HttpClient;
import gapproxy.http.StreamContent;
import gapproxy.list.FileListSource;
import gapproxy.list.ListSource;
import gapproxy.list.LongPollListSource;
import gapproxy.list.ServerList;
import gapproxy.memory.MemoryBudget;
import gapproxy.runtime.Disk;
import gapproxy.runtime.Loop;
import gapproxy.runtime.Net;
import gapproxy.trace.EventRing;
import gapproxy.trace.Metrics;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * One gateway: turns what happens at clients, servers and the server list into {@link Event}s, passes all events of one loop turn to
 * {@link Rules} in one call, and executes the {@link Action}s that come back. The gateway takes no decision that belongs to {@link Rules},
 * and gives each accepted req exactly one final answer. All methods and callbacks run on the loop's thread.
 */
public final class Gateway {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final Logger REQ_LOG = LoggerFactory.getLogger("gapproxy.req");
  // Delay before the next decision step after one that threw.
  private static final Duration DECISION_FAULT_DELAY = Duration.ofMillis(100);
  // Longer than the process stalls that a gateway must tolerate.
  private static final Duration STALL_THRESHOLD = Duration.ofMillis(200);
  // Events kept for the log entries of a rule violation.
  private static final int EVENT_RING_SIZE = 512;
  // Limit on the chunks of an answer that are buffered before its first token.
  private static final int MAX_EARLY_CHUNKS = 256;
  // Limit on the decision rounds in one turn of the loop.
  private static final int MAX_DECISION_ROUNDS = 1000;

  private final GatewaySettings settings;
  private final Loop loop;
  private final Disk disk;
  private final Rules rules;
  private final ClientFrontend frontend;
  private final Servers servers;
  private final Fleet fleet;
  private final HeldResources heldResources;
  private final AttemptLog attemptLog;
  private final UnfinishedWritePolicy unfinishedWrites;
  private final SendGuard sendGuard;
  private final StallDetector stallDetector;
  private final StreamWatch streamWatch;
  private final EffectRecord effectRecord;
  private final Metrics metrics = new Metrics();
  private final MemoryReport memoryReport;
  private final EventRing recentEvents = new EventRing(EVENT_RING_SIZE);
  private final ListSource listSource;
  private final Path listCacheFile;
  private final String runId;
  private final Map<Long, Req> openReqs = new HashMap<>();
  private final Counts counts = new Counts();
  private List<Event> pendingEvents = new ArrayList<>();
  // Reqs to remove from openReqs after the next decisions, whose actions may still name them.
  private final List<Req> finishedReqs = new ArrayList<>();
  // Reqs for which this step's decisions returned Action.Drop.
  private final List<Req> reqsToRelease = new ArrayList<>();
  private final List<Req.Attempt> attemptsToFlush = new ArrayList<>();
  private Duration stepTime = Duration.ZERO;
  private long nextReqNumber;
  private boolean stopping;
  private BiConsumer<String, String> watcher = (stage, event) -> { };

  /**
   * Counts of events since the gateway started. {@code missedDeadlines} are reqs whose deadline passed without a decision, and
   * {@code orphanForwards} are forwards decided for a req that was no longer tracked; both are faults of the gateway.
   */
  public static final class Counts {
    public long accepted, completed, pushedBack, aborted, clientDisconnects, clientErrors, missedDeadlines, attempts, orphanForwards;
  }

  /**
   * A gateway for clients of the chat API and engines that speak vLLM's protocol.
   *
   * @param seed the seed of the random choices in the decisions
   */
  public Gateway(Config config, Loop loop, Net net, Disk disk, long seed) {
    this(config, loop, net, disk, MemoryBudget.unbounded(), seed);
  }

  /** @param budget the limit on memory for data buffered for clients and engines */
  public Gateway(Config config, Loop loop, Net net, Disk disk, MemoryBudget budget, long seed) {
    this(GatewaySettings.of(config), loop, new ChatFrontend(config, loop, net, budget), config, disk,
        new HttpClient(loop, net, Config.ofMillis(config.http().poolIdleMs()), Integer.MAX_VALUE, budget), budget, seed);
  }

  private Gateway(GatewaySettings settings, Loop loop, ClientFrontend frontend, Config config, Disk disk, HttpClient http,
      MemoryBudget budget, long seed) {
    this(settings, loop, frontend, new EngineServers(config, loop, http), listener -> openListSource(config, loop, disk, http, listener),
        disk, config.stateDir() == null ? null : Path.of(config.stateDir(), config.name() + ".servers.json"), budget, seed);
  }

  /**
   * A gateway for any matching pair of client frontend and servers.
   *
   * @param listSourceFactory creates the source of server lists, given its listener
   * @param listCacheFile where the last list is stored for the next start, or null
   * @param seed the seed of the random choices in the decisions
   */
  public Gateway(GatewaySettings settings, Loop loop, ClientFrontend frontend, Servers servers,
      Function<ListSource.Listener, ListSource> listSourceFactory, Disk disk, Path listCacheFile, long seed) {
    this(settings, loop, frontend, servers, listSourceFactory, disk, listCacheFile, MemoryBudget.unbounded(), seed);
  }

  /** @param budget the limit on memory for buffered data; the frontend and the servers have to be given the same one */
  public Gateway(GatewaySettings settings, Loop loop, ClientFrontend frontend, Servers servers,
      Function<ListSource.Listener, ListSource> listSourceFactory, Disk disk, Path listCacheFile, MemoryBudget budget, long seed) {
    memoryReport = new MemoryReport(budget, loop, metrics);
    this.settings = settings;
    this.loop = loop;
    this.frontend = frontend;
    this.servers = servers;
    this.disk = disk;
    this.listCacheFile = listCacheFile;
    rules = new Rules(settings.settings(), seed);
    fleet = new Fleet(settings, loop, this::forget);
    effectRecord = new EffectRecord(budget);
    sendGuard = new SendGuard(loop, fleet, settings, metrics, recentEvents, effectRecord);
    attemptLog = new AttemptLog(loop, servers, recentEvents);
    unfinishedWrites = new UnfinishedWritePolicy(req -> settings.settings().groups().get(req.attributes.group()).repeat());
    heldResources = new HeldResources(loop, settings, servers, fleet, sendGuard, metrics, recentEvents, attemptLog, this::endAttempt,
        unfinishedWrites);
    stallDetector = new StallDetector(loop, () -> !openReqs.isEmpty());
    streamWatch = new StreamWatch(loop, new StreamSilencePolicy(settings.silenceLimit()), stallDetector, metrics, attemptLog,
        (attempt, reason) -> abortStream(attempt, Outcome.TIMED_OUT, reason));
    runId = settings.name() + "-" + Long.toString(loop.wallClock().toEpochMilli(), 36);
    this.listSource = listSourceFactory.apply(new ListListener());
  }

  private void forget(Req req) {
    if (openReqs.remove(req.number, req)) {
      effectRecord.finished(req);
      req.releaseClient();
    }
  }

  private void forget(InetSocketAddress address) {
    servers.forget(address);
    heldResources.forgetServer(address);
  }

  /** Receives server lists from the list source. */
  private final class ListListener implements ListSource.Listener {
    @Override
    public void onList(ServerList list) {
      applyList(list, false);
    }

    @Override
    public void onFailure(String reason) {
      LOG.atWarn().addKeyValue("why", reason).log("server list unavailable; keeping the last one");
      metrics.list(Event.ListForm.FAILED);
      pendingEvents.add(new Event.ServerList(Event.ListForm.FAILED, List.of()));
    }
  }

  private static ListSource openListSource(Config config, Loop loop, Disk disk, HttpClient http, ListSource.Listener listener) {
    Config.ListConfig listConfig = config.list();
    return listConfig.file() != null
        ? new FileListSource(Path.of(listConfig.file()), Config.ofMillis(listConfig.lookEveryMs()), disk, loop, listener)
        : new LongPollListSource(URI.create(listConfig.url()), Config.ofMillis(listConfig.waitMs()),
            Config.ofMillis(config.limits().connectMs()), config.name(), http, loop, listener);
  }

  /**
   * Binds the port, loads the list that the previous run stored, and then subscribes to the list source. Must run on the loop.
   *
   * @throws IOException if the port can't be bound
   */
  public void start() throws IOException {
    frontend.open(new FrontendHandler());
    loop.whenIdle(this::flushClients);
    loop.whenIdle(this::runDecisions);
    if (listCacheFile == null) {
      subscribeToList();
    } else {
      disk.read(listCacheFile, loop, bytes -> {
        if (bytes != null) {
          try {
            applyList(ServerList.parse(bytes), true);
          } catch (ServerList.InvalidListException e) {
            LOG.atWarn().addKeyValue("file", listCacheFile).addKeyValue("why", e.getMessage())
                .log("stored server list is unusable");
          }
        }
        subscribeToList();
      });
    }
  }

  private void subscribeToList() {
    // Lets the decisions run once before any list or req arrives, so that they set their first alarm.
    pendingEvents.add(new Event.Wake());
    if (!settings.settings().listOnRequest()) {
      listSource.subscribe();
    }
  }

  /** The address that clients connect to. */
  public InetSocketAddress address() {
    return frontend.address();
  }

  /** Whether a listed server is ready to answer reqs. Must run on the loop. */
  public boolean ready() {
    return fleet.anyServerReady();
  }

  /** Sets the watcher that is told each event of a req together with the {@link Stage} that the req was in, and each final answer. */
  public void watch(BiConsumer<String, String> watcher) {
    this.watcher = watcher;
  }

  /** Names of the {@link Stage}s that open reqs are in. */
  public Set<String> openReqStages() {
    Set<String> all = new TreeSet<>();
    openReqs.values().forEach(req -> all.add(req.stage().name()));
    return all;
  }

  public Metrics metrics() {
    return metrics;
  }

  /** Writes memory use, counters and recent events to the log. Must run on the loop. */
  public void logDiagnostics() {
    memoryReport.log("memory on request");
    LOG.atWarn().addKeyValue("open", openReqs.size()).addKeyValue("metrics", metrics.toPrometheusText()).log("counters on request");
    recentEvents.entries().forEach(e -> LOG.atWarn().addKeyValue("event", e).log("event"));
  }

  public Counts counts() {
    return counts;
  }

  /**
   * Number of internal faults: reqs that had to be aborted since the decisions left them unanswered, and forwards decided for reqs that
   * were no longer tracked.
   */
  public long internalFaults() {
    return counts.missedDeadlines + counts.orphanForwards;
  }

  /** Number of open reqs, including answered ones that still have an attempt in flight. */
  public int openReqCount() {
    return openReqs.size();
  }

  /** Number of known servers, including those that recently left the list. */
  int knownServers() {
    return fleet.knownServers();
  }

  /** Number of ids under which a server may hold something, not counting those whose release is overdue. */
  int possiblyHeldIds() {
    return heldResources.pendingReleases();
  }

  /** Number of open client connections. */
  public int openConnections() {
    return frontend.openConnections();
  }

  /**
   * Stops gracefully: accepts no further req, lets open ones end within the stop timeout, aborts the rest, releases held resources, and
   * then runs {@code onStopped}. Calls after the first one do nothing. Must run on the loop.
   */
  public void stop(Runnable onStopped) {
    if (stopping) {
      return;
    }
    stopping = true;
    LOG.atInfo().addKeyValue("open", openReqs.size()).log("stopping");
    frontend.drain();
    Duration deadline = loop.now().plus(settings.stopTimeout());
    awaitStopped(deadline, onStopped);
  }

  /** Polls until all reqs have ended and nothing is held any longer, or the time for that is over. */
  private void awaitStopped(Duration deadline, Runnable onStopped) {
    boolean late = loop.now().compareTo(deadline) >= 0;
    if (late) {
      for (Req req : List.copyOf(openReqs.values())) {
        if (!req.answered) {
          abort(req, 'G', "the gateway is stopping", ClientReq.AbortReason.STOPPING);
          clientGone(req);
        }
      }
    }
    Duration releaseDeadline = deadline.plus(settings.releaseWithin());
    if (openReqs.isEmpty() && heldResources.pendingReleases() == 0 && frontend.drained() || loop.now().compareTo(releaseDeadline) >= 0) {
      listSource.close();
      frontend.kill();
      servers.close();
      LOG.atInfo().addKeyValue("unfinished", openReqs.size()).addKeyValue("metrics", metrics.toPrometheusText()).log("stopped");
      onStopped.run();
    } else {
      loop.after(Duration.ofMillis(10), () -> awaitStopped(deadline, onStopped));
    }
  }

  /**
   * Aborts all unanswered reqs as far as that is still possible. Meant for the time after the loop has ended with an error: the gateway
   * must not be used afterwards.
   */
  public void abortAllReqs() {
    for (Req req : List.copyOf(openReqs.values())) {
      if (!req.answered) {
        req.answered = true;
        try {
          req.client.abort(ClientReq.AbortReason.SERVER_FAILED, "the gateway has failed");
        } catch (RuntimeException e) {
          LOG.atError().setCause(e).addKeyValue("request_id", req.assignedId).log("could not send the failure response");
        }
      }
    }
  }

  /** Closes everything at once without answering reqs or releasing held resources, as a killed process would. Must run on the loop. */
  public void kill() {
    listSource.close();
    frontend.kill();
    openReqs.values().forEach(req -> req.attempts.stream().filter(attempt -> attempt.inFlight() && attempt.call != null)
        .forEach(attempt -> attempt.call.cancel()));
    openReqs.clear();
    servers.close();
  }

  // ---- events in, actions out

  /** Applies a list that an earlier run stored. Must run on the loop, and before the list source delivers one. */
  public void restoreList(ServerList list) {
    applyList(list, true);
  }

  /** @param remembered whether the list was stored by an earlier run */
  private void applyList(ServerList list, boolean remembered) {
    Event.ServerList event = fleet.apply(list, remembered);
    metrics.list(event.form());
    recentEvents.add(new EventRing.Entry(loop.now(), "", "list of " + list.servers().size() + " servers", null, event.form()));
    pendingEvents.add(event);
    LOG.atInfo().addKeyValue("servers", list.servers().size()).addKeyValue("index", list.index())
        .addKeyValue("complete", list.complete()).addKeyValue("remembered", remembered).log("server list applied");
    if (listCacheFile != null && !remembered) {
      disk.replace(listCacheFile, fleet.snapshot().toJson(), loop, well -> { });
    }
  }

  /** Passes pending events to the decisions and executes their actions, until no event is left or the round limit is reached. */
  private void runDecisions() {
    for (int i = 0; i < MAX_DECISION_ROUNDS && !pendingEvents.isEmpty(); i++) {
      List<Event> events = pendingEvents;
      pendingEvents = new ArrayList<>();
      stepTime = loop.now();
      events.replaceAll(e -> e instanceof Event.Accept action ? left(action) : e);
      decideGuarded(events).forEach(this::executeGuarded);
      // Only after the forwards of the same step, as one of them may still use what is held.
      reqsToRelease.forEach(heldResources::release);
      reqsToRelease.clear();
    }
    finishedReqs.forEach(this::forget);
    finishedReqs.clear();
  }

  /** Runs one step of the decisions. If they throw, the actions of this step are lost and a later step is scheduled. */
  private List<Action> decideGuarded(List<Event> events) {
    try {
      return rules.step(stepTime, events);
    } catch (RuntimeException e) {
      metrics.fault("decisions");
      LOG.atError().setCause(e).addKeyValue("events", events).log("decision step failed");
      // The failed step may have lost the next alarm of the decisions.
      loop.after(DECISION_FAULT_DELAY, () -> pendingEvents.add(new Event.Wake()));
      return List.of();
    }
  }

  /** Executes one action. If it throws, the other actions of the step still run, as they belong to other reqs. */
  private void executeGuarded(Action action) {
    try {
      execute(action);
    } catch (RuntimeException e) {
      metrics.fault("action");
      LOG.atError().setCause(e).addKeyValue("action", action).log("action failed");
      if (action instanceof Action.Forward x) {
        endLastAttempt(x);
      }
    }
  }

  /** Ends the last attempt after a fault in this gateway. Its outcome is ERROR, since the request may have been sent nevertheless. */
  private void endLastAttempt(Action.Forward action) {
    Req req = openReqs.get(action.req());
    if (req != null && !req.attempts.isEmpty()) {
      endAttempt(req.attempts.get(req.attempts.size() - 1), Outcome.ERROR, 0, "the gateway failed as it sent it");
    }
  }

  /** Deducts from the budget how long a req has waited for the decisions; otherwise attempts would get timeouts past its deadline. */
  private Event left(Event.Accept accept) {
    Req req = openReqs.get(accept.req());
    if (req == null) {
      return accept;
    }
    Duration waited = stepTime.minus(req.receivedAt);
    Duration remaining = waited.compareTo(accept.budget()) < 0 ? accept.budget().minus(waited) : Duration.ZERO;
    return acceptEvent(accept.req(), req.attributes, remaining);
  }

  private static Event acceptEvent(long number, ClientReq.Attributes attributes, Duration budget) {
    return new Event.Accept(number, attributes.group(), attributes.customer(), attributes.sessionHash(), budget,
        attributes.sharedPrefixHash(), attributes.promptTokens(), attributes.sharedPrefixTokens(), attributes.maxAnswerTokens());
  }

  /** Executes one action; each kind of action is handled only here. */
  private void execute(Action action) {
    if (action instanceof Action.Alarm x) {
      loop.after(x.at().minus(loop.now()), () -> alarmDue(x.at()));
    } else if (action instanceof Action.Probe x) {
      probe(x.server());
    } else if (action instanceof Action.Subscribe) {
      listSource.subscribe();
    } else if (action instanceof Action.Forward x) {
      startAttempt(x);
    } else if (action instanceof Action.Hold x) {
      reserve(x);
    } else if (action instanceof Action.Cancel x) {
      Req req = openReqs.get(x.req());
      if (req != null && x.forward() < req.attempts.size() && !req.attempts.get(x.forward()).answerBegun) {
        endAttempt(req.attempts.get(x.forward()), Outcome.CANCELLED, 0, "called off");
      }
    } else if (action instanceof Action.Drop x) {
      Req req = openReqs.get(x.req());
      if (req != null) {
        reqsToRelease.add(req);
      }
    } else if (action instanceof Action.PushBack x) {
      pushBack(openReqs.get(x.req()), x.retryIn());
    } else if (action instanceof Action.Abort x) {
      Req req = openReqs.get(x.req());
      if (req != null) {
        boolean late = req.attempts.stream().anyMatch(attempt -> attempt.outcome == Outcome.TIMED_OUT);
        abort(req, 'G', lastFailureReason(req), late ? ClientReq.AbortReason.TIMEOUT : ClientReq.AbortReason.SERVER_FAILED);
      }
    }
  }

  /** Wakes the decisions at an alarm. How late the alarm runs also shows whether the process was stalled. */
  private void alarmDue(Duration due) {
    Duration late = loop.now().minus(due);
    if (late.compareTo(STALL_THRESHOLD) > 0) {
      metrics.lateTick();
      LOG.atWarn().addKeyValue("ms", late.toMillis()).log("process was stalled");
      memoryReport.log("memory use at a process stall");
    }
    memoryReport.update();
    pendingEvents.add(new Event.Wake());
  }

  /** Requests a load report from a server and passes the result to the decisions. */
  private void probe(long serverId) {
    Fleet.Server server = fleet.get(serverId);
    Duration startedAt = loop.now();
    if (server == null) {
      pendingEvents.add(new Event.Probed(serverId, Outcome.NOT_SENT, Duration.ZERO, new double[0]));
      return;
    }
    servers.probe(server.address(), (report, failure) -> pendingEvents.add(
        new Event.Probed(serverId, failure == null ? Outcome.DONE : outcome(failure), loop.now().minus(startedAt), report)));
  }

  /** Starts an attempt; whatever happens, it ends in {@link #endAttempt}, which reports its outcome to the decisions. */
  private void startAttempt(Action.Forward action) {
    Req req = openReqs.get(action.req());
    if (req == null) {
      // An internal fault: the decisions would wait for the outcome of this forward for ever.
      counts.orphanForwards++;
      LOG.atError().addKeyValue("req", action.req()).log("forward decided for a req that is no longer tracked");
      return;
    }
    Fleet.Server server = fleet.get(action.server());
    Req.Attempt attempt = new Req.Attempt(req, server, action.path(), loop.now(), action.latest());
    req.attempts.add(attempt);
    counts.attempts++;
    attemptLog.event(attempt, "attempt begins");
    if (server == null) {
      endAttempt(attempt, Outcome.NOT_SENT, 0, "the server is gone");
      return;
    } else if (req.answered) {
      // The client disconnected while the decisions ran.
      endAttempt(attempt, Outcome.NOT_SENT, 0, "already answered");
      return;
    } else if (req.streamingAttempt != null) {
      // The answer began while the decisions ran: it is the client's, and nothing further is sent.
      endAttempt(attempt, Outcome.NOT_SENT, 0, "the answer has begun");
      return;
    }
    if (action.path() == Action.Path.WRITE && req.heldState == null) {
      // An earlier attempt has used or released the held state.
      endAttempt(attempt, Outcome.FULL, 1, "no state to fetch");
      return;
    } else if (action.path() == Action.Path.LOCAL) {
      // The decisions chose a local read instead of the held state.
      heldResources.giveUpHeldState(req);
    }
    attempt.timeoutTimer = loop.after(action.timeOut().minus(loop.now().minus(stepTime)), () -> {
      if (!attempt.answerBegun) {
        endAttempt(attempt, unfinishedWrites.outcomeOfTimeout(attempt), 0, "no answer within " + action.timeOut().toMillis() + " ms");
      }
    });
    Duration timeout = action.timeOut().minus(loop.now().minus(stepTime));
    attempt.serverDeadline = loop.now().plus(timeout);
    if (action.path() == Action.Path.READ) {
      attempt.call = servers.read(server.address(), attempt.serverRequestId, req.client, timeout, new Servers.ReadListener() {
        @Override
        public boolean shouldSend() {
          return maySend(attempt);
        }

        @Override
        public void sent() {
          Gateway.this.attemptSent(attempt);
          Action.Hold wanted = req.pendingHold;
          req.pendingHold = null;
          if (wanted != null && attempt.inFlight()) {
            reserve(wanted);
          }
        }

        @Override
        public void loadReport(double[] figures) {
          heldResources.heardOnOwnConnection(attempt);
          attempt.loadReport = figures;
        }

        @Override
        public void readDone(Object transferParams, long cachedTokens, long promptTokens) {
          if (!attempt.inFlight()) {
            return;
          }
          req.heldState = new Req.HeldState(server, attempt.serverRequestId, transferParams);
          req.timeToReadEnd = loop.now().minus(req.receivedAt);
          req.client.promptTokensCounted(promptTokens);
          endAttempt(attempt, Outcome.READ, cachedTokens, "");
        }

        @Override
        public void failed(EngineFailure failure) {
          Gateway.this.attemptFailed(attempt, failure);
        }
      });
    } else {
      String reservationId = req.reservation != null && req.reservation.server().address().equals(server.address())
          ? req.reservation.id() : null;
      if (reservationId == null) {
        heldResources.giveUpReservation(req);
      }
      attempt.call = servers.write(server.address(), attempt.serverRequestId, req.client, timeout, reservationId,
          req.heldState == null ? null : req.heldState.transferParams(), new WriteStream(attempt));
    }
  }

  /** Asks the guard, right before the request is written, whether this attempt may still be sent. */
  private boolean maySend(Req.Attempt attempt) {
    boolean granted = sendGuard.permitAttempt(attempt) instanceof SendGuard.Granted;
    Duration latestWriteEnd = sendGuard.latestWriteEnd(attempt);
    if (granted && latestWriteEnd != null) {
      attempt.writeTimer = loop.after(latestWriteEnd.minus(loop.now()), () -> endIfBeingWritten(attempt));
    }
    return granted;
  }

  /** Ends an attempt whose request is still being written though its last byte had to be written by now. */
  private void endIfBeingWritten(Req.Attempt attempt) {
    if (attempt.inFlight() && attempt.isBeingWritten()) {
      endAttempt(attempt, unfinishedWrites.outcomeOfTimeout(attempt), 0, "the time for repeats ended while it was being written");
    }
  }

  private void attemptSent(Req.Attempt attempt) {
    heldResources.attemptSent(attempt);
    sendGuard.checkSent(attempt);
    attemptLog.event(attempt, "attempt is sent");
  }

  /** Passes the answer of one write, with a fetched state or a local read, on to the client. */
  private final class WriteStream implements Servers.WriteListener {
    private final Req.Attempt attempt;
    private final Req req;
    private long promptTokens;

    WriteStream(Req.Attempt attempt) {
      this.attempt = attempt;
      this.req = attempt.req;
    }

    @Override
    public boolean shouldSend() {
      return maySend(attempt);
    }

    @Override
    public void sent() {
      Gateway.this.attemptSent(attempt);
    }

    @Override
    public void loadReport(double[] figures) {
      heldResources.heardOnOwnConnection(attempt);
      attempt.loadReport = figures;
    }

    @Override
    public void tokensCounted(long cachedTokens, long countedPromptTokens, long answerTokens) {
      if (attempt.inFlight()) {
        attempt.cachedTokens = cachedTokens;
        promptTokens = countedPromptTokens;
        req.answerTokens = answerTokens >= 0 ? answerTokens : req.answerTokens;
      }
    }

    @Override
    public void chunk(Object chunk, boolean hasContent) {
      if (!attempt.inFlight()) {
        return;
      }
      heldResources.heardOnOwnConnection(attempt);
      if (!attempt.answerBegun && hasContent) {
        beginAnswer(attempt);
      }
      if (!attempt.inFlight()) {
        return;
      } else if (attempt.answerBegun) {
        req.client.chunk(chunk);
        applyBackpressure(attempt);
      } else if (attempt.bufferedPieces.size() < MAX_EARLY_CHUNKS) {
        attempt.bufferedPieces.add(chunk);
      } else {
        failed(new EngineFailure(EngineFailure.Kind.BROKEN, 200, new byte[0], "more than " + MAX_EARLY_CHUNKS + " pieces without a token"));
      }
    }

    @Override
    public void readDelivered(StreamContent content, long unfinishedBytes) {
      if (!attempt.answerBegun || !attempt.inFlight()) {
        return;
      }
      streamWatch.received(attempt, content, unfinishedBytes);
      if (!attempt.flushPending) {
        attempt.flushPending = true;
        attemptsToFlush.add(attempt);
      }
    }

    @Override
    public void done() {
      if (!attempt.inFlight()) {
        return;
      }
      if (!attempt.answerBegun) {
        failed(new EngineFailure(EngineFailure.Kind.ERROR, 200, new byte[0], "an answer without any token"));
        return;
      }
      req.client.promptTokensCounted(promptTokens);
      giveFinalAnswer(req, "done", '-', "", req.client::done);
      counts.completed++;
      endAttempt(attempt, Outcome.DONE, attempt.cachedTokens, "");
    }

    @Override
    public void failed(EngineFailure failure) {
      Gateway.this.attemptFailed(attempt, failure);
    }
  }

  /**
   * Begins the answer when the first token has arrived: the client gets this attempt's answer and no other one's, and the writer has
   * fetched the held state and used the reservation.
   */
  private void beginAnswer(Req.Attempt attempt) {
    Req req = attempt.req;
    if (req.answered || req.streamingAttempt != null) {
      // Another attempt of the same req was faster.
      endAttempt(attempt, Outcome.CANCELLED, 0, "another forward was first");
      return;
    }
    watcher.accept(req.stage().name(), "first token");
    attempt.answerBegun = true;
    attemptLog.event(attempt, "first token");
    req.streamingAttempt = attempt;
    attempt.timeoutTimer.cancel();
    streamWatch.watch(attempt);
    req.timeToFirstToken = loop.now().minus(req.receivedAt);
    heldResources.answerBegun(req);
    if (req.client.streaming()) {
      // The time budget covers the time to the first token of a stream, not its end.
      req.deadlineTimer.cancel();
      req.deadlineTimer = loop.after(settings.maxAnswerTime(),
          () -> abortStream(attempt, Outcome.TIMED_OUT, "the answer took longer than the settings allow"));
    }
    req.client.beginAnswer();
    attempt.bufferedPieces.forEach(req.client::chunk);
    attempt.bufferedPieces.clear();
    pendingEvents.add(new Event.FirstToken(req.number, attempt.number, loop.now().minus(attempt.startedAt)));
  }

  /** Flushes each client once per turn of the loop; with a system call for each token, those calls were a gateway's largest cost. */
  private void flushClients() {
    for (Req.Attempt attempt : attemptsToFlush) {
      attempt.flushPending = false;
      if (attempt.inFlight()) {
        attempt.req.client.flush();
        applyBackpressure(attempt);
      }
    }
    attemptsToFlush.clear();
  }

  /** Backpressure: stops reading the engine's stream while the client's output buffer is full. */
  private void applyBackpressure(Req.Attempt attempt) {
    Req req = attempt.req;
    if (req.client.outputFull() && !req.paused) {
      req.paused = true;
      attempt.activity.paused(loop.now());
      attempt.call.setReading(false);
      req.client.onWritable(() -> {
        if (req.paused && attempt.inFlight()) {
          req.paused = false;
          attempt.activity.resumed(loop.now());
          attempt.call.setReading(true);
        }
      });
    }
  }

  private static Outcome outcome(EngineFailure failure) {
    return switch (failure.kind()) {
      case FULL, NO_STATE -> Outcome.FULL;
      case NO_CONNECTION -> Outcome.NO_CONNECTION;
      case BROKEN -> Outcome.BROKEN;
      case NOT_SENT -> Outcome.NOT_SENT;
      default -> Outcome.ERROR;
    };
  }

  /**
   * Ends the attempt of a failed call with the matching outcome. The req ends with it if its answer has begun, or if the engine found the
   * req itself to be invalid.
   */
  private void attemptFailed(Req.Attempt attempt, EngineFailure failure) {
    if (!attempt.inFlight()) {
      return;
    }
    Req req = attempt.req;
    if (attempt.answerBegun) {
      StreamBreak cause = StreamBreak.of(failure, attempt.call);
      metrics.brokenStream(cause);
      attemptLog.streamBroken(attempt, cause, failure.reason());
      attempt.call.cancel();
      abortStream(attempt, outcome(failure), failure.reason());
    } else if (failure.kind() == EngineFailure.Kind.CLIENT_ERROR && !req.answered) {
      // The req itself is invalid: the engine's response is the final answer, and does not count as a failure of the engine.
      counts.clientErrors++;
      giveFinalAnswer(req, "refused", 'E', "", () -> req.client.clientError(failure.status(), failure.body()));
      // NOT_SENT, since an answered outcome would tell the decisions that the engine has cached the prompt.
      endAttempt(attempt, Outcome.NOT_SENT, 0, failure.reason());
    } else {
      if (failure.kind() == EngineFailure.Kind.NO_STATE) {
        // A writer reports NO_STATE also if it can't reach the reader, so the state may still be held there.
        heldResources.giveUpHeldState(req);
      }
      endAttempt(attempt, outcome(failure), failure.kind() == EngineFailure.Kind.NO_STATE ? 1 : 0, failure.reason());
    }
  }

  /** Ends the req after its answer has begun: the stream broke or took too long, and can't be retried. */
  private void abortStream(Req.Attempt attempt, Outcome outcome, String reason) {
    boolean late = outcome == Outcome.TIMED_OUT;
    abort(attempt.req, late ? 'T' : 'E', reason, late ? ClientReq.AbortReason.TIMEOUT : ClientReq.AbortReason.STREAM_BROKEN);
    endAttempt(attempt, outcome, 0, reason);
  }

  /** The only place where an attempt ends; does nothing if it has ended already. */
  private void endAttempt(Req.Attempt attempt, Outcome outcome, long note, String reason) {
    if (!attempt.inFlight()) {
      return;
    }
    Req req = attempt.req;
    watcher.accept(req.stage().name(), attempt.path.name().toLowerCase(Locale.ROOT) + " ended " + outcome.name().toLowerCase(Locale.ROOT));
    if (outcome == Outcome.READ || outcome == Outcome.DONE || outcome == Outcome.FULL) {
      heldResources.heardOnOwnConnection(attempt);
    }
    attempt.outcome = outcome;
    attempt.reason = reason;
    metrics.attempt(attempt.path, outcome);
    attemptLog.event(attempt, "attempt ended");
    if (outcome == Outcome.TIMED_OUT && !attempt.answerBegun) {
      metrics.silentAttempt(attempt.path, attempt.arrivalEvidence);
      attemptLog.warn(attempt, "attempt timed out without a response");
    }
    if (attempt.timeoutTimer != null) {
      attempt.timeoutTimer.cancel();
    }
    if (attempt.writeTimer != null) {
      attempt.writeTimer.cancel();
    }
    if (attempt.call != null && outcome == Outcome.TIMED_OUT) {
      attempt.call.cancelUnresponsive();
    } else if (attempt.call != null && outcome == Outcome.DONE) {
      attempt.call.endWithin(StreamSilencePolicy.responseEndTimeout());           // an engine's last event comes ahead of the end of its response
    } else if (attempt.call != null) {
      attempt.call.cancel();                                  // without effect if its response is complete
    }
    heldResources.ended(attempt);
    boolean stateGone = attempt.path == Action.Path.WRITE && req.heldState == null
        && (outcome == Outcome.TIMED_OUT || outcome == Outcome.NO_CONNECTION);
    pendingEvents.add(new Event.Ended(req.number, attempt.number, outcome, stateGone ? 1 : note, req.answered,
        loop.now().minus(attempt.startedAt), attempt.loadReport));
    finishIfOver(req);
    heldResources.reqChanged(req);
  }

  /** The id of a req: the client's if it gave one, otherwise the one that this gateway assigned. */
  static String requestId(Req req) {
    return req.clientRequestId != null ? req.clientRequestId : req.assignedId;
  }

  /**
   * Releases what is held for a req once it has its final answer and no attempt is in flight. The req stays in {@code openReqs} until the
   * decisions have processed its last events: earlier decisions may still name it, and a forward without an outcome would count as in
   * flight there for ever.
   */
  private void finishIfOver(Req req) {
    if (req.answered && !req.anyInFlight()) {
      heldResources.release(req);
      servers.reqFinished(requestId(req));
      finishedReqs.add(req);
    }
  }

  /** Asks a writer for a reservation, or postpones that until the req's read is sent. */
  private void reserve(Action.Hold action) {
    Req req = openReqs.get(action.req());
    Fleet.Server server = fleet.get(action.server());
    if (req == null || req.answered || server == null || !fleet.acceptsNewWork(server)) {
      return;
    }
    Req.Attempt last = req.attempts.isEmpty() ? null : req.attempts.get(req.attempts.size() - 1);
    if (last != null && last.isRead() && last.inFlight() && last.sentAt == null) {
      // A server may grant a reservation only while the read is in flight, so this waits until the read is sent.
      req.pendingHold = action;
    } else {
      heldResources.reserve(req, server, granted -> watcher.accept(req.stage().name(), granted ? "place held" : "place refused"));
    }
  }

  // ---- the final answer

  /** The only place where a req gets its final answer; a second one is refused. Writes the req's log entry. */
  private void giveFinalAnswer(Req req, String answerKind, char causeLetter, String reason, Runnable sendAnswer) {
    if (!sendGuard.permitsAnswer(req, answerKind)) {
      return;
    }
    Stage stage = req.stage();
    metrics.finalAnswer(answerKind);
    watcher.accept(stage.name(), "answer " + answerKind);
    req.answered = true;
    req.deadlineTimer.cancel();
    sendAnswer.run();
    Duration took = loop.now().minus(req.receivedAt);
    REQ_LOG.atLevel(answerKind.equals("aborted") ? Level.WARN : Level.INFO).addKeyValue("id", req.assignedId)
        .addKeyValue("request_id", requestId(req)).addKeyValue("group", settings.groups().get(req.attributes.group()))
        .addKeyValue("end", answerKind)
        .addKeyValue("cause", causeLetter == '-' ? "--" : "" + causeLetter + stage.causeLetter).addKeyValue("path", req.path())
        .addKeyValue("forwards", req.attempts.size()).addKeyValue("server", lastServer(req))
        .addKeyValue("read_ms", roundedMillis(req.timeToReadEnd)).addKeyValue("first_token_ms", roundedMillis(req.timeToFirstToken))
        .addKeyValue("total_ms", roundedMillis(took)).addKeyValue("prompt_tokens", (int) req.attributes.promptTokens())
        .addKeyValue("answer_tokens", req.answerTokens)
        .addKeyValue("why", reason).log("req");
  }

  private static Object roundedMillis(Duration d) {
    return d == null ? -1 : Math.round(d.toNanos() / 1e4) / 100.0;
  }

  private static Object lastServer(Req req) {
    return req.attempts.isEmpty() ? -1 : serverId(req.attempts.get(req.attempts.size() - 1));
  }

  private static long serverId(Req.Attempt attempt) {
    return attempt.server == null ? -1 : attempt.server.id();
  }

  private static String lastFailureReason(Req req) {
    return req.attempts.isEmpty() ? "no server could take it" : req.attempts.get(req.attempts.size() - 1).reason;
  }

  private void pushBack(Req req, Duration retryIn) {
    if (req == null || req.answered) {
      return;
    }
    counts.pushedBack++;
    boolean serversUnavailable = !req.attempts.isEmpty() || !fleet.anyServerReady();
    giveFinalAnswer(req, "pushed_back", 'G', req.attempts.isEmpty() ? "" : lastFailureReason(req),
        () -> req.client.pushBack(retryIn, serversUnavailable));
    finishIfOver(req);
  }

  private void abort(Req req, char causeLetter, String text, ClientReq.AbortReason reason) {
    if (req.answered) {
      return;
    }
    counts.aborted++;
    giveFinalAnswer(req, "aborted", causeLetter, text, () -> req.client.abort(reason, text));
    finishIfOver(req);
  }

  /** Ends a req that is owed no answer any longer, since its client disconnected or its time is over. */
  private void clientGone(Req req) {
    pendingEvents.add(new Event.HungUp(req.number));
    if (req.streamingAttempt != null && req.streamingAttempt.inFlight()) {
      endAttempt(req.streamingAttempt, Outcome.CANCELLED, 0, "the client is gone");
    }
    finishIfOver(req);
  }

  /** Ends a req whose client has disconnected. */
  private void left(Req req) {
    if (!req.answered) {
      counts.clientDisconnects++;
      req.clientClosedAt = loop.now();
      giveFinalAnswer(req, "hung_up", 'C', "", () -> { });
      clientGone(req);
    }
  }

  /** Aborts a req that has no final answer at its deadline. If the decisions left it so, that is an internal fault and logged as one. */
  private void deadlineReached(Req req) {
    // After a process stall, attempts are started whose timeouts have already passed; those timers run only after this one, so the
    // attempts are timed out here.
    req.attempts.stream().filter(attempt -> attempt.inFlight() && !attempt.answerBegun).toList()
        .forEach(attempt -> endAttempt(attempt, unfinishedWrites.outcomeOfTimeout(attempt), 0, "the request's time is over"));
    runDecisions();
    if (!req.answered && req.streamingAttempt != null) {
      // A non-streamed answer that has begun but is not complete in time.
      abortStream(req.streamingAttempt, Outcome.TIMED_OUT, "the answer was not whole within the budget");
    } else if (!req.answered) {
      counts.missedDeadlines++;
      LOG.atError().addKeyValue("req", req.assignedId).addKeyValue("stage", req.stage()).log("no final answer at the deadline");
      abort(req, 'T', "no answer in time", ClientReq.AbortReason.TIMEOUT);
      clientGone(req);
    }
  }

  /** Accepts reqs from the frontend. */
  private final class FrontendHandler implements ClientFrontend.ReqHandler {
    @Override
    public boolean hasCapacity() {
      return !stopping && openReqs.size() < settings.maxOpenReqs();
    }

    @Override
    public boolean stopping() {
      return stopping;
    }

    @Override
    public boolean mayHaveRun(String clientRequestId) {
      return effectRecord.mayHaveHappened(clientRequestId);
    }

    @Override
    public boolean anyServerReady() {
      return fleet.anyServerReady();
    }

    @Override
    public void accept(ClientReq clientReq) {
      long number = nextReqNumber++;
      ClientReq.Attributes attributes = clientReq.attributes();
      Req req = new Req(number, runId + "-" + number, clientReq, loop.now());
      openReqs.put(number, req);
      stallDetector.start();
      counts.accepted++;
      clientReq.accepted(req.assignedId, req::path);
      req.deadlineTimer = loop.after(attributes.budget().minus(settings.settings().tick().dividedBy(4)), () -> deadlineReached(req));
      clientReq.onDisconnect(() -> left(req));
      pendingEvents.add(acceptEvent(number, attributes, attributes.budget()));
    }
  }
}
