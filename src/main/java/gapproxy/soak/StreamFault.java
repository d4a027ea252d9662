package gapproxy.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What a model server of a soak does in the midst of an answer in place of going on with it. */
enum StreamFault {
  /** Writes nothing more. */
  NOTHING,
  /** Writes a part of an event and nothing more. */
  PART_AT_ONCE,
  /** Rests, writes a part of an event and nothing more. */
  PART_LATER,
  /** Writes parts of an event for a while and does not complete it. */
  PARTS,
  /** Writes comment lines at intervals. */
  COMMENTS,
  /** Writes blank lines at intervals. */
  BLANK_LINES,
  /** Writes bytes that are no event at intervals. */
  NOISE,
  /** Writes the last event, and leaves the answer open. */
  NO_LAST_CHUNK,
  /** Rests for nearly as long as the protocol allows, and goes on. */
  LONG_REST(true),
  /** Writes one event slowly, and goes on. */
  SLOW_EVENT(true),
  /** Writes one event past the limit on silence, rests for longer than before, and goes on. */
  UNEVEN_EVENT(true),
  /** Writes the size line of a chunk of gigabytes, and events in it at their usual pace. */
  HUGE_CHUNK,
  /** Writes the size line of a chunk that is four times as long as a body may be, and events in it at their usual pace. */
  OVERSIZED_CHUNK,
  /** Writes a comment as the beginning of the answer, and then as for {@link #HUGE_CHUNK}. */
  HUGE_CHUNK_AT_FIRST,
  /** Writes a size line that does not end. */
  ENDLESS_SIZE_LINE,
  /** Writes an event that is soon longer than a body may be, and does not end it. */
  ENDLESS_EVENT,
  /** Writes a comment line that does not end. */
  ENDLESS_COMMENT;

  /** What a {@link Write} writes. */
  enum Form {
    /** A chunk that completes an event. */
    EVENT,
    /** A chunk that does not. */
    TEXT,
    /** Bytes that go around the chunked encoding. */
    RAW
  }

  /** A write after a pause. */
  record Write(Duration pause, String text, Form form) {}

  /** Text of the events in a chunk that states too much; none of them may be the first that a client gets. */
  static final String SPOILT_CONTENT = "spoilt";

  private static final Duration LONGEST_REST = Duration.ofMillis(4700), PIECE_INTERVAL = Duration.ofMillis(1200),
      SHORT_INTERVAL = Duration.ofMillis(400), LINE_INTERVAL = Duration.ofMillis(1500);
  /** For longer than any client may be kept waiting. */
  private static final int ENDLESS_LINES = 8, EVENTS_IN_CHUNK = 36, ENDLESS_PIECES = 110, ENDLESS_PIECE_BYTES = 8000;
  private static final Duration USUAL_INTERVAL = Duration.ofMillis(300), ENDLESS_INTERVAL = Duration.ofMillis(100);
  /** Even rests past the limit on silence, and then longer ones. */
  private static final int EVEN_PIECES = 18;
  private static final long[] LONGER_RESTS_MS = {1500, 3000, 200};
  private static final String EVENT = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w\"},\"finish_reason\":null}]}\n\n";
  private static final int PIECES = 5;

  /** Whether the server goes on with the answer and ends it. */
  final boolean goesOn;

  StreamFault() {
    this(false);
  }

  StreamFault(boolean goesOn) {
    this.goesOn = goesOn;
  }

  /** Whether the answer is spoilt, so that a gateway may end it at once. */
  boolean spoilsAnswer() {
    return this == NOISE || this == HUGE_CHUNK || this == OVERSIZED_CHUNK || this == HUGE_CHUNK_AT_FIRST
        || this == ENDLESS_EVENT;
  }

  /** What the server writes, in this order; then it leaves the answer open, or goes on. */
  List<Write> writes() {
    return switch (this) {
      case NOTHING, NO_LAST_CHUNK -> List.of();
      case PART_AT_ONCE -> List.of(new Write(Duration.ZERO, piece(0), Form.TEXT));
      case PART_LATER -> List.of(new Write(SHORT_INTERVAL, piece(0), Form.TEXT));
      case PARTS -> pieces(PIECES - 1, SHORT_INTERVAL);
      case COMMENTS -> lines(": still here\n");
      case BLANK_LINES -> lines("\n");
      case NOISE -> lines("x");
      case LONG_REST -> List.of(new Write(LONGEST_REST, EVENT, Form.EVENT));
      case SLOW_EVENT -> pieces(PIECES, PIECE_INTERVAL);
      case UNEVEN_EVENT -> unevenPieces();
      case HUGE_CHUNK, HUGE_CHUNK_AT_FIRST -> eventsInChunk("c0000000\r\n");
      case OVERSIZED_CHUNK -> eventsInChunk("100000\r\n");
      case ENDLESS_SIZE_LINE -> Collections.nCopies(ENDLESS_PIECES, new Write(ENDLESS_INTERVAL, "0", Form.RAW));
      case ENDLESS_EVENT -> endless(piece(0), "~".repeat(ENDLESS_PIECE_BYTES));
      case ENDLESS_COMMENT -> endless(": ", "~");
    };
  }

  private static List<Write> endless(String begin, String piece) {
    List<Write> all = new ArrayList<>(List.of(new Write(Duration.ZERO, begin, Form.TEXT)));
    all.addAll(Collections.nCopies(ENDLESS_PIECES, new Write(ENDLESS_INTERVAL, piece, Form.TEXT)));
    return all;
  }

  private static String piece(int number) {
    return EVENT.substring(EVENT.length() * number / PIECES, EVENT.length() * (number + 1) / PIECES);
  }

  private static List<Write> pieces(int count, Duration interval) {
    List<Write> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(new Write(interval, piece(i), i == PIECES - 1 ? Form.EVENT : Form.TEXT));
    }
    return all;
  }

  private static List<Write> lines(String line) {
    List<Write> all = new ArrayList<>();
    for (int i = 0; i < ENDLESS_LINES; i++) {
      all.add(new Write(LINE_INTERVAL, line, Form.TEXT));
    }
    return all;
  }

  private static List<Write> unevenPieces() {
    List<Write> all = new ArrayList<>();
    all.add(new Write(USUAL_INTERVAL, piece(0), Form.TEXT));
    all.add(new Write(USUAL_INTERVAL, piece(1), Form.TEXT));
    all.addAll(Collections.nCopies(EVEN_PIECES, new Write(USUAL_INTERVAL, "w", Form.TEXT)));
    for (int i = 0; i < LONGER_RESTS_MS.length; i++) {
      boolean last = i == LONGER_RESTS_MS.length - 1;
      all.add(new Write(Duration.ofMillis(LONGER_RESTS_MS[i]), last ? piece(PIECES - 1) : piece(2 + i), last ? Form.EVENT : Form.TEXT));
    }
    return all;
  }

  private static List<Write> eventsInChunk(String sizeLine) {
    List<Write> all = new ArrayList<>(List.of(new Write(Duration.ZERO, sizeLine, Form.RAW)));
    all.addAll(Collections.nCopies(EVENTS_IN_CHUNK,
        new Write(USUAL_INTERVAL, EVENT.replace("\"w\"", "\"" + SPOILT_CONTENT + "\""), Form.RAW)));
    return all;
  }
}
