package gapproxy.http;

/** What one network read of an event stream brought; the first value that applies. */
public enum StreamContent {
  /** The end of at least one event. */
  EVENT,
  /** Bytes of an event that is not complete. */
  EVENT_PART,
  /** Bytes of a comment line that takes several reads. */
  COMMENT_PART,
  /** Complete comment lines, blank lines or nothing. */
  COMMENTS
}
