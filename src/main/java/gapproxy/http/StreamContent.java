package gapproxy.http;

/** What one network read of an event stream brought; the first value that applies. */
public enum StreamContent {
  /** The end of at least one event. */
  EVENT,
  /** Bytes of an event that is not complete. */
  EVENT_PART,
  /** The first bytes of a comment line that is not complete. */
  COMMENT_BEGUN,
  /** Further bytes of a comment line that was not complete. */
  COMMENT_PART,
  /** Complete comment lines, blank lines or nothing. */
  COMMENTS
}
