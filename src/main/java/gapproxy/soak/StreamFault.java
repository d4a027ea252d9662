package gapproxy.soak;

import java.time.Duration;
import java.util.ArrayList;
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
  SLOW_EVENT(true);

  /** A write after a pause; {@code completesEvent} tells whether the text completes an event. */
  record Write(Duration pause, String text, boolean completesEvent) {}

  private static final Duration LONGEST_REST = Duration.ofMillis(4700), PIECE_INTERVAL = Duration.ofMillis(1200),
      SHORT_INTERVAL = Duration.ofMillis(400), LINE_INTERVAL = Duration.ofMillis(1500);
  /** For longer than any client may be kept waiting. */
  private static final int ENDLESS_LINES = 8;
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

  /** What the server writes, in this order; then it leaves the answer open, or goes on. */
  List<Write> writes() {
    return switch (this) {
      case NOTHING, NO_LAST_CHUNK -> List.of();
      case PART_AT_ONCE -> List.of(new Write(Duration.ZERO, piece(0), false));
      case PART_LATER -> List.of(new Write(SHORT_INTERVAL, piece(0), false));
      case PARTS -> pieces(PIECES - 1, SHORT_INTERVAL);
      case COMMENTS -> lines(": still here\n");
      case BLANK_LINES -> lines("\n");
      case NOISE -> lines("x");
      case LONG_REST -> List.of(new Write(LONGEST_REST, EVENT, true));
      case SLOW_EVENT -> pieces(PIECES, PIECE_INTERVAL);
    };
  }

  private static String piece(int number) {
    return EVENT.substring(EVENT.length() * number / PIECES, EVENT.length() * (number + 1) / PIECES);
  }

  private static List<Write> pieces(int count, Duration interval) {
    List<Write> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(new Write(interval, piece(i), i == PIECES - 1));
    }
    return all;
  }

  private static List<Write> lines(String line) {
    List<Write> all = new ArrayList<>();
    for (int i = 0; i < ENDLESS_LINES; i++) {
      all.add(new Write(LINE_INTERVAL, line, false));
    }
    return all;
  }
}
