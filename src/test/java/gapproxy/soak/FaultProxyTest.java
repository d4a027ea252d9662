package gapproxy.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gapproxy.soak.FaultProxy.Hop;
import gapproxy.soak.FaultProxy.Mode;
import gapproxy.soak.FaultProxy.SilenceState;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the fault proxy: its effect on connections, and that it survives connections that end in every mode. */
class FaultProxyTest {
  private static final int SILENT_MS = 300, TIMEOUT_MS = 5_000;

  private final BlockingQueue<Integer> ports = new LinkedBlockingQueue<>();
  private ServerSocket echo;
  private FaultProxy proxy;
  private Hop hop;

  @BeforeEach
  void start() throws Exception {
    echo = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    proxy = new FaultProxy(1);
    hop = proxy.openHop(new InetSocketAddress(echo.getInetAddress(), echo.getLocalPort()));
    Thread server = new Thread(this::serve, "echo");
    server.setDaemon(true);
    server.start();
  }

  private void serve() {
    try {
      while (true) {
        Socket socket = echo.accept();
        ports.add(socket.getPort());
        Thread handler = new Thread(() -> echo(socket), "echo-one");
        handler.setDaemon(true);
        handler.start();
      }
    } catch (IOException e) {
      return;                                                 // the test is over
    }
  }

  private static void echo(Socket socket) {
    try (socket) {
      socket.getInputStream().transferTo(socket.getOutputStream());
    } catch (IOException e) {
      return;  // the connection was reset
    }
  }

  @AfterEach
  void stop() throws IOException {
    proxy.close();
    echo.close();
  }

  private Socket open() throws IOException {
    return open(TIMEOUT_MS);
  }

  private Socket open(int connectTimeoutMs) throws IOException {
    Socket socket = new Socket();
    try {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), hop.port()), connectTimeoutMs);
      socket.setSoTimeout(TIMEOUT_MS);
      return socket;
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  private static int echoed(Socket socket) throws IOException {
    socket.getOutputStream().write('x');
    return socket.getInputStream().read();
  }

  private void awaitSilence(int port, SilenceState wanted) throws InterruptedException {
    for (int i = 0; i < TIMEOUT_MS && proxy.silenceState(port) != wanted; i++) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertEquals(wanted, proxy.silenceState(port));
  }

  @Test
  void openConnectionsFallSilentForGoodWhileNewOnesPass() throws Exception {
    try (Socket old = open()) {
      assertEquals('x', echoed(old));
      int port = ports.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      hop.silenceOpenConnections(1);
      awaitSilence(port, SilenceState.OPEN);
      old.setSoTimeout(SILENT_MS);
      assertThrows(SocketTimeoutException.class, () -> echoed(old));
      try (Socket fresh = open()) {
        assertEquals('x', echoed(fresh));
      }
      old.close();
      awaitSilence(port, SilenceState.CLOSED_BY_GATEWAY);
    }
    assertNull(proxy.failure());
  }

  @Test
  void survivesConnectionsThatEndInEveryMode() throws Exception {
    for (Mode mode : Mode.values()) {
      for (int i = 0; i < 20; i++) {
        try (Socket socket = open(SILENT_MS)) {
          socket.getOutputStream().write('x');
          hop.setMode(mode);
          socket.setSoLinger(true, 0);
        } catch (IOException e) {
          continue;                                           // reset by the mode, or not accepted in it
        }
      }
      TimeUnit.MILLISECONDS.sleep(100);
      hop.setMode(Mode.PASS);
    }
    try (Socket socket = open()) {
      assertEquals('x', echoed(socket));
    }
    assertNull(proxy.failure());
  }

  @Test
  void newConnectionsDoNotComeUpWhileUnreachable() throws Exception {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), hop.port());
    hop.setMode(Mode.UNREACHABLE);
    Thread.sleep(SILENT_MS);
    try (Socket socket = new Socket()) {
      assertThrows(SocketTimeoutException.class, () -> socket.connect(address, SILENT_MS));
    }
    hop.setMode(Mode.PASS);
    Thread.sleep(SILENT_MS);
    try (Socket socket = new Socket()) {
      socket.connect(address, TIMEOUT_MS);
      socket.setSoTimeout(TIMEOUT_MS);
      socket.getOutputStream().write(7);
      assertEquals(7, socket.getInputStream().read());
    }
    assertNull(proxy.failure());
  }
}
