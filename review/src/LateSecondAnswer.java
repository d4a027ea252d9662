import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.SplittableRandom;

/** A writer sends a second answer some milliseconds after a good one. */
final class LateSecondAnswer {
  static final String MARK = "second answer to ";

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    // The second answer comes this many milliseconds after the end of the first, at least and at most.
    int from = 3;
    int to = 15;
    int clients = 5;
    int seconds = 40;
    for (int i = 1; i <= 2; i++) {
      lab.server("s-reader-" + i, true).readMs = 8;
    }
    Lab.ModelServer writer = lab.server("s-writer", false);
    writer.events = 5;
    writer.gapMs = 10;
    AtomicInteger streams = new AtomicInteger(), extra = new AtomicInteger();
    SplittableRandom random = new SplittableRandom(7);
    writer.hook = (at, peer, request) -> {
      boolean served = at.stream(peer, request.id());
      if (!served) {
        peer.close();
      } else if (Lab.TROUBLE && streams.incrementAndGet() % 10 == 0) {
        int delay;
        synchronized (random) {
          delay = random.nextInt(from, to + 1);
        }
        Lab.spawn(() -> {
          Lab.pause(delay);
          try {
            Lab.write(peer.out, Lab.STREAM_HEAD + Lab.chunk(Lab.event(MARK + request.id(), true)) + Lab.chunk(Lab.STREAM_TAIL)
                + "0\r\n\r\n");
            extra.incrementAndGet();
            lab.note(at.name + " has written a second answer to " + request.id() + ", " + delay + " ms after the first");
          } catch (IOException e) {
            lab.note(at.name + " could not write a second answer: the connection is closed");
          }
        });
      }
      return true;
    };
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    List<String> foreign = new ArrayList<>();
    AtomicInteger asked = new AtomicInteger(), whole = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    for (int c = 0; c < clients; c++) {
      SplittableRandom think = new SplittableRandom(c);
      String key = Integer.toHexString(c + 1);
      threads.add(Lab.spawn(() -> {
        Lab.Peer peer = null;
        double end = lab.ms() + seconds * 1000;
        while (lab.ms() < end) {
          try {
            peer = peer == null ? new Lab.Peer(g.connect()) : peer;
          } catch (IOException e) {
            continue;
          }
          String id = lab.newId("c");
          Lab.Answer a = lab.ask(peer, id, Lab.chat(id, 4000, 1000, key));
          asked.incrementAndGet();
          whole.addAndGet(a.complete() && a.status() == 200 ? 1 : 0);
          if (a.text().contains(MARK)) {
            synchronized (foreign) {
              foreign.add(id + " got: " + a.text().replaceAll("\\s+", " "));
            }
            lab.note("client of " + id + " gets an answer that is not its own");
          }
          if (!a.complete()) {
            peer.close();
            peer = null;
          }
          Lab.pause(think.nextInt(0, 20));
        }
      }));
    }
    for (Thread t : threads) {
      t.join();
    }
    lab.note(asked + " requests, " + whole + " answered whole, " + extra + " second answers");
    foreign.forEach(f -> lab.note("BROKEN: " + f));
    lab.note("log: " + g.logText());
    lab.note(foreign.size() + " clients got an answer that was not made for their request");
    lab.finish(!foreign.isEmpty() ? 1 : whole.get() < 100 || Lab.TROUBLE && extra.get() < 10 ? 2 : 0);
  }
}
