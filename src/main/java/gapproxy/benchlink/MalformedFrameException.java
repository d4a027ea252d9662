package gapproxy.benchlink;

/** Input that violates the frame protocol; the message says what is wrong and where. */
public final class MalformedFrameException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedFrameException(String message) {
    super(message);
  }
}
