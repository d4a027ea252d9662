import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A writer ends its streams with its load report as a comment line, and no blank line behind it. */
final class ReportLine {
  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    Map<String, Boolean> finished = new ConcurrentHashMap<>();
    lab.server("s-reader-1", true);
    lab.server("s-reader-2", true);
    for (int i = 1; i <= 2; i++) {
      boolean lineOnly = Lab.TROUBLE && i == 1;
      lab.server("s-writer-" + i, false).hook = (at, peer, request) -> {
        stream(lab, at, peer, request.id(), lineOnly, finished);
        return true;
      };
    }
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    AtomicInteger whole = new AtomicInteger(), cut = new AtomicInteger();
    double end = lab.ms() + 15_000;
    for (int c = 0; c < 4; c++) {
      Lab.spawn(() -> {
        while (lab.ms() < end) {
          String id = lab.newId("c");
          try {
            Lab.Peer peer = new Lab.Peer(g.connect());
            Lab.Answer a = lab.ask(peer, id, Lab.chat(id, 5000, 1000, Long.toHexString(id.hashCode() & 0xffffffL)));
            lab.note(a);
            if (a.complete() && a.status() == 200 && a.text().contains("data: [DONE]")) {
              whole.incrementAndGet();
            } else if (a.status() == 200 && finished.containsKey(id)) {
              cut.incrementAndGet();
              lab.note("BROKEN: the writer sent the stream of " + id + " to its last chunk; the client's connection ended without the last chunk");
            }
            peer.close();
          } catch (IOException e) {
            lab.note("a client could not connect");
          }
          Lab.pause(150);
        }
      });
    }
    Lab.pause(16_000);
    lab.note("streams served whole: " + whole + ", cut off though their writer had finished them: " + cut);
    lab.finish(cut.get() > 0 ? 1 : whole.get() < 20 ? 2 : 0);
  }

  private static void stream(Lab lab, Lab.ModelServer at, Lab.Peer peer, String id, boolean lineOnly, Map<String, Boolean> finished)
      throws IOException {
    lab.held.remove(id);
    Lab.pause(20);
    Lab.write(peer.out, Lab.STREAM_HEAD);
    for (int i = 0; i < 6; i++) {
      Lab.write(peer.out, Lab.chunk(Lab.event(id + "-" + i, i == 5)));
      Lab.pause(20);
    }
    finished.put(id, true);
    lab.note(at.name + " sends the last events of " + id + ", its load report as a comment line" + (lineOnly ? "" : " with a blank line")
        + ", and the last chunk");
    Lab.write(peer.out, Lab.chunk(Lab.STREAM_TAIL + ": Srv-Load: " + Lab.LOAD_REPORT + (lineOnly ? "\n" : "\n\n")) + "0\r\n\r\n");
  }
}
