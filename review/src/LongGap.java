import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** A writer puts an answer back into its queue in the middle, goes on with it some seconds later, and writes it to its end. */
final class LongGap {
  private static final int GAP_MS = Lab.TROUBLE ? 4750 : 1000;

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    AtomicInteger number = new AtomicInteger(), cut = new AtomicInteger(), whole = new AtomicInteger();
    lab.server("s-reader-1", true);
    for (int i = 1; i <= 2; i++) {
      lab.server("s-writer-" + i, false).hook = (at, peer, request) -> {
        if (number.incrementAndGet() % 5 != 0) {
          return false;
        }
        String id = request.id();
        lab.held.remove(id);
        Lab.write(peer.out, Lab.STREAM_HEAD + Lab.chunk(Lab.event(id + "-0", false)));
        lab.note(at.name + " puts the answer to " + id + " back into its queue after the first event");
        double from = lab.ms();
        if (peer.closedWithin(GAP_MS)) {
          lab.note("the connection of " + id + " is closed " + Math.round(lab.ms() - from) + " ms after its last event; it would go on at "
              + GAP_MS + " ms");
          if (lab.ms() - from < 5000) {
            cut.incrementAndGet();
            lab.note("BROKEN: the stream of " + id + " is cut off while its writer runs and before 5 s have passed");
          }
          return true;
        }
        for (int k = 1; k < 6; k++) {
          Lab.write(peer.out, Lab.chunk(Lab.event(id + "-" + k, k == 5)));
          Lab.pause(20);
        }
        Lab.write(peer.out, Lab.chunk(Lab.STREAM_TAIL) + "0\r\n\r\n");
        lab.note(at.name + " has served " + id);
        return true;
      };
    }
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    double end = lab.ms() + 25_000;
    for (int c = 0; c < 4; c++) {
      Lab.spawn(() -> {
        while (lab.ms() < end) {
          String id = lab.newId("c");
          try {
            Lab.Peer peer = new Lab.Peer(g.connect());
            Lab.Answer a = lab.ask(peer, id, Lab.chat(id, 5000, 1000, Long.toHexString(id.hashCode() & 0xffffffL)));
            lab.note(a);
            whole.addAndGet(a.complete() && a.status() == 200 ? 1 : 0);
            peer.close();
          } catch (IOException e) {
            lab.note("a client could not connect");
          }
          Lab.pause(200);
        }
      });
    }
    Lab.pause(31_000);
    lab.note("streams served whole: " + whole + ", cut off: " + cut);
    lab.finish(cut.get() > 0 ? 1 : whole.get() < 20 ? 2 : 0);
  }
}
