package gapproxy.http;

/** What one network read of an event stream brought; the first value that applies. */
public enum StreamContent {
  /** The end of at least one event. */
  EVENT,
  /** Bytes of an event that is not complete. */
  EVENT_PART,
  /** Comment lines, complete or not, blank lines or nothing. */
  COMMENTS
}
