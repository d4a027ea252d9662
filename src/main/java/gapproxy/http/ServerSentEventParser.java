package gapproxy.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Parses a stream of server-sent events (WHATWG HTML, section 9.2.6). Only data fields are used; all others are ignored. */
public final class ServerSentEventParser {
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private final int maxEventBytes;
  private final Consumer<String> onEvent;
  private boolean lastWasCarriageReturn;
  // Whether the current call of feed has completed an event, and whether it has brought bytes of lines that are no comments.
  private boolean eventCompleted, eventBytesReceived;
  private byte firstLineByte;

  /**
   * @param maxEventBytes maximum length of the data of one event in bytes; a stream that exceeds it is treated as invalid
   * @param onEvent receives the data of each event
   */
  public ServerSentEventParser(int maxEventBytes, Consumer<String> onEvent) {
    this.maxEventBytes = maxEventBytes;
    this.onEvent = onEvent;
  }

  /**
   * Parses the next bytes, which may be split anywhere.
   *
   * @return what they brought
   * @throws IllegalStateException if an event exceeds the maximum length
   */
  public StreamContent feed(byte[] bytes) {
    eventCompleted = false;
    eventBytesReceived = false;
    int from = 0;
    for (int i = 0; i < bytes.length; i++) {
      byte b = bytes[i];
      if (b == '\n' && lastWasCarriageReturn) {
        lastWasCarriageReturn = false;
        from = i + 1;
      } else if (b == '\n' || b == '\r') {
        line.write(bytes, from, i - from);
        from = i + 1;
        lastWasCarriageReturn = b == '\r';
        endLine();
      } else {
        lastWasCarriageReturn = false;
        firstLineByte = line.size() == 0 && i == from ? b : firstLineByte;
      }
    }
    line.write(bytes, from, bytes.length - from);
    eventBytesReceived |= from < bytes.length && firstLineByte != ':';
    if (line.size() + data.length() > maxEventBytes) {
      throw new IllegalStateException("an event of more than " + maxEventBytes + " bytes");
    }
    if (eventCompleted) {
      return StreamContent.EVENT;
    }
    return eventBytesReceived ? StreamContent.EVENT_PART : StreamContent.COMMENTS;
  }

  /** Bytes of the current incomplete event. */
  public int pendingBytes() {
    return line.size() + data.length();
  }

  /** Handles a complete line; a blank one dispatches the event. */
  private void endLine() {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    eventBytesReceived |= !text.isEmpty() && !text.startsWith(":");
    if (text.isEmpty()) {
      if (data.length() > 0) {
        String event = data.substring(0, data.length() - 1);
        data.setLength(0);
        eventCompleted = true;
        onEvent.accept(event);
      }
    } else if (text.startsWith("data:")) {
      data.append(text, text.startsWith("data: ") ? 6 : 5, text.length()).append('\n');
    }
  }
}
