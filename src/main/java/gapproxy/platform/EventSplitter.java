package gapproxy.platform;

import gapproxy.http.StreamContent;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a model server's response stream into server-sent events and comments, passes each on byte for byte, and rejects a stream that
 * holds anything else. An event is a block of lines up to a blank line. A comment line outside of an event stands for itself, since no
 * blank line has to follow it; a comment line inside of one is part of it. An event may have any length: a long one is passed on in parts.
 * Belongs to one loop.
 */
final class EventSplitter {
  /** Receives the events and comments of a stream. */
  interface Listener {
    /**
     * A complete event, with the blank line that ends it.
     *
     * @param text the same bytes, decoded as UTF-8
     */
    void event(byte[] bytes, String text);

    /**
     * A complete comment line or a blank line, outside of an event.
     *
     * @param text the same bytes, decoded as UTF-8
     */
    void comment(byte[] bytes, String text);

    /** The next or last part of an event whose first part was forwarded before the event was complete. */
    void partialEvent(byte[] bytes);

    /** The next or last part of a comment whose first part was forwarded before the comment was complete. */
    void partialComment(byte[] bytes);
  }

  private static final int MAX_BUFFERED_BYTES = 4 << 10;
  private static final String DATA_FIELD = "data:";
  private ByteArrayOutputStream buffer = new ByteArrayOutputStream();
  private final Listener listener;
  // Length of the incomplete event or comment, with the parts that have been forwarded.
  private long unfinishedBytes;
  // Length of the current line, without a line feed, and its first and last byte.
  private int lineBytes;
  private byte firstLineByte, lastLineByte;
  // Whether the buffer holds complete lines of an event.
  private boolean insideBlock;
  // Whether parts of the current event or comment have already been forwarded.
  private boolean partForwarded;
  // Whether the first bytes of the incomplete event were found to be those of an event.
  private boolean beginningChecked;
  // Whether the current call of feed has completed an event.
  private boolean eventCompleted;
  // Whether the current call of feed has brought bytes of an event other than comment lines.
  private boolean eventBytesReceived;

  EventSplitter(Listener listener) {
    this.listener = listener;
  }

  /**
   * Processes the next bytes, which may be split at any point.
   *
   * @return what they brought
   * @throws IllegalStateException if the stream holds something other than events
   */
  StreamContent feed(byte[] bytes) {
    eventCompleted = false;
    eventBytesReceived = false;
    int from = 0;
    for (int i = 0; i < bytes.length; i++) {
      byte b = bytes[i];
      if (b == '\n') {
        append(bytes, from, i + 1);
        from = i + 1;
        endLine();
      } else {
        firstLineByte = lineBytes == 0 ? b : firstLineByte;
        lastLineByte = b;
        lineBytes++;
      }
    }
    append(bytes, from, bytes.length);
    eventBytesReceived |= from < bytes.length && firstLineByte != ':' && !mayBeBlankLine();
    checkBeginning();
    forwardLongEvent();
    if (eventCompleted) {
      return StreamContent.EVENT;
    }
    return eventBytesReceived ? StreamContent.EVENT_PART : StreamContent.COMMENTS;
  }

  private void append(byte[] bytes, int from, int to) {
    buffer.write(bytes, from, to - from);
    unfinishedBytes += to - from;
  }

  private void endLine() {
    boolean blank = lineBytes == 0 || lineBytes == 1 && lastLineByte == '\r';
    boolean comment = isInComment();
    eventBytesReceived |= !blank && firstLineByte != ':';
    lineBytes = 0;
    if (insideBlock && blank) {
      completeEvent();
    } else if (!insideBlock && (blank || comment)) {
      completeComment();
    } else {
      insideBlock = true;
    }
  }

  /** Whether the current line, outside of an event, has nothing but the first byte of a line end so far. */
  private boolean mayBeBlankLine() {
    return !insideBlock && lineBytes == 1 && lastLineByte == '\r';
  }

  /** Whether the current line is a comment outside of an event. */
  private boolean isInComment() {
    return !insideBlock && lineBytes > 0 && firstLineByte == ':';
  }

  /**
   * Forwards the received part of an incomplete event or comment once it exceeds {@link #MAX_BUFFERED_BYTES}, so that a stream doesn't
   * buffer its longest one.
   */
  private void forwardLongEvent() {
    if (buffer.size() <= MAX_BUFFERED_BYTES) {
      return;
    }
    boolean comment = isInComment();
    if (!comment) {
      checkPrefix(buffer.toString(StandardCharsets.UTF_8));
    }
    byte[] bytes = takeBuffer();
    partForwarded = true;
    if (comment) {
      listener.partialComment(bytes);
    } else {
      listener.partialEvent(bytes);
    }
  }

  /** Rejects an event by its first bytes: a server that goes on writing what is no event would pass for one that writes it slowly. */
  private void checkBeginning() {
    if (beginningChecked || partForwarded || !insideEvent() || mayBeBlankLine()) {
      return;
    }
    String text = buffer.toString(StandardCharsets.UTF_8);
    beginningChecked = text.length() >= DATA_FIELD.length();
    if (!beginningChecked && !DATA_FIELD.startsWith(text)) {
      throw new IllegalStateException("stream contains bytes that are not a server-sent event");
    } else if (beginningChecked) {
      checkPrefix(text);
    }
  }

  /** Processes the end of the stream, which ends a last line that is a comment. */
  void end() {
    if (isInComment()) {
      lineBytes = 0;
      completeComment();
    }
  }

  /** Whether an event has started and not ended. */
  boolean insideEvent() {
    return insideBlock || lineBytes > 0 && !isInComment();
  }

  /** Length of the event or comment that has come in part, including what was forwarded of it; 0 if there is none. */
  long unfinishedBytes() {
    return unfinishedBytes;
  }

  /** Memory in use by the buffer, in bytes. */
  int memoryBytes() {
    // The buffer's capacity may be twice its content.
    return 2 * buffer.size();
  }

  /** Takes the buffered bytes. The buffer is replaced, since a reused one would keep the capacity of the longest event. */
  private byte[] takeBuffer() {
    beginningChecked = false;
    byte[] bytes = buffer.toByteArray();
    buffer = new ByteArrayOutputStream();
    return bytes;
  }

  private void completeEvent() {
    insideBlock = false;
    eventCompleted = true;
    unfinishedBytes = 0;
    byte[] bytes = takeBuffer();
    if (partForwarded) {
      partForwarded = false;
      listener.partialEvent(bytes);
      return;
    }
    String text = new String(bytes, StandardCharsets.UTF_8);
    checkPrefix(text);
    listener.event(bytes, text);
  }

  private void completeComment() {
    unfinishedBytes = 0;
    byte[] bytes = takeBuffer();
    if (partForwarded) {
      partForwarded = false;
      listener.partialComment(bytes);
    } else {
      listener.comment(bytes, new String(bytes, StandardCharsets.UTF_8));
    }
  }

  private void checkPrefix(String text) {
    if (!partForwarded && !text.startsWith(DATA_FIELD) && !text.startsWith(":")) {
      throw new IllegalStateException("stream contains bytes that are not a server-sent event");
    }
  }
}
