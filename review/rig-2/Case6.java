import java.nio.file.*;
import java.util.*;

/** The links of the racks are slow for a while; a req that must never run twice is forwarded to two writers, of which both got it whole. */
final class Case6 {
  static final double NORMAL = 7e6, SLOW = 1e6;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int broken = 0;
    int served = 0;
    try (Rig rig = new Rig(Path.of(args[0]).toAbsolutePath().normalize(), Path.of(args[1]))) {
      rig.goesOn = true;
      for (int i = 0; i < 4; i++) {
        rig.server("reader-" + i, "read", i % 2 == 0 ? "a" : "b", i).readMs = 20;
        Rig.Server writer = rig.server("writer-" + i, "write", i % 2 == 0 ? "a" : "b", i);
        writer.stepMs = 8;
        writer.events = 6;
      }
      rig.servers.forEach(s -> s.proxy.bytesPerSecond = NORMAL);
      rig.agent = rig.new Agent();
      String settings = Rig.withClasses(Rig.settings("read_like", "all", 5000, 7500, 300, 1000, false, false, true, true, true, true),
          Rig.clazz("trail-ask", "read_like", "all", 5000, 1500, 7500, 3) + "," + Rig.clazz("booking", "non_idempotent", "all", 5000, 2500, 12_000, 2));
      List<Rig.Gateway> gateways = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        gateways.add(rig.new Gateway("n" + i, settings, 512));
        if (!gateways.get(i).start()) {
          System.out.println("a gateway is not ready");
          System.exit(2);
        }
      }
      Load load = new Load(rig);
      double end = rig.now() + 100_000, large = rig.now() + 6000;
      for (int i = 0; i < 3; i++) {
        load.start(gateways.get(i), i, 12, end, 100, (sent, random) -> {
          sent.kind = random.nextInt(100) < 43 ? "booking" : "trail-ask";
          sent.deadlineMs = sent.kind.equals("booking") ? 6000 + random.nextInt(6000) : 3750 + random.nextInt(3750);
          // Small ones first, until the gateways have got warm.
          String body = Load.body(rig.now() < large ? 5000 : 100_000 + random.nextInt(150_000));
          return Rig.request(sent.id, sent.kind, "town", sent.deadlineMs, body.length() / 4, body);
        });
      }
      Rig.sleep(12_000);
      for (int episode = 0; episode < 4 && doubles(rig).isEmpty(); episode++) {
        if (trouble) {
          rig.log("the links of the racks run 7 times slower");
          rig.servers.forEach(s -> s.proxy.bytesPerSecond = SLOW);
        }
        Rig.sleep(17_000);
        rig.log("the links of the racks are as usual");
        rig.servers.forEach(s -> s.proxy.bytesPerSecond = NORMAL);
        Rig.sleep(4000);
      }
      load.stop();
      load.await();
      Rig.sleep(1000);
      Set<String> doubles = doubles(rig);
      for (Load.Sent sent : load.all) {
        Rig.Work work = rig.work(sent.id);
        served += sent.answer.status == 200 && sent.answer.whole ? 1 : 0;
        if (doubles.contains(sent.id)) {
          broken++;
          rig.log("BROKEN: %s, never to run twice, came whole to several writers, ran %d times; client: %s; attempts %s", sent.id,
              work.effects.get(), sent.answer, work.tries);
          System.out.printf("BROKEN: %s came whole to several writers and ran %d times: %s%n", sent.id, work.effects.get(), work.tries);
        }
      }
      rig.log("ends: %s; broken: %d", load.ends(), broken);
      System.out.printf("sent %d, ends %s, broken %d%n", load.all.size(), load.ends(), broken);
    }
    System.exit(served < 200 ? 2 : broken > 0 ? 1 : 0);
  }

  /**
   * The reqs that must never run twice and came whole to more than one writer. An attempt counts once its last byte has arrived; one that was
   * declined has never run; one at a reader has no effect.
   */
  static Set<String> doubles(Rig rig) {
    Set<String> ids = new TreeSet<>();
    for (Rig.Work work : rig.works.values()) {
      if ("booking".equals(work.kind) && work.tries.stream().filter(t -> t.what.equals("write") && !t.end.equals("declined")).count() > 1) {
        ids.add(work.id);
      }
    }
    return ids;
  }
}
