import java.util.ArrayList;
import java.util.List;

/** A client sends hundreds of requests at once on one connection and leaves. */
final class Leaver {
  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    int count = 400;
    Lab.ModelServer r = lab.server("s-reader", true);
    lab.server("s-writer", false);
    r.readMs = 1000;
    double[] closedAt = {Double.MAX_VALUE};
    List<String> late = new ArrayList<>();
    for (Lab.ModelServer s : lab.servers) {
      s.hook = (at, peer, request) -> {
        synchronized (late) {
          if (lab.ms() > closedAt[0] + 150) {
            late.add(request.id() + " at " + at.name + ", " + Math.round(lab.ms() - closedAt[0]) + " ms after the close");
          }
        }
        return false;
      };
    }
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    StringBuilder all = new StringBuilder();
    for (int i = 0; i < count; i++) {
      all.append(Lab.chat(lab.newId("c"), 4000, 1000, Integer.toHexString(i + 1)));
    }
    Lab.Peer peer = new Lab.Peer(g.connect());
    Lab.write(peer.out, all.toString());
    lab.note("client has sent " + count + " requests on one connection");
    Lab.pause(300);
    if (Lab.TROUBLE) {
      peer.close();
      closedAt[0] = lab.ms();
      lab.note("client closes its connection");
    }
    Lab.pause(8000);
    peer.close();
    late.forEach(l -> lab.note("BROKEN: " + l));
    lab.note("log: " + g.logText());
    lab.finish(late.isEmpty() ? 0 : 1);
  }
}
