import java.io.IOException;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** A fleet with sixteen times the model servers, the traffic of a gateway as usual: reqs get their final answers after their time, or none. */
final class Case7 {
  static final int USUAL = 200, LARGE = 3200, REQS_PER_SECOND = 12, SECONDS = 40;

  public static void main(String[] args) throws Exception {
    int size = "0".equals(System.getenv("TROUBLE")) ? USUAL : LARGE;
    int late = 0, answered = 0;
    try (Rig rig = new Rig(Path.of(args[0]).toAbsolutePath().normalize(), Path.of(args[1]))) {
      rig.fleet(size, 3);
      rig.agent = rig.new Agent();
      String settings = Rig.withClasses(Rig.settings("read_like", "all", 5000, 5000, 1000, 250, true, true, true, true, true, true)
              .replace("\"balancers\":2", "\"balancers\":100").replace("[\"a\",\"b\"]", "[\"a\",\"b\",\"c\"]"),
          Rig.clazz("quick-alert", "read_like", "all", 5000, 1000, 5000, 3) + "," + Rig.clazz("notice-rework", "read_like", "all", 5000, 2500, 10_000, 2));
      Rig.Gateway gateway = rig.new Gateway("n0", settings, 512);
      if (!gateway.start()) {
        System.out.println("the gateway is not ready");
        System.exit(2);
      }
      rig.log("%d model servers", size);
      Rig.sleep(2000);
      Random random = new Random(10);
      Map<String, Integer> ends = new ConcurrentSkipListMap<>();
      List<Load.Sent> all = new CopyOnWriteArrayList<>();
      CountDownLatch open = new CountDownLatch(REQS_PER_SECOND * SECONDS);
      for (int i = 0; i < REQS_PER_SECOND * SECONDS; i++) {
        Rig.sleep(-Math.log(1 - random.nextDouble()) * 1000 / REQS_PER_SECOND);
        int draw = random.nextInt(100);
        Load.Sent sent = new Load.Sent();
        sent.kind = draw < 75 ? "quick-alert" : "notice-rework";
        sent.deadlineMs = (int) ((draw < 75 ? 5000 : 10_000) * (0.5 + 0.5 * random.nextDouble()));
        sent.id = rig.newId();
        String body = Load.body(4000 + random.nextInt(12_000));
        String text = Rig.request(sent.id, sent.kind, "town", sent.deadlineMs, body.length() / 4, body);
        rig.pool.execute(() -> {
          try (Rig.Client client = rig.new Client(gateway.port)) {
            client.send(text);
            sent.at = rig.now();
            sent.answer = client.read(sent.deadlineMs + 30_000);
          } catch (IOException e) {
            sent.answer = new Rig.Answer();
            sent.answer.error = "not sent";
          }
          rig.log("client: %s %s, time %d ms: %s", sent.kind, sent.id, sent.deadlineMs, sent.answer);
          ends.merge(sent.answer.status + sent.answer.error, 1, Integer::sum);
          all.add(sent);
          open.countDown();
        });
      }
      open.await(45, TimeUnit.SECONDS);
      for (Load.Sent sent : all) {
        double first = Double.isNaN(sent.answer.firstAt) ? sent.answer.endAt : sent.answer.firstAt;
        answered += sent.answer.status > 0 ? 1 : 0;
        // Half a second after its time it only earns nothing; every time limit is 50 ms longer on sockets.
        if (sent.at > 0 && first - sent.at > sent.deadlineMs + 550) {
          late++;
          rig.log("BROKEN: %s had %d ms, its answer began after %.0f ms: %s", sent.id, sent.deadlineMs, first - sent.at, sent.answer);
        }
      }
      late += (int) open.getCount();
      String summary = String.format(Locale.ROOT, "%d model servers, sent %d, ends %s, no final answer by half a second after its time: %d; the gateway took %.1f s of processor time in all",
          size, REQS_PER_SECOND * SECONDS, ends, late, gateway.process.info().totalCpuDuration().map(d -> d.toMillis() / 1000.0).orElse(-1.0));
      rig.log("%s", summary);
      System.out.println(summary);
    }
    System.exit(answered < 20 ? 2 : late > 0 ? 1 : 0);
  }
}
