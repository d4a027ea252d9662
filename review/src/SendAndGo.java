import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A client sends hundreds of requests at once on its connection and goes. */
final class SendAndGo {
  private static final int REQUESTS = 300;
  /** An attempt may begin up to 0.1 s after its client's close; every time limit is 50 ms longer on sockets. */
  private static final int LATEST_MS = 150;

  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    Map<String, Integer> clientOf = new ConcurrentHashMap<>();
    Map<Integer, Double> closedAt = new ConcurrentHashMap<>();
    AtomicInteger late = new AtomicInteger(), seen = new AtomicInteger(), usual = new AtomicInteger();
    for (int i = 1; i <= 2; i++) {
      // Readers of this site read 12,000 to 25,000 tokens a second.
      lab.server("s-reader-" + i, true).tokensPerMs = 12;
      lab.server("s-writer-" + i, false);
    }
    lab.servers.forEach(s -> s.hook = (at, peer, request) -> {
      Integer client = clientOf.get(request.id());
      if (client != null) {
        seen.incrementAndGet();
        Double closed = closedAt.get(client);
        if (closed != null && lab.ms() - closed > LATEST_MS) {
          late.incrementAndGet();
          lab.note("BROKEN: " + at.name + " gets " + request.id() + " " + Math.round(lab.ms() - closed)
              + " ms after its client has closed its connection");
        }
      }
      return false;
    });
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    double end = lab.ms() + 16_000;
    for (int c = 0; c < 2; c++) {
      Lab.spawn(() -> {
        while (lab.ms() < end) {
          String id = lab.newId("c");
          try {
            Lab.Peer peer = new Lab.Peer(g.connect());
            Lab.Answer a = lab.ask(peer, id, Lab.chat(id, 5000, 1000, Long.toHexString(id.hashCode() & 0xffffffL)));
            usual.addAndGet(a.complete() ? 1 : 0);
            peer.close();
          } catch (IOException e) {
            lab.note("a usual client could not connect");
          }
          Lab.pause(200);
        }
      });
    }
    for (int n = 0; n < 10; n++) {
      int client = n;
      Lab.Peer peer = new Lab.Peer(g.connect());
      StringBuilder text = new StringBuilder();
      int count = Lab.TROUBLE ? REQUESTS : 1;
      for (int i = 0; i < count; i++) {
        String id = lab.newId("p");
        clientOf.put(id, client);
        text.append(Lab.chat(id, 6000, 4800, Long.toHexString(id.hashCode() & 0xffffffL)));
      }
      Lab.write(peer.out, text.toString());
      lab.note("client " + client + " has sent " + count + " requests at once");
      Lab.pause(100);
      peer.close();
      closedAt.put(client, lab.ms());
      lab.note("client " + client + " has closed its connection");
      Lab.pause(1200);
    }
    lab.note("attempts seen of clients that go: " + seen + ", begun too late: " + late + "; usual requests answered: " + usual);
    lab.finish(late.get() > 0 ? 1 : seen.get() < 5 || usual.get() < 10 ? 2 : 0);
  }
}
