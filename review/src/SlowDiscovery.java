import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Discovery takes some seconds for each new call; a writer begins to drain. */
final class SlowDiscovery {
  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    int delayMs = 4500;
    int graceMs = 500;
    lab.server("s-reader", true);
    Lab.ModelServer stays = lab.server("s-writer-1", false);
    Lab.ModelServer drains = lab.server("s-writer-2", false);
    double[] toldAt = {Double.MAX_VALUE};
    List<String> late = new ArrayList<>();
    drains.hook = (at, peer, request) -> {
      if (at.health.equals("draining")) {
        Lab.write(peer.out, Lab.response("503 Service Unavailable", "Srv-Declined: 1\r\n", ""));
      }
      synchronized (late) {
        if (lab.ms() > toldAt[0] + graceMs + 50) {
          late.add(request.id() + ", " + Math.round(lab.ms() - toldAt[0]) + " ms after the change counted as told");
        }
      }
      return at.health.equals("draining");
    };
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    double end = lab.ms() + 40_000;
    List<Thread> threads = new ArrayList<>();
    int[] whole = {0};
    for (int c = 0; c < 3; c++) {
      String key = Integer.toHexString(c + 1);
      threads.add(Lab.spawn(() -> {
        while (lab.ms() < end) {
          String id = lab.newId("c");
          try {
            Lab.Peer peer = new Lab.Peer(g.connect());
            Lab.Answer a = lab.ask(peer, id, Lab.chat(id, 4000, 1000, Long.toHexString(id.hashCode())));
            synchronized (whole) {
              whole[0] += a.complete() ? 1 : 0;
            }
            peer.close();
          } catch (IOException e) {
            lab.note("client could not connect");
          }
          Lab.pause(200);
        }
      }));
    }
    Lab.pause(5000);
    if (Lab.TROUBLE) {
      lab.discovery.answerDelayMs = delayMs;
    }
    lab.note("all watches are reset; a new call takes " + lab.discovery.answerDelayMs + " ms from here on");
    lab.discovery.resetWatches();
    Lab.pause(2000);
    lab.discovery.publish(drains, "draining");
    toldAt[0] = lab.ms() + 6000;
    for (Thread t : threads) {
      t.join();
    }
    late.forEach(l -> lab.note("BROKEN: " + l));
    lab.note("log: " + g.logText());
    lab.note(late.size() + " sends to the draining server after the grace; " + whole[0] + " answers in all");
    lab.finish(!late.isEmpty() ? 1 : whole[0] < 50 ? 2 : 0);
  }
}
