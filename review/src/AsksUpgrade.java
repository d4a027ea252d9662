import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients offer HTTP/2 on their requests, as the JDK's client does by default; the requests are whole and have little time left. */
final class AsksUpgrade {
  private static final int DEADLINE_MS = 1000;
  /** A final answer counts up to 0.5 s after the deadline; 50 ms more on sockets, and 250 ms for this harness. */
  private static final int LATEST_ANSWER_MS = DEADLINE_MS + 500 + 50 + 250;

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    for (int i = 1; i <= 2; i++) {
      lab.server("s-reader-" + i, true);
      lab.server("s-writer-" + i, false);
    }
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    AtomicInteger served = new AtomicInteger(), other = new AtomicInteger(), late = new AtomicInteger();
    double end = lab.ms() + 12_000;
    for (int c = 0; c < 4; c++) {
      boolean offers = Lab.TROUBLE && c == 0;
      Lab.spawn(() -> {
        while (lab.ms() < end) {
          ask(lab, g, offers, served, other, late);
          Lab.pause(300);
        }
      });
    }
    Lab.pause(15_500);
    lab.note("requests: " + served + " served, " + other + " answered otherwise, " + late + " without a final answer in time");
    lab.finish(late.get() > 0 ? 1 : served.get() < 20 ? 2 : 0);
  }

  private static void ask(Lab lab, Lab.Gateway g, boolean offers, AtomicInteger served, AtomicInteger other, AtomicInteger late) {
    String id = lab.newId("c");
    String text = Lab.chat(id, DEADLINE_MS, 1000, Long.toHexString(id.hashCode() & 0xffffffL));
    if (offers) {
      text = text.replace("\r\nContent-Length", "\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
          + "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\nContent-Length");
    }
    try {
      Lab.Peer peer = new Lab.Peer(g.connect());
      double sent = lab.ms();
      Lab.write(peer.out, text);
      peer.socket.setSoTimeout(LATEST_ANSWER_MS);
      peer.in.mark(1);
      try {
        if (peer.in.read() >= 0) {
          peer.in.reset();
        }
      } catch (SocketTimeoutException e) {
        late.incrementAndGet();
        lab.note("BROKEN: " + id + " was sent whole" + (offers ? ", with an offer of h2c," : "") + " and has no final answer "
            + Math.round(lab.ms() - sent) + " ms later; its deadline was " + DEADLINE_MS + " ms");
        peer.in.mark(1);
      }
      peer.socket.setSoTimeout(5000);
      Lab.Answer a = lab.readAnswer(peer, id, sent);
      lab.note(a);
      (a.status() == 200 && a.complete() ? served : other).incrementAndGet();
      peer.close();
    } catch (IOException e) {
      lab.note(id + ": " + e);
    }
  }
}
