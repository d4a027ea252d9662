import java.util.ArrayList;
import java.util.List;

/** A writer ends its stream with its load report as a comment line, without a blank line behind it. */
final class CommentLine {
  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    lab.server("s-reader", true);
    Lab.ModelServer writer = lab.server("s-writer", false);
    int[] streams = {0};
    List<String> ended = new ArrayList<>();
    writer.hook = (at, peer, request) -> {
      lab.held.remove(request.id());
      boolean line = Lab.TROUBLE && ++streams[0] % 2 == 0;
      Lab.write(peer.out, Lab.STREAM_HEAD);
      for (int i = 0; i < 5; i++) {
        Lab.write(peer.out, Lab.chunk(Lab.event(request.id() + "-" + i, i == 4)));
        Lab.pause(20);
      }
      Lab.write(peer.out, Lab.chunk(Lab.STREAM_TAIL + ": Srv-Load: " + Lab.LOAD_REPORT + "\n" + (line ? "" : "\n")) + "0\r\n\r\n");
      lab.note(at.name + " has sent the whole stream of " + request.id() + " with its last chunk; its comment line ends with "
          + (line ? "one newline" : "a blank line"));
      synchronized (ended) {
        ended.add(request.id());
      }
      return true;
    };
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    List<String> cut = new ArrayList<>();
    int whole = 0;
    for (int i = 0; i < 40; i++) {
      String id = lab.newId("c");
      Lab.Peer peer = new Lab.Peer(g.connect());
      Lab.Answer a = lab.ask(peer, id, Lab.chat(id, 4000, 1000, Integer.toHexString(i + 1)));
      lab.note(a);
      whole += a.status() == 200 && a.complete() ? 1 : 0;
      if (a.status() == 200 && !a.complete() && ended.contains(id)) {
        cut.add(id);
      }
      peer.close();
      Lab.pause(100);
    }
    cut.forEach(id -> lab.note("BROKEN: the client of " + id + " was cut off without the last chunk, though the stream had ended well"));
    lab.note(cut.size() + " streams cut off, " + whole + " passed on whole");
    lab.note("log: " + g.logText());
    lab.finish(!cut.isEmpty() ? 1 : whole < 40 ? 2 : 0);
  }
}
