package gapproxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gapproxy.http.HttpClient;
import gapproxy.list.ListSource;
import gapproxy.list.ServerList;
import gapproxy.runtime.LiveLoop;
import gapproxy.runtime.LiveNet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A list of discovery that comes as one chunk, on both sides of what it may hold. */
class OversizedListTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", LIST = "{\"seq\":7,\"whole\":true,\"hosts\":[]";

  private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
  private LiveLoop loop;
  private LiveNet net;
  private ServerSocket server;
  private Watch watch;

  @BeforeEach
  void start() throws IOException {
    loop = new LiveLoop("client");
    net = new LiveNet("client-net", 1);
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    loop.runAndWait(() -> {
      watch = new Watch(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
          new HttpClient(loop, net, Duration.ofSeconds(5)), loop, Duration.ofSeconds(1), new HostListParser(), new ListSource.Listener() {
            @Override
            public void onList(ServerList list) {
              seen.add("list " + list.index());
            }

            @Override
            public void onFailure(String reason) {
              seen.add(reason);
            }
          });
      watch.subscribe();
    });
  }

  @AfterEach
  void stop() throws IOException {
    loop.runAndWait(watch::close);
    server.close();
    loop.close();
    net.close();
  }

  private String answer(int chunkBytes, String line) throws IOException, InterruptedException {
    try (Socket socket = server.accept()) {
      socket.getInputStream().read();
      socket.getOutputStream().write((HEAD + Integer.toHexString(chunkBytes) + "\r\n" + line).getBytes(StandardCharsets.US_ASCII));
      return seen.poll(5, TimeUnit.SECONDS);
    }
  }

  @Test
  void longestListIsTakenAsOneChunk() throws Exception {
    String line = LIST + " ".repeat(JsonObjectSplitter.MAX_OBJECT_BYTES - LIST.length() - 1) + "}\r\n";
    assertEquals(JsonObjectSplitter.MAX_LINE_BYTES, line.length());
    assertEquals("list 7", answer(line.length(), line));
  }

  /** A chunk of any size was read on, with lists in it. */
  @Test
  void chunkThatStatesMoreThanAListMayHoldEndsTheWatch() throws Exception {
    String failure = answer(JsonObjectSplitter.MAX_LINE_BYTES + 1, LIST + "}\n");
    assertTrue(failure.contains("2097155 bytes"), failure);
  }
}
