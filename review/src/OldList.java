import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** A gateway is killed; a writer begins to drain; the gateway starts again with its last list, and discovery's agent answers slowly. */
final class OldList {
  private static final int AGENT_DELAY_MS = 3000;
  /** The grace of the settings; every time limit is 50 ms longer on sockets. */
  private static final int GRACE_MS = 500 + 50;

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    for (int i = 1; i <= 2; i++) {
      lab.server("s-reader-" + i, true);
    }
    for (int i = 1; i <= 3; i++) {
      lab.server("s-writer-" + i, false);
    }
    Lab.ModelServer draining = lab.servers.get(2);
    AtomicInteger late = new AtomicInteger(), answered = new AtomicInteger();
    AtomicBoolean restarted = new AtomicBoolean();
    double[] startedAt = new double[1];
    draining.hook = (at, peer, request) -> {
      if (!at.health.equals("draining")) {
        return false;
      }
      double since = lab.ms() - startedAt[0];
      if (restarted.get() && since > GRACE_MS) {
        late.incrementAndGet();
        lab.note("BROKEN: " + at.name + ", which drains, gets " + request.id() + " " + Math.round(since)
            + " ms after the start of the process, and turns it away");
      }
      Lab.write(peer.out, Lab.response("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
      return true;
    };
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    AtomicBoolean admitted = new AtomicBoolean(true);
    for (int c = 0; c < 8; c++) {
      Lab.spawn(() -> {
        while (true) {
          if (admitted.get()) {
            String id = lab.newId("c");
            try {
              Lab.Peer peer = new Lab.Peer(g.connect());
              Lab.Answer a = lab.ask(peer, id, Lab.chat(id, 5000, 1000, Long.toHexString(id.hashCode() & 0xffffffL)));
              answered.addAndGet(a.status() == 200 && a.complete() ? 1 : 0);
              peer.close();
            } catch (IOException e) {
              // The gateway is being restarted.
            }
          }
          Lab.pause(60);
        }
      });
    }
    Lab.pause(3000);
    String known = lab.discovery.whole();
    lab.note("the gateway is killed; its last list has all servers up");
    admitted.set(false);
    g.kill();
    Lab.pause(500);
    lab.discovery.publish(draining, "draining");
    Lab.pause(2500);
    lab.discovery.answerDelayMs = Lab.TROUBLE ? AGENT_DELAY_MS : 0;
    lab.note("from now on discovery's agent answers after " + lab.discovery.answerDelayMs + " ms");
    int before = answered.get();
    restarted.set(true);
    startedAt[0] = lab.ms();
    g.start(known);
    // The front admits the gateway once GET /up has returned 200.
    admitted.set(true);
    Lab.pause(8000);
    lab.note("requests answered: " + before + " before, " + (answered.get() - before) + " after the restart; sent to the draining writer too late: " + late);
    lab.finish(late.get() > 0 ? 1 : before < 20 || answered.get() - before < 20 ? 2 : 0);
  }
}
