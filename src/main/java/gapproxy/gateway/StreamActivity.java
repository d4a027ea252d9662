package gapproxy.gateway;

import gapproxy.http.StreamContent;
import java.time.Duration;

/**
 * What has been received of one answer that has begun, and when. All times are on the clock of the loop, to which this object is confined.
 */
final class StreamActivity {
  /**
   * When data came from a server.
   *
   * @param earliest the earliest time at which the server may have sent it
   * @param readAt when it was read from the socket
   */
  record Arrival(Duration earliest, Duration readAt) {}

  /** What a server has left unsaid when it falls silent. */
  enum Silence {
    /** Nothing came after the last event. */
    AFTER_EVENT,
    /** Comments or blank lines came after the last event. */
    AFTER_COMMENTS,
    /** An event was begun and is not complete. */
    IN_PART
  }

  private Arrival lastEvent;
  private Duration lastReadAt;
  private Duration lastPartAt;
  private Duration longestRestInEvent = Duration.ZERO;
  private long unfinishedBytes;
  private Silence silence = Silence.AFTER_EVENT;
  private Duration pausedAt;
  private Duration resumedAt = Duration.ZERO;
  private Duration pausedTotal = Duration.ZERO;

  /** @param firstEvent when the first event, or its first part, arrived */
  StreamActivity(Arrival firstEvent) {
    lastEvent = firstEvent;
    lastReadAt = firstEvent.readAt();
  }

  /**
   * Records what one read brought.
   *
   * @param unfinishedBytes length of the event or comment that has come in part by now, 0 if there is none
   */
  void received(StreamContent content, long unfinishedBytes, Arrival arrival) {
    lastReadAt = arrival.readAt();
    this.unfinishedBytes = unfinishedBytes;
    switch (content) {
      case EVENT -> eventReceived(arrival);
      case EVENT_PART -> partReceived();
      case COMMENTS -> silence = lastPartAt == null ? Silence.AFTER_COMMENTS : silence;
    }
  }

  private void eventReceived(Arrival arrival) {
    lastEvent = arrival;
    lastPartAt = null;
    longestRestInEvent = Duration.ZERO;
    silence = Silence.AFTER_EVENT;
  }

  private void partReceived() {
    Duration rest = lastReadAt.minus(lastPartAt == null ? lastEvent.readAt() : lastPartAt);
    longestRestInEvent = rest.compareTo(longestRestInEvent) > 0 ? rest : longestRestInEvent;
    lastPartAt = lastReadAt;
    silence = Silence.IN_PART;
  }

  /** Records that reading is paused, since the client does not accept more. */
  void paused(Duration now) {
    pausedAt = now;
  }

  /** Records that reading goes on after a pause. */
  void resumed(Duration now) {
    pausedTotal = pausedTotal.plus(now.minus(pausedAt));
    resumedAt = now;
    pausedAt = null;
  }

  boolean isPaused() {
    return pausedAt != null;
  }

  /** When the last pause ended; zero if there was none. */
  Duration resumedAt() {
    return resumedAt;
  }

  /** How long reading was paused in all. */
  Duration pausedTotal() {
    return pausedTotal;
  }

  /** The arrival of the read that completed an event last. */
  Arrival lastEvent() {
    return lastEvent;
  }

  /** When bytes of an event that was not complete were read last; null if there were none since the last event. */
  Duration lastPartAt() {
    return lastPartAt;
  }

  /** The longest time between two reads of such bytes, including the time before the first. */
  Duration longestRestInEvent() {
    return longestRestInEvent;
  }

  /** Length of the event or comment that has come in part; 0 if there is none. */
  long unfinishedBytes() {
    return unfinishedBytes;
  }

  /** When bytes of any kind were read last. */
  Duration lastReadAt() {
    return lastReadAt;
  }

  /** What came last. */
  Silence silence() {
    return silence;
  }
}
