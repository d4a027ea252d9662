import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Usual clients send a chunked body; the head of their request comes in two pieces. */
final class PiecedHead {
  public static void main(String[] args) throws Exception {
    Lab lab = new Lab(args[0]);
    lab.server("s-reader", true);
    lab.server("s-writer", false);
    Map<String, String> sent = new ConcurrentHashMap<>();
    List<String> changed = new ArrayList<>();
    for (Lab.ModelServer s : lab.servers) {
      s.hook = (at, peer, request) -> {
        String body = new String(request.body(), java.nio.charset.StandardCharsets.UTF_8);
        lab.note(at.name + " has got " + request.id() + " with a body of " + body.length() + " bytes");
        if (!body.equals(sent.get(request.id()))) {
          synchronized (changed) {
            changed.add(request.id() + " came to " + at.name + " with a body of " + body.length() + " bytes in place of "
                + sent.get(request.id()).length());
          }
        }
        return false;
      };
    }
    Lab.Gateway g = lab.new Gateway("n0");
    g.start();
    int whole = 0;
    for (int i = 0; i < 20; i++) {
      String id = lab.newId("c");
      String body = "{\"model\":\"field-query\",\"stream\":true,\"max_tokens\":80,\"messages\":[{\"role\":\"user\",\"content\":\"Is logger "
          + i + " at Petone still rising?\"}]}";
      sent.put(id, body);
      String first = "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nReq-Id: " + id + "\r\nReq-Kind: field-query\r\n"
          + "Req-Owner: northern-metro-water\r\nReq-Key: " + Integer.toHexString(i + 1) + "\r\nReq-Deadline-Ms: 4000\r\n";
      String second = "Req-Extra: prompt_len=1000,prefix_len=0,max_out=80\r\nTransfer-Encoding: Chunked\r\n\r\n" + Lab.chunk(body)
          + "0\r\n\r\n";
      try (java.net.Socket s = g.connect()) {
        Lab.Peer peer = new Lab.Peer(s);
        if (Lab.TROUBLE) {
          Lab.write(peer.out, first);
          Lab.pause(50);
        }
        lab.note("client sends " + id + " with a body of " + body.length() + " bytes" + (Lab.TROUBLE ? ", its head in two pieces" : ""));
        Lab.Answer a = lab.ask(peer, id, Lab.TROUBLE ? second : first + second);
        lab.note(a);
        whole += a.status() == 200 && a.complete() ? 1 : 0;
      } catch (IOException e) {
        lab.note("client's connection is closed");
      }
      Lab.pause(100);
    }
    changed.forEach(c -> lab.note("BROKEN: " + c));
    lab.note(changed.size() + " attempts with another body than the client's; " + whole + " of 20 answered whole with 200");
    lab.note("log: " + g.logText());
    lab.finish(!changed.isEmpty() ? 1 : whole < 15 ? 2 : 0);
  }
}
