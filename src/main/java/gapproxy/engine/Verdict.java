package gapproxy.engine;

/**
 * How a call to an engine failed.
 *
 * @param status the engine's HTTP status, or 0
 * @param body what it said, where the client is to see it
 */
public record Verdict(Kind kind, int status, byte[] body, String why) {
  public enum Kind {
    /** 429 or 503: turned away, nothing was done. */
    FULL,
    /** 410: the state that was to be fetched is gone; nothing was done. */
    NO_STATE,
    /** Another status of 400 and up to 499: the request itself is at fault. */
    CLIENT_ERROR,
    /** A status of 500 and up, or an answer that can't be understood. */
    ERROR,
    /** No connection, so nothing was sent. */
    NO_CONNECTION,
    /** The connection ended before the answer did. */
    BROKEN
  }

  static Verdict ofStatus(int status, byte[] body) {
    Kind kind = status == 429 || status == 503 ? Kind.FULL : status == 410 ? Kind.NO_STATE
        : status >= 400 && status < 500 && status != 401 && status != 403 && status != 408 ? Kind.CLIENT_ERROR
        : Kind.ERROR;
    return new Verdict(kind, status, body, "status " + status);
  }
}
