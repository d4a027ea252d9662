import java.io.IOException;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** Some streams come spoilt by an event that never ends and is soon longer than any body may be. Their clients are left waiting for as long as the noise goes on. */
final class Case10 {
  static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int broken = 0, served = 0;
    Map<String, Double> spoiltAt = Collections.synchronizedMap(new TreeMap<>());
    try (Rig rig = new Rig(Path.of(args[0]).toAbsolutePath().normalize(), Path.of(args[1]))) {
      for (int i = 0; i < 3; i++) {
        rig.server("reader-" + i, "read", i % 2 == 0 ? "a" : "b", i);
        rig.server("writer-" + i, "write", i % 2 == 0 ? "a" : "b", i);
      }
      rig.agent = rig.new Agent();
      Rig.Gateway gateway = rig.new Gateway("n0", Rig.settings("read_like", "all", 5000, 7500, 500, 500, true, false, true, true, true, true), 512);
      if (!gateway.start()) {
        System.out.println("the gateway is not ready");
        System.exit(2);
      }
      double end = rig.now() + 25_000;
      Random random = new Random(10);
      if (trouble) {
        for (Rig.Server server : rig.servers) {
          server.play = (at, conn, m, attempt) -> {
            boolean spoil;
            synchronized (random) {
              spoil = at.role.equals("write") && random.nextInt(15) == 0;
            }
            if (!spoil) {
              return false;
            }
            String id = m.h("req-id");
            rig.work(id).held.clear();
            attempt.ran = true;
            Rig.sleep(40);
            conn.write(HEAD);
            conn.chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + id + "\"},\"finish_reason\":null}]}\n\n");
            spoiltAt.put(id, rig.now());
            rig.log("%s: the stream of %s comes spoilt after its first event, by one that never ends", at.name, id);
            conn.chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"");
            while (!conn.closed && rig.now() < end + 12_000) {
              Rig.sleep(100);
              conn.chunk("~noise~~".repeat(4096));
            }
            return true;
          };
        }
      }
      Load load = new Load(rig);
      load.start(gateway, 0, 10, end, 200, (sent, r) -> {
        sent.kind = "talk";
        sent.deadlineMs = 3750 + r.nextInt(3750);
        String body = Load.body(2000 + r.nextInt(10_000));
        return Rig.request(sent.id, sent.kind, "town", sent.deadlineMs, body.length() / 4, body);
      });
      load.await();
      double over = rig.now();
      for (Load.Sent sent : load.all) {
        served += sent.answer.status == 200 && sent.answer.whole ? 1 : 0;
        Double at = spoiltAt.get(sent.id);
        if (at != null && (sent.answer.endAt - at > 5050 || sent.answer.whole)) {
          broken++;
          String text = String.format(Locale.ROOT, "BROKEN: %s: its last event was at %.0f, its connection ended %.0f ms later (%s)", sent.id, at,
              sent.answer.endAt - at, sent.answer.whole ? "as if whole" : sent.answer.error);
          rig.log("%s", text);
          if (broken <= 5) {
            System.out.println(text);
          }
        }
      }
      String summary = String.format("sent %d, ends %s, spoilt %d, not ended within 5.05 s %d", load.all.size(), load.ends(), spoiltAt.size(), broken);
      rig.log("%s", summary);
      System.out.println(summary);
    }
    System.exit(served < 30 || trouble && spoiltAt.size() < 3 ? 2 : broken > 0 ? 1 : 0);
  }
}
