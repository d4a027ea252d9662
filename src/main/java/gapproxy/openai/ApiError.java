package gapproxy.openai;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/** An error response of the chat completions API: HTTP status, type, code, the parameter concerned, and a message. */
public final class ApiError extends RuntimeException {
  private static final long serialVersionUID = 1L;

  public final int status;
  public final String type;
  public final String code;
  public final String param;

  /**
   * @param status HTTP status, 400 to 599
   * @param type the general category, such as {@code invalid_request_error}
   * @param code the specific error, for programs
   * @param param location in the request, such as {@code messages[2].content}, or null
   */
  public ApiError(int status, String type, String code, String param, String message) {
    super(message, null, false, false);
    this.status = status;
    this.type = type;
    this.code = code;
    this.param = param;
  }

  /** Makes an error with status 400, for an invalid request. */
  public static ApiError invalid(String code, String param, String message) {
    return new ApiError(400, "invalid_request_error", code, param, message);
  }

  /** The JSON body of the error response. */
  public ObjectNode toJson() {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error").put("message", getMessage()).put("type", type).put("param", param).put("code", code);
    return body;
  }

  /** The body of the error response, in UTF-8. */
  public byte[] toBytes() {
    return toJson().toString().getBytes(StandardCharsets.UTF_8);
  }
}
