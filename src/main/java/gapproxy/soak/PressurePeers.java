package gapproxy.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model servers and discovery for {@link MemoryPressure}. Each connection has a thread, which sends as fast as the gateway reads.
 * The header {@link #BEHAVIOUR} of a request says how the server answers it.
 */
final class PressurePeers implements AutoCloseable {
  static final String BEHAVIOUR = "x-behaviour";
  private static final int READERS = 4, SERVERS = 8, BACKLOG = 512, CHUNK_BYTES = 32 << 10;
  private static final int COMPLETE_UPDATE_BYTES = 1900 << 10, UNFINISHED_UPDATE_BYTES = 4 << 20;
  private static final long HEARTBEAT_INTERVAL_MS = 2000, USELESS_UPDATE_INTERVAL_MS = 50;
  private static final String EVENT = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"},\"finish_reason\":null}]}\n\n";
  private static final String LAST_EVENTS = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":900,\"completion_tokens\":9,"
      + "\"prompt_tokens_details\":{\"cached_tokens\":128}}}\n\ndata: [DONE]\n\n";

  /** How a model server answers a request. */
  enum Behaviour {
    /** A few events and a regular end of the stream. */
    ANSWER,
    /** No answer; the connection stays open. */
    SILENT,
    /** Refuses each request as declined. */
    DECLINE,
    /** Endless events of 8 KiB. */
    LARGE_EVENTS,
    /** Endless events of 400 bytes. */
    SMALL_EVENTS,
    /** Endless events with texts of 4 bytes. */
    TINY_EVENTS,
    /** Endless comments of 1 KiB, without any event. */
    COMMENTS,
    /** A long event without its end, and then nothing. */
    UNFINISHED_EVENT,
    /** A complete event, then a long one without its end, and then nothing. */
    UNFINISHED_SECOND_EVENT
  }

  /** A request or response header, and the length of its body. */
  record Head(String firstLine, List<String> headers, long length, boolean chunked) {
    String header(String name) {
      return headers.stream().filter(h -> h.toLowerCase(Locale.ROOT).startsWith(name + ":")).findFirst()
          .map(h -> h.substring(name.length() + 1).strip()).orElse(null);
    }
  }

  private final List<ServerSocket> modelServers = new ArrayList<>();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger uselessUpdates = new AtomicInteger();
  private final boolean floodedDiscovery;
  private final ServerSocket discovery;

  /**
   * Starts the servers.
   *
   * @param floodedDiscovery whether discovery sends large updates that change nothing after each list
   */
  PressurePeers(boolean floodedDiscovery) throws IOException {
    this.floodedDiscovery = floodedDiscovery;
    for (int i = 0; i < SERVERS; i++) {
      boolean reader = i < READERS;
      modelServers.add(listen(s -> serveModelRequests(s, reader)));
    }
    discovery = listen(this::serveDiscovery);
  }

  /** Serves one connection. */
  interface ConnectionHandler {
    void handle(Socket s) throws IOException;
  }

  /**
   * Runs a handler on a new thread and closes the connection afterwards. Connection errors end it silently, as peers may close at
   * any time.
   */
  static Thread startHandler(String name, Socket s, ConnectionHandler handler) {
    Thread t = new Thread(null, () -> {
      try (s) {
        handler.handle(s);
      } catch (IOException e) {
        return;
      }
    }, name, 256 << 10);
    t.setDaemon(true);
    t.start();
    return t;
  }

  private ServerSocket listen(ConnectionHandler handler) throws IOException {
    ServerSocket l = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    Thread t = new Thread(() -> {
      while (!l.isClosed()) {
        try {
          Socket s = l.accept();
          connections.add(s);
          startHandler("pressure-server", s, handler);
        } catch (IOException e) {
          continue;
        }
      }
    }, "pressure-accept");
    t.setDaemon(true);
    t.start();
    return l;
  }

  int discoveryPort() {
    return discovery.getLocalPort();
  }

  /** The list of model servers, in the format of discovery. */
  String hosts() {
    StringBuilder b = new StringBuilder("{\"seq\":1,\"whole\":true,\"hosts\":[");
    for (int i = 0; i < SERVERS; i++) {
      b.append(i == 0 ? "" : ",").append("{\"host\":\"s-").append(i).append("\",\"dial\":\"127.0.0.1:")
          .append(modelServers.get(i).getLocalPort())
          .append("\",\"site\":\"").append(i % 2 == 0 ? "a" : "b").append("\",\"class\":\"").append(i < READERS ? "reading" : "writing")
          .append("\",\"block\":0,\"health\":\"up\",\"share\":1.0,\"born_ms\":0}");
    }
    return b.append("]}").toString();
  }

  private void serveDiscovery(Socket s) throws IOException {
    if (readHead(new BufferedInputStream(s.getInputStream())) == null) {
      return;
    }
    OutputStream out = s.getOutputStream();
    out.write(ascii("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"));
    for (;;) {
      writeChunk(out, ascii(hosts() + "\n"));
      if (floodedDiscovery) {
        writeUselessUpdate(out, uselessUpdates.incrementAndGet() % 2 == 0);
      }
      try {
        Thread.sleep(floodedDiscovery ? USELESS_UPDATE_INTERVAL_MS : HEARTBEAT_INTERVAL_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /**
   * Writes an update whose entries are empty objects, the shortest possible values. It is either complete, or longer than any
   * valid list and never ended.
   */
  private static void writeUselessUpdate(OutputStream out, boolean whole) throws IOException {
    byte[] piece = ascii("{},".repeat(CHUNK_BYTES / 3));
    writeChunk(out, ascii("{\"seq\":1,\"whole\":false,\"hosts\":["));
    for (int sent = 0; sent < (whole ? COMPLETE_UPDATE_BYTES : UNFINISHED_UPDATE_BYTES); sent += piece.length) {
      writeChunk(out, piece);
    }
    if (whole) {
      writeChunk(out, ascii("{}]}\n"));
    }
  }

  private void serveModelRequests(Socket s, boolean reader) throws IOException {
    InputStream in = new BufferedInputStream(s.getInputStream(), CHUNK_BYTES);
    OutputStream out = s.getOutputStream();
    for (Head h = readHead(in); h != null; h = readHead(in)) {
      readBodyTail(in, h);
      String path = h.firstLine().split(" ")[1];
      if (path.startsWith("/kv/")) {
        out.write(ascii("HTTP/1.1 " + (h.firstLine().startsWith("DELETE") ? "204 No Content" : "409 Conflict\r\nContent-Length: 0")
            + "\r\n\r\n"));
      } else if (!path.startsWith("/v1/")) {
        writeResponse(out, "200 OK", "{\"outstanding\":0,\"backlog\":0,\"x0\":0.1,\"x1\":0}");
      } else {
        String named = h.header(BEHAVIOUR);
        answer(out, named == null ? Behaviour.ANSWER : Behaviour.valueOf(named), reader);
      }
    }
  }

  private static void answer(OutputStream out, Behaviour behaviour, boolean reader) throws IOException {
    if (behaviour == Behaviour.SILENT) {
      return;  // leave the connection open
    } else if (behaviour == Behaviour.DECLINE) {
      writeResponse(out, "503 Service Unavailable\r\nSrv-Declined: 1", "{}");
      return;
    }
    if (reader) {
      writeResponse(out, "202 Accepted", "{\"cached_tokens\":128}");
      return;
    }
    out.write(ascii("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
    byte[] unfinished = ascii("data: " + "x".repeat((64 << 10) - 64));
    switch (behaviour) {
      case LARGE_EVENTS -> writeForever(out, String.format(EVENT, "w".repeat(8 << 10)));
      case SMALL_EVENTS -> writeForever(out, String.format(EVENT, "w".repeat(330)).repeat(20));
      case TINY_EVENTS -> writeForever(out, String.format(EVENT, "oqvh").repeat(100));
      case COMMENTS -> writeForever(out, ": " + "c".repeat(1 << 10) + "\n\n");
      case UNFINISHED_EVENT -> writeChunk(out, unfinished);
      case UNFINISHED_SECOND_EVENT -> {
        writeChunk(out, ascii(String.format(EVENT, "w")));
        writeChunk(out, unfinished);
      }
      default -> {
        writeChunk(out, ascii(String.format(EVENT, "w").repeat(3) + LAST_EVENTS));
        out.write(ascii("0\r\n\r\n"));
      }
    }
  }

  private static void writeForever(OutputStream out, String text) throws IOException {
    byte[] bytes = ascii(text);
    for (;;) {
      writeChunk(out, bytes);
    }
  }

  static void writeChunk(OutputStream out, byte[] bytes) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream(bytes.length + 16);
    all.writeBytes(ascii(Integer.toHexString(bytes.length) + "\r\n"));
    all.writeBytes(bytes);
    all.writeBytes(ascii("\r\n"));
    out.write(all.toByteArray());
  }

  private static void writeResponse(OutputStream out, String status, String body) throws IOException {
    out.write(ascii("HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Reads a header; null at the end of the connection. */
  static Head readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    List<String> headers = new ArrayList<>();
    long length = 0;
    boolean chunked = false;
    for (String l = readLine(in); l != null && !l.isEmpty(); l = readLine(in)) {
      headers.add(l);
      String lower = l.toLowerCase(Locale.ROOT);
      length = lower.startsWith("content-length:") ? Long.parseLong(lower.substring(15).strip()) : length;
      chunked |= lower.startsWith("transfer-encoding:");
    }
    return new Head(first, headers, length, chunked);
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder b = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return null;
      }
      b.append((char) c);
    }
    return b.toString().strip();
  }

  /** Reads a body to its end. Returns up to 64 bytes of the end of its last chunk, or an empty text if it isn't chunked. */
  static String readBodyTail(InputStream in, Head h) throws IOException {
    return readBodyTail(in, h, () -> { });
  }

  /**
   * Reads a body to its end and returns the end of its last chunk, as {@link #readBodyTail(InputStream, Head)} does.
   *
   * @param onChunk called for each chunk
   */
  static String readBodyTail(InputStream in, Head h, Runnable onChunk) throws IOException {
    String last = "";
    if (!h.chunked()) {
      in.skipNBytes(h.length());
      return last;
    }
    for (int size = readChunkSize(in); size > 0; size = readChunkSize(in)) {
      byte[] bytes = in.readNBytes(size);
      onChunk.run();
      last = new String(bytes, Math.max(0, bytes.length - 64), Math.min(64, bytes.length), StandardCharsets.US_ASCII);
      readLine(in);
    }
    readLine(in);
    return last;
  }

  private static int readChunkSize(InputStream in) throws IOException {
    String l = readLine(in);
    if (l == null) {
      throw new IOException("connection closed before the end of a chunked body");
    }
    return Integer.parseInt(l, 16);
  }

  @Override
  public void close() throws IOException {
    discovery.close();
    for (ServerSocket l : modelServers) {
      l.close();
    }
    for (Socket s : connections) {
      s.close();
    }
  }
}
