package gapproxy.http;

import java.io.ByteArrayOutputStream;
import java.util.Map;

/** Buffers a response, or only the beginning of its body, and passes it to a callback when the response is complete. */
public class BufferedResponseListener implements HttpClient.Listener {
  /** Receives the outcome: a status with headers and body, or a failure with its reason. */
  public interface ResponseCallback {
    void completed(int status, Map<String, String> headers, byte[] body, HttpClient.Failure failure, String why);
  }

  /**
   * Limits on the length of a response body.
   *
   * @param maxBytes a longer response is a failure
   * @param maxRetainedBytes bytes beyond this are read but not kept
   */
  public record BodyLimits(int maxBytes, int maxRetainedBytes) {}

  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final BodyLimits limits;
  private final ResponseCallback callback;
  private int status;
  private Map<String, String> headers = Map.of();

  /** @param maxBytes maximum length of the body; a longer one is a failure */
  public BufferedResponseListener(int maxBytes, ResponseCallback callback) {
    this(new BodyLimits(maxBytes, maxBytes), callback);
  }

  /** @param limits limits on the length of the body, and on the part of the body that is kept */
  public BufferedResponseListener(BodyLimits limits, ResponseCallback callback) {
    this.limits = limits;
    this.callback = callback;
  }

  @Override
  public void head(int s, Map<String, String> h) {
    status = s;
    headers = h;
  }

  @Override
  public void data(byte[] bytes) {
    body.write(bytes, 0, Math.min(bytes.length, limits.maxRetainedBytes - body.size()));
  }

  @Override
  public long retainedBytes() {
    return 2L * body.size();                                  // the buffer may be twice as large as its content
  }

  @Override
  public long maxBodyBytes() {
    return limits.maxBytes;
  }

  @Override
  public void end() {
    callback.completed(status, headers, body.toByteArray(), null, "");
  }

  @Override
  public void failed(HttpClient.Failure how, String why) {
    callback.completed(0, Map.of(), new byte[0], how, why);
  }
}
