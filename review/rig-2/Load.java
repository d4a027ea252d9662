import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Sound clients that ask one request after the other, each on a connection that it keeps. */
final class Load {
  /** One request and what became of it. */
  static final class Sent {
    String id, kind;
    int gateway, deadlineMs;
    double at;
    Rig.Answer answer;
  }

  interface Maker {
    /** Makes a request; fills in its kind and deadline. */
    String make(Sent sent, Random random);
  }

  final Rig rig;
  final List<Sent> all = new CopyOnWriteArrayList<>();
  private volatile boolean stopped;
  private final List<CountDownLatch> running = new ArrayList<>();

  Load(Rig rig) {
    this.rig = rig;
  }

  /** Starts some clients of a gateway; each thinks for up to {@code thinkMs} between its requests. */
  void start(Rig.Gateway gateway, int number, int clients, double untilMs, int thinkMs, Maker maker) {
    CountDownLatch done = new CountDownLatch(clients);
    running.add(done);
    for (int i = 0; i < clients; i++) {
      Random random = new Random(1000L * number + i);
      rig.pool.execute(() -> {
        Rig.Client connection = null;
        Rig.sleep(random.nextInt(4000));
        while (rig.now() < untilMs && !stopped) {
          Rig.sleep(random.nextInt(thinkMs));
          Sent sent = new Sent();
          sent.gateway = number;
          sent.id = rig.newId();
          String text = maker.make(sent, random);
          Rig.Work work = rig.work(sent.id);
          work.kind = sent.kind;
          work.deadlineMs = sent.deadlineMs;
          try {
            if (connection == null) {
              connection = rig.new Client(gateway.port);
            }
            connection.send(text);
            sent.at = rig.now();
            work.sentAt = sent.at;
            sent.answer = connection.read(sent.deadlineMs + 10_000);
          } catch (IOException e) {
            sent.answer = new Rig.Answer();
            sent.answer.error = "not sent";
          }
          all.add(sent);
          rig.log("client of %s: %s %s %s", gateway.name, sent.kind, sent.id, sent.answer);
          if (sent.answer.status != 200) {
            Rig.sleep(200 + random.nextInt(500));                 // a client that was turned away waits before it asks again
          }
          if (connection != null && (!sent.answer.whole || "close".equalsIgnoreCase(sent.answer.headers.get("connection")))) {
            connection.close();
            connection = null;
          }
        }
        if (connection != null) {
          connection.close();
        }
        done.countDown();
      });
    }
  }

  /** Lets the clients end with the request that each has open. */
  void stop() {
    stopped = true;
  }

  void await() throws InterruptedException {
    for (CountDownLatch done : running) {
      done.await(60, TimeUnit.SECONDS);
    }
  }

  /** How many requests ended in which way. */
  Map<String, Integer> ends() {
    Map<String, Integer> ends = new TreeMap<>();
    all.forEach(s -> ends.merge(s.kind + " " + s.answer.status + (s.answer.whole ? "" : " " + s.answer.error), 1, Integer::sum));
    return ends;
  }

  /** A prompt of some length. */
  static String body(int bytes) {
    String head = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":80,\"messages\":[{\"role\":\"user\",\"content\":\"", tail = "\"}]}";
    return head + "word ".repeat(Math.max(0, bytes - head.length() - tail.length()) / 5) + tail;
  }
}
