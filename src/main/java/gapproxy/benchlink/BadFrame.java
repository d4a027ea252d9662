package gapproxy.benchlink;

/** Input that does not follow the wire: what is wrong and where. */
public final class BadFrame extends Exception {
  private static final long serialVersionUID = 1L;

  public BadFrame(String what) {
    super(what);
  }
}
