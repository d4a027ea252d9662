import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/** Hundreds of bad clients stop in the middle of a request and stay; usual clients come meanwhile, each on a new connection. */
final class StopMidway {
  private static final int BAD_CLIENTS = 400;
  /** Half of the deadline of the endpoint group, the shortest that clients of the site wait. */
  private static final int DEADLINE_MS = 3000;
  /** A final answer counts up to 0.5 s after the deadline; 50 ms more on sockets, and 250 ms for this harness. */
  private static final int LATEST_ANSWER_MS = DEADLINE_MS + 500 + 50 + 250;

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    lab.sockets = 256;
    for (int i = 1; i <= 2; i++) {
      lab.server("s-reader-" + i, true);
      lab.server("s-writer-" + i, false);
    }
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    AtomicInteger answered = new AtomicInteger(), lost = new AtomicInteger(), turnedAway = new AtomicInteger(), lateForBad = new AtomicInteger();
    for (int c = 0; c < 4; c++) {
      Lab.spawn(() -> {
        while (true) {
          usualRequest(lab, g, answered, lost, turnedAway);
          Lab.pause(400);
        }
      });
    }
    Lab.pause(3000);
    lab.note(answered + " usual requests answered before the bad clients come");
    int before = answered.get();
    double end = lab.ms() + 10_000;
    if (Lab.TROUBLE) {
      for (int i = 0; i < BAD_CLIENTS; i++) {
        Lab.spawn(() -> {
          while (lab.ms() < end) {
            badClient(lab, g, lateForBad);
          }
        });
      }
      lab.note(BAD_CLIENTS + " clients connect, send half a request each, and stay");
    }
    Lab.pause(14_000);
    lab.note("usual requests: " + answered + " answered, " + lost + " without a final answer in time, " + turnedAway
        + " whose connection was closed twice; bad clients that got neither an error nor a close within 3 s: " + lateForBad);
    lab.note("gateway process alive: " + g.process.isAlive());
    lab.finish(lost.get() > 0 ? 1 : before < 8 ? 2 : 0);
  }

  private static void badClient(Lab lab, Lab.Gateway g, AtomicInteger late) {
    double from = lab.ms();
    try {
      Lab.Peer peer = new Lab.Peer(g.connect());
      String text = Lab.chat(lab.newId("bad"), 5000, 1000, "1");
      Lab.write(peer.out, text.substring(0, text.length() - 40));
      peer.socket.setSoTimeout(12_000);
      peer.in.read();
      if (lab.ms() - from > 3000) {
        late.incrementAndGet();
      }
      while (peer.in.read() >= 0) {
        // Reads what it is sent, up to the gateway's close.
      }
      peer.close();
    } catch (IOException e) {
      // The gateway has reset the connection.
    }
  }

  /** One request of a usual client on a new connection; if that is closed without an answer, the same request once more on another one. */
  private static void usualRequest(Lab lab, Lab.Gateway g, AtomicInteger answered, AtomicInteger lost, AtomicInteger turnedAway) {
    String id = lab.newId("c");
    for (int i = 0; i < 2; i++) {
      double sent = lab.ms();
      Lab.Peer peer = null;
      try {
        peer = new Lab.Peer(g.connect());
        Lab.write(peer.out, Lab.chat(id, DEADLINE_MS, 1000, Long.toHexString(id.hashCode() & 0xffffffL)));
        sent = lab.ms();
        peer.socket.setSoTimeout(LATEST_ANSWER_MS);
        peer.in.mark(1);
        boolean closed = peer.in.read() < 0;
        if (!closed) {
          peer.in.reset();
          peer.socket.setSoTimeout(0);
          lab.note(lab.readAnswer(peer, id, sent));
          answered.incrementAndGet();
          return;
        }
        lab.note(id + ": the connection is closed without an answer");
      } catch (SocketTimeoutException e) {
        lost.incrementAndGet();
        lab.note("BROKEN: " + id + " was sent whole on an open connection and has no final answer " + Math.round(lab.ms() - sent)
            + " ms later; its deadline was " + DEADLINE_MS + " ms");
        return;
      } catch (IOException e) {
        lab.note(id + ": the connection is reset without an answer");
      } finally {
        if (peer != null) {
          peer.close();
        }
      }
    }
    turnedAway.incrementAndGet();
  }
}
