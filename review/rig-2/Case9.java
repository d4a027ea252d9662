import java.io.IOException;
import java.nio.file.*;
import java.util.*;

/** A gateway is killed and starts again while discovery is down; by its old list it sends to a model server that drains. */
final class Case9 {
  static final int GRACE_MS = 1000;

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int broken = 0, served = 0;
    try (Rig rig = new Rig(Path.of(args[0]).toAbsolutePath().normalize(), Path.of(args[1]))) {
      for (int i = 0; i < 3; i++) {
        rig.server("reader-" + i, "read", i % 2 == 0 ? "a" : "b", i);
        rig.server("writer-" + i, "write", i % 2 == 0 ? "a" : "b", i);
      }
      rig.agent = rig.new Agent();
      Rig.Gateway gateway = rig.new Gateway("n0", Rig.settings("read_like", "all", 5000, 7500, 300, GRACE_MS, false, false, true, true, true, true), 512);
      if (!gateway.start()) {
        System.out.println("the gateway is not ready");
        System.exit(2);
      }
      Load load = new Load(rig);
      double end = rig.now() + 22_000;
      load.start(gateway, 0, 8, end, 150, (sent, r) -> {
        sent.kind = "talk";
        sent.deadlineMs = 3750 + r.nextInt(3750);
        String body = Load.body(4000 + r.nextInt(8000));
        return Rig.request(sent.id, sent.kind, "town", sent.deadlineMs, body.length() / 4, body);
      });
      Rig.sleep(6000);
      String known = rig.agent.whole();                       // the list as this gateway last had it
      rig.log("SIGKILL to n0");
      gateway.kill();
      Rig.sleep(200);
      Rig.Server drained = rig.servers.get(1);
      drained.health = "draining";
      rig.agent.tell(drained);                                // the agent on the gateway's machine has it from here on
      Rig.sleep(300);
      if (trouble) {
        rig.log("discovery is down, the agent is silent");
        rig.agent.silent = true;
        rig.pool.execute(() -> {
          Rig.sleep(8000);
          rig.agent.silent = false;
          rig.log("discovery is back");
        });
      }
      Rig.sleep(500);
      gateway.known = known;
      double startedAt = rig.now();
      if (!gateway.start()) {
        System.out.println("the gateway is not ready again");
        System.exit(2);
      }
      double readyAt = rig.now();
      load.await();
      Rig.sleep(500);
      for (Load.Sent sent : load.all) {
        served += sent.answer.status == 200 && sent.answer.whole && sent.at > readyAt ? 1 : 0;
        for (Rig.Try t : rig.work(sent.id).tries) {
          if (t.server == drained && t.firstByteAt > startedAt && t.firstByteAt > startedAt + GRACE_MS + 50) {
            broken++;
            rig.log("BROKEN: %s got %s %.0f ms after the start of n0, when n0 counts as told that it drains", drained.name, sent.id,
                t.firstByteAt - startedAt);
          }
        }
      }
      String summary = String.format(Locale.ROOT, "ready %.0f ms after the start; sent %d, ends %s; %d sent to %s, which drains, over %d ms after the start",
          readyAt - startedAt, load.all.size(), load.ends(), broken, drained.name, GRACE_MS + 50);
      rig.log("%s", summary);
      System.out.println(summary);
    }
    System.exit(served < 20 ? 2 : broken > 0 ? 1 : 0);
  }
}
