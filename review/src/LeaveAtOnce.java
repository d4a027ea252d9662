import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients send whole requests with the largest body allowed, leave at once, and come again. */
final class LeaveAtOnce {
  private static final int BODY_BYTES = 256 << 10;

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    lab.sockets = 512;
    int leaving = 8;
    int usual = 6;
    int seconds = 60;
    for (int i = 1; i <= 2; i++) {
      // Readers of this site read 12,000 to 25,000 tokens a second.
      lab.server("s-reader-" + i, true).tokensPerMs = 24;
      lab.server("s-writer-" + i, false);
    }
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    double end = lab.ms() + seconds * 1000;
    AtomicInteger sent = new AtomicInteger(), answered = new AtomicInteger(), closed = new AtomicInteger();
    String content = "x".repeat(BODY_BYTES - 100);
    for (int c = 0; c < leaving; c++) {
      Lab.spawn(() -> {
        while (lab.ms() < end && g.process.isAlive()) {
          String id = lab.newId("big");
          try {
            Lab.Peer peer = new Lab.Peer(g.connect());
            String body = "{\"model\":\"field-query\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"" + content + "\"}]}";
            String text = "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: field-query\r\n"
                + "Req-Owner: northern-metro-water\r\nReq-Key: 1\r\nReq-Deadline-Ms: 6000\r\nReq-Extra: prompt_len=65536,prefix_len=0,"
                + "max_out=80\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            if (Lab.TROUBLE) {
              Lab.write(peer.out, text);
              Lab.pause(50);
            } else {
              lab.ask(peer, id, text);
            }
            sent.incrementAndGet();
            peer.close();
          } catch (IOException e) {
            Lab.pause(5);
          }
        }
      });
    }
    for (int c = 0; c < usual; c++) {
      Lab.spawn(() -> {
        while (lab.ms() < end && g.process.isAlive()) {
          String id = lab.newId("c");
          try {
            Lab.Peer peer = new Lab.Peer(g.connect());
            Lab.Answer a = lab.ask(peer, id, Lab.chat(id, 5000, 1000, Long.toHexString(id.hashCode())));
            (a.status() == 0 ? closed : answered).incrementAndGet();
            if (a.status() == 0) {
              lab.note("a usual client's connection is closed without an answer to " + id);
            }
            peer.close();
          } catch (IOException e) {
            lab.note("a usual client could not connect");
          }
          Lab.pause(100);
        }
      });
    }
    while (lab.ms() < end && g.process.isAlive()) {
      Lab.pause(1000);
      lab.note(sent + " large requests sent" + (Lab.TROUBLE ? " and left" : "") + "; usual clients: " + answered + " answered, " + closed
          + " closed without an answer");
    }
    Lab.pause(500);
    boolean crashed = !g.process.isAlive();
    if (crashed) {
      lab.note("BROKEN: the gateway process has ended with exit code " + g.process.exitValue() + ", and nobody had told it to");
    }
    lab.note("log: " + g.logText());
    lab.finish(crashed ? 1 : answered.get() < 10 ? 2 : 0);
  }
}
