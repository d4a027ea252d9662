import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A client sends a request with a Content-Length and a Transfer-Encoding, and another request in its body. */
final class HiddenRequest {
  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    lab.server("s-reader", true);
    lab.server("s-writer", false);
    List<String> passedOn = new ArrayList<>();
    for (Lab.ModelServer s : lab.servers) {
      s.hook = (at, peer, request) -> {
        if (request.id().startsWith("hidden")) {
          synchronized (passedOn) {
            passedOn.add(request.id() + " runs at " + at.name);
          }
        }
        return false;
      };
    }
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    for (int i = 0; i < 5; i++) {
      String id = lab.newId("outer");
      String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: field-query\r\n"
          + "Req-Owner: northern-metro-water\r\nReq-Key: 1\r\nReq-Deadline-Ms: 4000\r\n";
      String body = "0\r\n\r\n" + Lab.chat(lab.newId("hidden"), 4000, 1000, "2");
      String text = Lab.TROUBLE
          ? head + "Content-Length : " + body.length() + "\r\nTransfer-Encoding: chunked\r\n\r\n" + body
          : head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
      try (java.net.Socket s = g.connect()) {
        Lab.Peer peer = new Lab.Peer(s);
        lab.note("client sends " + id + ", with another request in its body");
        lab.note(lab.ask(peer, id, text));
        Lab.pause(1500);
      } catch (IOException e) {
        lab.note("client's connection is closed");
      }
      String usual = lab.newId("usual");
      try (java.net.Socket s = g.connect()) {
        Lab.Answer a = lab.ask(new Lab.Peer(s), usual, Lab.chat(usual, 4000, 1000, "3"));
        lab.note(a);
        if (a.status() != 200) {
          lab.finish(2);
        }
      }
    }
    passedOn.forEach(p -> lab.note("BROKEN: " + p));
    lab.note("log: " + g.logText());
    lab.finish(passedOn.isEmpty() ? 0 : 1);
  }
}
