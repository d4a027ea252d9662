package gapproxy.http;

import org.glassfish.grizzly.http.HttpBrokenContentException;

/**
 * Limits on the lengths that a peer states for the body of one message. A body is rejected as soon as it states too much, whatever has come
 * of it.
 *
 * @param maxStatedBytes limit on one chunk's size and on Content-Length
 * @param maxBodyBytes limit on all chunks together
 */
record LengthLimits(long maxStatedBytes, long maxBodyBytes) {
  static final LengthLimits NONE = new LengthLimits(Long.MAX_VALUE, Long.MAX_VALUE);

  /** The cause of a {@link HttpBrokenContentException}: a body is, or states that it is, longer than allowed. */
  static final class OversizedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    OversizedException(String message) {
      super(message, null, false, false);
    }
  }

  /**
   * Checks a chunk by its size line.
   *
   * @param earlierBytes length of the body's earlier chunks
   * @throws HttpBrokenContentException if it is too long
   */
  void checkChunk(long chunkBytes, long earlierBytes) {
    if (chunkBytes > maxStatedBytes) {
      throw broken("a chunk of " + chunkBytes + " bytes is stated, " + maxStatedBytes + " are allowed");
    } else if (chunkBytes > maxBodyBytes - earlierBytes) {
      throw broken("a chunk of " + chunkBytes + " bytes is stated after " + earlierBytes + ", " + maxBodyBytes + " are allowed");
    }
  }

  /** What is wrong with a Content-Length; null if it is allowed. */
  String whyRejected(long contentLength) {
    long allowed = Math.min(maxStatedBytes, maxBodyBytes);
    return contentLength <= allowed ? null : "a length of " + contentLength + " bytes is stated, " + allowed + " are allowed";
  }

  private static HttpBrokenContentException broken(String message) {
    return new HttpBrokenContentException(message, new OversizedException(message));
  }

  /** Whether a failure to decode a body is due to these limits. */
  static boolean isCauseOf(Throwable failure) {
    return failure != null && failure.getCause() instanceof OversizedException;
  }
}
