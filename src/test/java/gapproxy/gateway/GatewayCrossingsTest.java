package gapproxy.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.config.WireSettings;
import gapproxy.engine.Verdict;
import gapproxy.http.HttpClient;
import gapproxy.list.ListSource;
import gapproxy.list.ServerList;
import gapproxy.runtime.HandLoop;
import gapproxy.standin.PlatformSite;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Two events that meet in the gateway, in a chosen order: clients and servers are this test's own, and so is the clock. */
class GatewayCrossingsTest {
  private static final Duration TURN = Duration.ofMillis(1);
  private static final long READER = 1, WRITER = 2;

  private final HandLoop loop = new HandLoop();
  private final Door door = new Door();
  private final Models servers = new Models();
  private Gateway gateway;
  private ListSource.Listener lists;

  /** Hands requests to the gateway. */
  private static final class Door implements Clients {
    Taker taker;

    @Override
    public void open(Taker by) {
      taker = by;
    }

    @Override
    public InetSocketAddress address() {
      return null;
    }

    @Override
    public int connections() {
      return 0;
    }

    @Override
    public void drain() {
    }

    @Override
    public boolean drained() {
      return true;
    }

    @Override
    public void kill() {
    }
  }

  /** One request, and what came of it. */
  private static final class Asker implements Client {
    final String id;
    final Duration budget;
    final List<String> answers = new ArrayList<>();
    Runnable onLost;

    Asker(String id, Duration budget) {
      this.id = id;
      this.budget = budget;
    }

    @Override
    public Ask ask() {
      return new Ask(0, 0, 7, budget, 0, 900, 0, 80);
    }

    @Override
    public String id() {
      return id;
    }

    @Override
    public boolean stream() {
      return true;
    }

    @Override
    public void taken(String name, Supplier<String> path) {
    }

    @Override
    public void onLost(Runnable then) {
      onLost = then;
    }

    @Override
    public void begin() {
      answers.add("begin");
    }

    @Override
    public void piece(Object piece) {
    }

    @Override
    public void flush() {
    }

    @Override
    public boolean full() {
      return false;
    }

    @Override
    public void onRoom(Runnable then) {
    }

    @Override
    public void counted(long tokens) {
    }

    @Override
    public void done() {
      answers.add("done");
    }

    @Override
    public void pushBack(Duration retryIn, boolean trouble) {
      answers.add("rejected");
    }

    @Override
    public void refused(int status, byte[] body) {
      answers.add("refused");
    }

    @Override
    public void abort(Why why, String text) {
      answers.add("failed");
    }
  }

  /** Model servers that note what they are asked; the test answers for them. */
  private static final class Models implements Servers {
    final List<Reading> reads = new ArrayList<>();
    final List<Writing> writes = new ArrayList<>();
    final List<Holding> holds = new ArrayList<>();
    final List<Integer> holdsAt = new ArrayList<>();
    final List<String> frees = new ArrayList<>();
    boolean silent;                                           // probes get no answer

    @Override
    public HttpClient.Call read(InetSocketAddress to, String id, Client of, Duration within, Reading then) {
      reads.add(then);
      return call();
    }

    @Override
    public HttpClient.Call write(InetSocketAddress to, String id, Client of, Duration within, String place, Object state,
        Writing then) {
      writes.add(then);
      return call();
    }

    /** A call that can be cancelled and does nothing. */
    private static HttpClient.Call call() {
      return new HttpClient(new HandLoop(), new NoNet(), Duration.ofSeconds(1))
          .call(new InetSocketAddress("127.0.0.1", 9), "GET", "/", java.util.Map.of(), new byte[0], Duration.ofDays(1),
              new gapproxy.http.Whole(1, (status, headers, body, failure, why) -> { }));
    }

    @Override
    public void probe(InetSocketAddress to, BiConsumer<double[], Verdict> then) {
      if (!silent) {
        then.accept(new double[] {0, 0, 0, 0}, null);
      }
    }

    @Override
    public void hold(InetSocketAddress to, String id, Client of, Duration within, Holding then) {
      holds.add(then);
      holdsAt.add(to.getPort());
    }

    @Override
    public void free(InetSocketAddress to, String id, Duration within, Released then) {
      frees.add(id);
      then.then(true, false);
    }

    @Override
    public void forget(InetSocketAddress to) {
    }

    @Override
    public void close() {
    }
  }

  private static final class NoNet implements gapproxy.runtime.Net {
    @Override
    public Port listen(InetSocketAddress at, Supplier<List<org.glassfish.grizzly.filterchain.Filter>> filters) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void connect(InetSocketAddress to, Supplier<List<org.glassfish.grizzly.filterchain.Filter>> filters, Connected then) {
    }

    @Override
    public void reading(org.glassfish.grizzly.Connection<?> connection, boolean on) {
    }
  }

  @BeforeEach
  void start() throws Exception {
    start("read_like");
  }

  private void start(String repeat) throws Exception {
    WireSettings w = WireSettings.parse(PlatformSite.SETTINGS.replace("read_like", repeat)
        .replace("\"worth\":1.0", "\"worth\":1.0,\"group\":\"all\",\"windowUs\":300000")
        .replace("\"localRead\":true", "\"localRead\":false").getBytes(StandardCharsets.UTF_8));
    Terms terms = new Terms("g", w.settings(), w.groups(), w.zones(), w.kinds(), w.releaseWithin(), Duration.ofMinutes(1),
        Duration.ofSeconds(5), Duration.ofSeconds(5), 100, true);
    gateway = new Gateway(terms, loop, door, servers, listener -> {
      lists = listener;
      return new ListSource() {
        @Override
        public void subscribe() {
        }

        @Override
        public void close() {
        }
      };
    }, null, null, 3);
    gateway.start();
    tell(true, entry(READER, "reading", "READY", null), entry(WRITER, "writing", "READY", null));
  }

  private static ServerList.Entry entry(long id, String kind, String state, Instant up) {
    return new ServerList.Entry(id, new InetSocketAddress("127.0.0.1", (int) id), "here", "0", kind, ServerList.State.valueOf(state),
        1, up);
  }

  private void tell(boolean whole, ServerList.Entry... entries) {
    lists.list(new ServerList("", 1, whole, List.of(entries)));
    turn(TURN);
  }

  private void turn(Duration span) {
    loop.turn(loop.now().plus(span));
  }

  private Asker ask(Duration budget) {
    Asker a = new Asker("r", budget);
    door.taker.take(a);
    turn(Duration.ofMillis(50));
    return a;
  }

  private Asker ask() {
    return ask(Duration.ofSeconds(5));
  }

  private void drainWriter() {
    tell(false, entry(WRITER, "writing", "DRAINING", null));
  }

  @Test
  void aClientsCloseXAConnectComingUpLate() {
    Asker a = ask();
    assertTrue(servers.reads.get(0).wanted());
    a.onLost.run();
    assertFalse(servers.reads.get(0).wanted(), "it would be sent after its client's close");
  }

  @Test
  void aClientsCloseXTheReadsEnd() {
    Asker a = ask();
    a.onLost.run();
    servers.reads.get(0).read("", 0, 0);
    turn(Duration.ofSeconds(1));
    assertEquals(List.of(), servers.writes);
    assertEquals(List.of("r"), servers.frees.subList(0, 1), "what was read is freed");
  }

  @Test
  void aDrainXAConnectComingUpLate() {
    ask();
    tell(false, entry(READER, "reading", "DRAINING", null));
    assertFalse(servers.reads.get(0).wanted());
  }

  @Test
  void aReplacementUnderItsNameXAConnectComingUpLate() {
    ask();
    tell(false, entry(READER, "reading", "READY", Instant.EPOCH.plus(loop.now())));
    assertFalse(servers.reads.get(0).wanted(), "it was chosen as a warm one");
  }

  @Test
  void aDrainXAHoldThatWaitsForItsRead() {
    ask();
    assertEquals(List.of(), servers.holds, "not before the read is out");
    drainWriter();
    turn(Duration.ofMillis(500));
    servers.reads.get(0).sent();
    turn(TURN);
    assertEquals(List.of(), servers.holds, "a place was asked for at a draining server");
  }

  @Test
  void aDrainXAHoldThatWaitsForItsConnection() {
    ask();
    servers.reads.get(0).sent();
    assertTrue(servers.holds.get(0).wanted());
    drainWriter();
    assertFalse(servers.holds.get(0).wanted());
  }

  @Test
  void aDrainXTheSecondStep() {
    ask();
    servers.reads.get(0).sent();
    drainWriter();
    servers.reads.get(0).read("", 0, 0);
    turn(TURN);
    assertEquals(List.of(), servers.writes);
  }

  @Test
  void theRepeatWindowsEndXAConnectComingUpLate() throws Exception {
    start("idempotency_key");
    ask();
    servers.reads.get(0).read("", 0, 0);
    turn(TURN);
    assertTrue(servers.writes.get(0).wanted(), "a first attempt has no such end");
    servers.writes.get(0).failed(new Verdict(Verdict.Kind.BROKEN, 0, new byte[0], "broken"));
    turn(TURN);
    assertEquals(2, servers.writes.size() + servers.reads.size() - 1, "sent again within the window");
    Servers.Sending again = servers.writes.size() > 1 ? servers.writes.get(1) : servers.reads.get(1);
    assertTrue(again.wanted());
    turn(Duration.ofMillis(310));
    assertFalse(again.wanted(), "repeats are dropped no longer");
  }

  @Test
  void aReadThatBrokeAsItEndedIsFreedThoughAnotherOneIsTaken() {
    ask();
    servers.reads.get(0).sent();
    servers.reads.get(0).failed(new Verdict(Verdict.Kind.BROKEN, 0, new byte[0], "cut in its answer"));
    turn(Duration.ofMillis(50));
    assertEquals(2, servers.reads.size(), "read anew");
    servers.reads.get(1).read("", 0, 0);
    turn(TURN);
    Servers.Writing w = servers.writes.get(0);
    w.piece("first", true);
    w.done();
    turn(TURN);
    assertTrue(servers.frees.contains("r"), "the first one's state may be held still");
  }

  @Test
  void whatIsHeldIsNotFreedUnderAReadThatFollowsAtOnce() {
    ask();
    servers.reads.get(0).sent();
    servers.holds.get(0).answered(true, true);
    servers.reads.get(0).failed(new Verdict(Verdict.Kind.BROKEN, 0, new byte[0], "cut in its answer"));
    turn(Duration.ofMillis(500));
    assertEquals(2, servers.reads.size(), "read anew");
    assertEquals(List.of(), servers.frees, "one call frees all that the second read leaves, too");
  }

  @Test
  void aWholeListRemovesWhatItLacks() {
    for (int i = 10; i < 40; i++) {
      tell(true, entry(READER, "reading", "READY", null), entry(WRITER, "writing", "READY", null), entry(i, "writing", "READY", null));
      turn(Duration.ofSeconds(10));
    }
    assertTrue(gateway.known() < 12, gateway.known() + " servers are known");
  }

  @Test
  void aHoldAnsweredLateIsFreedWithTheRest() {
    Asker a = ask();
    servers.reads.get(0).sent();
    a.onLost.run();
    turn(TURN);
    servers.reads.get(0).failed(new Verdict(Verdict.Kind.BROKEN, 0, new byte[0], "closed"));
    turn(TURN);
    servers.frees.clear();
    servers.holds.get(0).answered(true, true);
    turn(TURN);
    assertEquals(List.of("r"), servers.frees.subList(0, 1));
  }

  @Test
  void aTimeOutXTheFirstEventGivesOneAnswer() {
    Asker a = ask(Duration.ofMillis(400));
    servers.reads.get(0).read("", 0, 0);
    turn(TURN);
    turn(Duration.ofSeconds(1));
    servers.writes.get(0).piece("late", true);
    servers.writes.get(0).done();
    turn(TURN);
    assertEquals(1, a.answers.size(), a.answers.toString());
  }

  @Test
  void aSecondStopRunsNothingTwice() {
    List<String> ends = new ArrayList<>();
    gateway.stop(() -> ends.add("first"));
    gateway.stop(() -> ends.add("second"));
    turn(Duration.ofSeconds(1));
    assertEquals(List.of("first"), ends);
  }

  /**
   * The decode server fell silent: the write on a connection that has rested never arrives, so it is not out, and what the prefill
   * server holds for it has to be released in time.
   */
  @Test
  void aStateIsReleasedInTimeThoughItsWriteGoesToASilentServer() {
    ask();
    servers.reads.get(0).read("", 0, 0);
    servers.silent = true;
    turn(TURN);
    assertEquals(1, servers.writes.size());
    turn(Duration.ofMillis(900));
    assertTrue(servers.frees.contains("r"), "held by a write that nobody has got");
  }

  /** A slow server that answers when it is asked has the write; its state stays. */
  @Test
  void aStateIsKeptForAWriteAtASlowServerThatAnswers() {
    ask();
    servers.reads.get(0).read("", 0, 0);
    turn(TURN);
    servers.writes.get(0).sent();
    turn(Duration.ofMillis(900));
    assertEquals(List.of(), servers.frees);
    assertTrue(servers.writes.get(0).wanted());
  }

  /** A place that may be held while the read for it never arrives is released as well. */
  @Test
  void aPlaceIsReleasedInTimeThoughItsReadGoesToASilentServer() {
    ask();
    servers.silent = true;
    servers.reads.get(0).sent();
    turn(TURN);
    servers.holds.get(0).answered(true, true);
    turn(Duration.ofMillis(900));
    assertTrue(servers.frees.contains("r"), "held for a read that nobody has got");
  }

  /** A process may be held up for 0.15 s between the check and the write: a repeat has to leave so much of its window. */
  @Test
  void aRepeatLeavesRoomInItsWindowForAProcessThatIsHeldUp() throws Exception {
    start("idempotency_key");
    ask();
    servers.reads.get(0).read("", 0, 0);
    turn(TURN);
    Duration sent = loop.now();
    servers.writes.get(0).failed(new Verdict(Verdict.Kind.BROKEN, 0, new byte[0], "broken"));
    turn(TURN);
    Servers.Sending again = servers.writes.size() > 1 ? servers.writes.get(1) : servers.reads.get(1);
    assertTrue(again.wanted());
    turn(sent.plus(Duration.ofMillis(200)).minus(loop.now()));
    assertFalse(again.wanted(), "held up for 0.15 s it would come after the window of 0.3 s");
  }
}
