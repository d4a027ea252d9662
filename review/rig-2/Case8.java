import java.io.IOException;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** Some streams come spoilt, with noise in place of the opening event. The forward is given up without its end, and a second copy is sent. */
final class Case8 {
  static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int broken = 0, spoilt = 0, served = 0;
    try (Rig rig = new Rig(Path.of(args[0]).toAbsolutePath().normalize(), Path.of(args[1]))) {
      for (int i = 0; i < 4; i++) {
        rig.server("reader-" + i, "read", i % 2 == 0 ? "a" : "b", i);
        rig.server("writer-" + i, "write", i % 2 == 0 ? "a" : "b", i).stepMs = 15;
      }
      rig.agent = rig.new Agent();
      String settings = Rig.withClasses(Rig.settings("read_like", "all", 5000, 7500, 500, 500, false, false, true, false, true, true),
          Rig.clazz("field-query", "read_like", "all", 5000, 1200, 6000, 3) + "," + Rig.clazz("alarm-chat", "read_like", "all", 5000, 2000, 10_000, 3));
      Rig.Gateway gateway = rig.new Gateway("n0", settings, 512);
      if (!gateway.start()) {
        System.out.println("the gateway is not ready");
        System.exit(2);
      }
      AtomicInteger spoils = new AtomicInteger();
      Random random = new Random(7);
      if (trouble) {
        for (Rig.Server server : rig.servers) {
          server.play = (at, conn, m, attempt) -> {
            boolean spoil;
            synchronized (random) {
              spoil = at.role.equals("write") && random.nextInt(20) == 0;
            }
            if (!spoil) {
              return false;
            }
            boolean noise = spoils.incrementAndGet() % 2 == 0;
            rig.log("%s: the stream of %s comes spoilt, with %s", at.name, m.h("req-id"),
                noise ? "noise in place of its opening" : "a chunk that is said to have six bytes and has two");
            Rig.sleep(40);
            attempt.ran = true;
            conn.write(HEAD);
            if (noise) {
              conn.chunk("\u0007\u0013 noise ~~ noise \u0001\n");
            } else {
              conn.write("6\r\nda\r\n");
            }
            // The connection stays open but is of no further use.
            while (!conn.closed && rig.now() - attempt.arrivedAt < 20_000) {
              Rig.sleep(5);
            }
            return true;
          };
        }
      }
      Load load = new Load(rig);
      load.start(gateway, 0, 10, rig.now() + 30_000, 200, (sent, r) -> {
        sent.kind = r.nextBoolean() ? "field-query" : "alarm-chat";
        sent.deadlineMs = (sent.kind.equals("alarm-chat") ? 5000 : 3000) + r.nextInt(3000);
        String body = Load.body(2000 + r.nextInt(10_000));
        return Rig.request(sent.id, sent.kind, "town", sent.deadlineMs, body.length() / 4, body);
      });
      load.await();
      Rig.sleep(1000);
      for (Load.Sent sent : load.all) {
        served += sent.answer.status == 200 && sent.answer.whole ? 1 : 0;
        List<Rig.Try> tries = rig.work(sent.id).tries;
        for (int i = 1; i < tries.size(); i++) {
          Rig.Try later = tries.get(i);
          for (Rig.Try earlier : tries.subList(0, i)) {
            // Out: its last byte had arrived, nothing had ended it, and its connection was open for 100 ms more at least.
            if (earlier.arrivedAt < later.arrivedAt && !(earlier.endedAt < later.arrivedAt + 100)) {
              broken++;
              String text = String.format(Locale.ROOT, "BROKEN: %s got a second copy at %.0f while the first was out on an open connection: %s",
                  sent.id, later.arrivedAt, tries);
              rig.log("%s", text);
              if (broken <= 5) {
                System.out.println(text);
              }
            }
          }
        }
      }
      spoilt = spoils.get();
      String summary = String.format("sent %d, ends %s, spoilt streams %d, second copies %d", load.all.size(), load.ends(), spoilt, broken);
      rig.log("%s", summary);
      System.out.println(summary);
    }
    System.exit(served < 100 || trouble && spoilt < 5 ? 2 : broken > 0 ? 1 : 0);
  }
}
