package gapproxy.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What the reads of an engine's stream are taken for; a silent engine is ended by that. */
class ServerSentEventParserTest {
  private final List<String> events = new ArrayList<>();
  private final ServerSentEventParser parser = new ServerSentEventParser(1 << 10, events::add);

  private StreamContent feed(String text) {
    return parser.feed(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Comments passed for signs of an engine that goes on with its answer. */
  @Test
  void eachReadIsTakenForWhatItBrings() {
    assertEquals(StreamContent.EVENT, feed("data: 1\n\n"));
    assertEquals(StreamContent.COMMENTS, feed(": ping\n"));
    assertEquals(StreamContent.COMMENTS, feed(": pi"));
    assertEquals(StreamContent.COMMENTS, feed("ng\r\n\r\n"));
    assertEquals(StreamContent.EVENT_PART, feed("da"));
    assertEquals(StreamContent.EVENT_PART, feed("ta: 2\n"));
    assertEquals(StreamContent.COMMENTS, feed(": ping\n"));
    assertEquals(StreamContent.COMMENTS, feed(": p"));
    assertEquals(StreamContent.EVENT, feed("ing\n\n"));
    assertEquals(StreamContent.EVENT, feed("data: 3\n\ndata: 4"));
    assertEquals(StreamContent.EVENT, feed("\n\n: ping\n"));
    assertEquals(List.of("1", "2", "3", "4"), events);
  }
}
