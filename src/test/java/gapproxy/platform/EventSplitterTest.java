package gapproxy.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gapproxy.http.StreamContent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams in the forms that server-sent events may have, split at each byte. */
class EventSplitterTest {
  private static final String FIRST = "data: {\"a\":1}\n\n", DONE = "data: [DONE]\n\n", REPORT = ": Srv-Load: {\"x\":1}";

  private final StringBuilder passedOn = new StringBuilder();
  private final List<String> events = new ArrayList<>();
  private final List<String> comments = new ArrayList<>();

  private final class Recorder implements EventSplitter.Listener {
    @Override
    public void event(byte[] bytes, String text) {
      passedOn.append(new String(bytes, StandardCharsets.UTF_8));
      events.add(text);
    }

    @Override
    public void comment(byte[] bytes, String text) {
      passedOn.append(text);
      comments.add(text.strip());
    }

    @Override
    public void partialEvent(byte[] bytes) {
      passedOn.append(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void partialComment(byte[] bytes) {
      passedOn.append(new String(bytes, StandardCharsets.UTF_8));
    }
  }

  private EventSplitter split(String stream, int cut) {
    passedOn.setLength(0);
    events.clear();
    comments.clear();
    EventSplitter splitter = new EventSplitter(new Recorder());
    byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
    splitter.feed(Arrays.copyOf(bytes, cut));
    splitter.feed(Arrays.copyOfRange(bytes, cut, bytes.length));
    splitter.end();
    return splitter;
  }

  /** A finished stream was cut off if its load report came as a comment line without a blank line behind it. */
  @ParameterizedTest
  @ValueSource(strings = {
      FIRST + DONE + REPORT + "\n",
      FIRST + DONE + REPORT,
      FIRST + DONE + REPORT + "\n\n",
      FIRST + DONE + REPORT + "\r\n",
      FIRST + DONE + REPORT + "\r\n\r\n",
      FIRST + REPORT + "\n" + DONE,
      FIRST + REPORT + "\n\n" + DONE,
      REPORT + "\n" + FIRST + DONE,
      FIRST + "\n" + DONE + "\n" + REPORT + "\n",
      FIRST + ": one\n: two\n" + REPORT + "\n:\n" + DONE + ": three\n"})
  void commentsNeedNoBlankLine(String stream) {
    for (int cut = 0; cut <= stream.length(); cut++) {
      EventSplitter splitter = split(stream, cut);
      assertFalse(splitter.insideEvent(), "cut at " + cut);
      assertEquals(List.of(FIRST, DONE), events, "cut at " + cut);
      assertEquals(1, comments.stream().filter(REPORT::equals).count(), "cut at " + cut);
      assertEquals(stream, passedOn.toString(), "cut at " + cut);
    }
  }

  @Test
  void commentInsideAnEventIsPartOfIt() {
    String stream = "data: {\"a\":1}\n" + REPORT + "\n\n" + DONE;
    for (int cut = 0; cut <= stream.length(); cut++) {
      assertFalse(split(stream, cut).insideEvent());
      assertEquals(2, events.size());
      assertEquals(stream, passedOn.toString());
    }
  }

  /** A comment that is longer than what is buffered is passed on in parts, also behind the last event. */
  @Test
  void longCommentIsNoEvent() {
    String stream = FIRST + DONE + ": " + "x".repeat(20_000) + "\n";
    for (int cut = 0; cut <= stream.length(); cut += 97) {
      assertFalse(split(stream, cut).insideEvent());
      assertEquals(stream, passedOn.toString());
    }
  }

  /** An event of more than 64 KiB was cut off; its length has no limit. */
  @ParameterizedTest
  @ValueSource(ints = {4_000, 5_000, 65_000, 66_000, 1_000_000})
  void eventOfAnyLengthIsPassedOn(int length) {
    String stream = "data: " + "x".repeat(length) + "\n\n" + FIRST + DONE;
    for (int cut = 0; cut <= stream.length(); cut += stream.length() / 50) {
      assertFalse(split(stream, cut).insideEvent());
      assertEquals(stream, passedOn.toString());
      assertEquals(DONE, events.get(events.size() - 1));
    }
  }

  @Test
  void unfinishedEventAndOtherBytesAreTold() {
    assertEquals(true, split(FIRST + "data: [DO", 3).insideEvent());
    assertEquals(true, split(FIRST + "data: [DONE]\n", 3).insideEvent());
    assertThrows(IllegalStateException.class, () -> split("noise\n\n", 2));
    assertThrows(IllegalStateException.class, () -> split(FIRST + "noise\n\n", 2));
  }

  /** Comments and blank lines passed for signs of a server that goes on with its answer. */
  @Test
  void eachReadIsTakenForWhatItBrings() {
    EventSplitter splitter = new EventSplitter(new Recorder());
    assertEquals(StreamContent.EVENT, feed(splitter, FIRST));
    assertEquals(StreamContent.COMMENTS, feed(splitter, ": c\n"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, "\n"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, "\r\n: c\n: d\n"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, "\r"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, "\n"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, ": e"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, "e"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, "\n: f"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, "\n"));
    assertEquals(StreamContent.EVENT_PART, feed(splitter, "d"));
    assertEquals(StreamContent.EVENT_PART, feed(splitter, "ata: 1\n"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, ": inside of an event\n"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, ": in"));
    assertEquals(StreamContent.COMMENTS, feed(splitter, "side\n"));
    assertEquals(StreamContent.EVENT_PART, feed(splitter, "data: 2"));
    assertEquals(StreamContent.EVENT_PART, feed(splitter, "\n"));
    assertEquals(StreamContent.EVENT, feed(splitter, "\n"));
    assertEquals(StreamContent.EVENT, feed(splitter, "data: 3\n\ndata: 4"));
  }

  /** Noise that came slowly passed for an event that is still being written, and kept its client waiting. */
  @ParameterizedTest
  @ValueSource(strings = {"x", "dx", "data;", "daTa:", "\u0000", "datum", "event: a"})
  void noiseIsRejectedWithItsFirstBytes(String noise) {
    for (String before : List.of("", FIRST, ": c\n")) {
      EventSplitter splitter = new EventSplitter(new Recorder());
      feed(splitter, before);
      assertThrows(IllegalStateException.class, () -> {
        for (char next : noise.toCharArray()) {
          feed(splitter, "" + next);
        }
      }, noise + " after " + before);
    }
  }

  private static StreamContent feed(EventSplitter splitter, String text) {
    return splitter.feed(text.getBytes(StandardCharsets.UTF_8));
  }
}
