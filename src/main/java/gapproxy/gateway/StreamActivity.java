package gapproxy.gateway;

import gapproxy.http.StreamContent;
import java.time.Duration;

/**
 * What has been received of one answer that has begun, and when it was read from the socket. All times are on the clock of the loop, to which
 * this object is confined.
 */
final class StreamActivity {
  /** What the server has left unsaid when a stream falls silent. */
  enum Silence {
    /** Nothing came after the last event. */
    AFTER_EVENT,
    /** Comments or blank lines came after the last event. */
    AFTER_COMMENTS,
    /** An event or a comment was begun and is not complete. */
    IN_PART
  }

  private Duration lastEventAt;
  private Duration lastReadAt;
  private Silence silence = Silence.AFTER_EVENT;
  private Duration pausedTotal = Duration.ZERO;
  private Duration pausedAt;

  /** @param firstEventAt when the first event was read */
  StreamActivity(Duration firstEventAt) {
    lastEventAt = firstEventAt;
    lastReadAt = firstEventAt;
  }

  /** Records what one read brought. */
  void received(StreamContent content, Duration readAt) {
    lastReadAt = readAt;
    switch (content) {
      case EVENT -> {
        lastEventAt = readAt;
        silence = Silence.AFTER_EVENT;
      }
      case EVENT_PART, COMMENT_PART -> silence = Silence.IN_PART;
      default -> silence = Silence.AFTER_COMMENTS;
    }
  }

  /** Records that reading is paused, since the client does not accept more. */
  void paused(Duration now) {
    pausedAt = now;
  }

  /** Records that reading goes on after a pause. */
  void resumed(Duration now) {
    pausedTotal = pausedTotal.plus(now.minus(pausedAt));
    pausedAt = null;
  }

  /** When the last read that completed an event was made. */
  Duration lastEventAt() {
    return lastEventAt;
  }

  /** When bytes of any kind were read last. */
  Duration lastReadAt() {
    return lastReadAt;
  }

  /** What came last. */
  Silence silence() {
    return silence;
  }

  /** How long reading was paused in all. */
  Duration pausedTotal() {
    return pausedTotal;
  }
}
