package gapproxy.openai;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Set;

/**
 * A validated chat completion request.
 *
 * @param body the JSON that the client sent, for the engines
 * @param includeUsage whether the client asked for the token usage in the stream
 * @param sessionKey identifies the session: {@code prompt_cache_key}, or else {@code user}, or null
 * @param sharedPrefix text of the leading system and developer messages; empty if there are none
 * @param promptTokens estimated tokens of all messages
 * @param sharedPrefixTokens estimated tokens of the shared prefix
 * @param maxAnswerTokens maximum tokens of the answer, or 0 if the client does not limit it
 * @param continuesAnswer whether the last message is an incomplete answer that the engine should continue
 */
public record ChatRequest(ObjectNode body, String model, boolean stream, boolean includeUsage, String sessionKey, String sharedPrefix,
    int promptTokens, int sharedPrefixTokens, int maxAnswerTokens, boolean continuesAnswer) {

  /** JSON parser that rejects duplicate keys, and anything after the first value. */
  public static final ObjectMapper JSON = JsonMapper.builder()
      .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
      .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
      .build();

  private static final Set<String> ROLES = Set.of("system", "developer", "user", "assistant", "tool", "function");
  private static final int MAX_TOKENS = 10_000_000;
  private static final int TOKENS_PER_MESSAGE = 4;            // overhead of a message in common chat templates

  /**
   * Decodes an HTTP request. Returns a {@link ChatRequest}, an {@link ApiError} if the request is invalid, or null if its method and path
   * are not those of a chat completion.
   */
  public static Object decode(String method, String path, byte[] body) {
    if (!path.equals("/v1/chat/completions") || !method.equals("POST")) {
      return null;
    }
    try {
      return parse(body);
    } catch (ApiError e) {
      return e;
    }
  }

  /**
   * Parses and validates the body of an HTTP request.
   *
   * @throws ApiError if the body is not a valid request; the error names the location
   */
  public static ChatRequest parse(byte[] bytes) {
    JsonNode json;
    try {
      json = JSON.readTree(bytes);
    } catch (JsonProcessingException e) {
      var at = e.getLocation();
      throw ApiError.invalid("invalid_json", null, "the body is not valid JSON"
          + (at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr()) + ": "
          + firstLine(e.getOriginalMessage()));
    } catch (IOException e) {
      throw ApiError.invalid("invalid_json", null, "the body is not valid UTF-8 JSON: " + firstLine(e.getMessage()));
    }
    if (!(json instanceof ObjectNode body)) {
      throw ApiError.invalid("invalid_json", null, "the body is to be a JSON object");
    }
    String model = stringField(body, "model", true);
    JsonNode messages = body.get("messages");
    if (messages == null || !messages.isArray() || messages.isEmpty()) {
      throw ApiError.invalid("invalid_messages", "messages", "messages is to be an array with at least one message");
    }
    StringBuilder sharedPrefix = new StringBuilder();
    boolean leading = true;
    long chars = 0;
    int sharedMessages = 0;
    StringBuilder sample = new StringBuilder();
    for (int i = 0; i < messages.size(); i++) {
      String location = "messages[" + i + "]";
      JsonNode message = messages.get(i);
      String role = message.path("role").asText("");
      if (!ROLES.contains(role)) {
        throw ApiError.invalid("invalid_role", location + ".role", location + ".role is to be one of "
            + String.join(", ", new java.util.TreeSet<>(ROLES)));
      }
      String content = textContent(message, location);
      chars += content.length();
      TokenEstimator.addToSample(sample, content);
      leading &= role.equals("system") || role.equals("developer");
      if (leading) {
        sharedPrefix.append(role).append('\n').append(content).append('\n');
        sharedMessages++;
      }
    }
    boolean stream = booleanField(body, "stream");
    JsonNode options = body.get("stream_options");
    if (options != null && !options.isNull() && (!options.isObject() || !stream)) {
      throw ApiError.invalid("invalid_stream_options", "stream_options",
          "stream_options is to be an object, and only with \"stream\": true");
    }
    checkNumberField(body, "n", 1, 1, "a req has one answer here");
    checkNumberField(body, "temperature", 0, 2, null);
    checkNumberField(body, "top_p", 0, 1, null);
    checkNumberField(body, "presence_penalty", -2, 2, null);
    checkNumberField(body, "frequency_penalty", -2, 2, null);
    double maxAnswerTokens = Math.max(integerField(body, "max_tokens"), integerField(body, "max_completion_tokens"));
    String sessionKey = stringField(body, "prompt_cache_key", false);
    String user = stringField(body, "user", false);
    int size = messages.size();
    boolean continuesAnswer = booleanField(body, "continue_final_message")
        && messages.get(size - 1).path("role").asText().equals("assistant");
    double tokensPerChar = TokenEstimator.tokensPerChar(sample);
    int promptTokens = (int) Math.min(MAX_TOKENS, Math.ceil(chars * tokensPerChar) + (long) TOKENS_PER_MESSAGE * size);
    int sharedPrefixTokens = sharedPrefix.length() == 0 ? 0
        : (int) Math.min(promptTokens, Math.ceil(sharedPrefix.length() * tokensPerChar) + (long) TOKENS_PER_MESSAGE * sharedMessages);
    return new ChatRequest(body, model, stream, options != null && booleanField(options, "include_usage"),
        sessionKey != null ? sessionKey : user, sharedPrefix.toString(), promptTokens, sharedPrefixTokens, (int) maxAnswerTokens,
        continuesAnswer);
  }

  private static String textContent(JsonNode message, String location) {
    JsonNode content = message.get("content");
    if (content != null && content.isTextual()) {
      return content.textValue();
    }
    if (content == null || content.isNull()) {
      if (message.path("role").asText().equals("assistant") && (message.has("tool_calls") || message.has("function_call"))) {
        return String.valueOf(message.path("tool_calls"));
      }
      throw ApiError.invalid("invalid_content", location + ".content", location + ".content is missing");
    }
    if (!content.isArray() || content.isEmpty()) {
      throw ApiError.invalid("invalid_content", location + ".content",
          location + ".content is to be a string or an array of parts");
    }
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < content.size(); i++) {
      JsonNode part = content.get(i);
      if (!part.path("type").asText().equals("text") || !part.path("text").isTextual()) {
        throw ApiError.invalid("invalid_content", location + ".content[" + i + "]",
            location + ".content[" + i + "] is to be a part of type text");
      }
      text.append(part.get("text").textValue());
    }
    return text.toString();
  }

  private static String stringField(JsonNode object, String key, boolean required) {
    JsonNode value = object.get(key);
    if (value == null || value.isNull()) {
      if (required) {
        throw ApiError.invalid("missing_" + key, key, key + " is missing");
      }
      return null;
    }
    if (!value.isTextual() || value.textValue().isEmpty() || value.textValue().length() > 512) {
      throw ApiError.invalid("invalid_" + key, key, key + " is to be a string of 1 to 512 characters");
    }
    return value.textValue();
  }

  private static boolean booleanField(JsonNode object, String key) {
    JsonNode value = object.get(key);
    if (value == null || value.isNull()) {
      return false;
    }
    if (!value.isBoolean()) {
      throw ApiError.invalid("invalid_" + key, key, key + " is to be true or false");
    }
    return value.booleanValue();
  }

  private static void checkNumberField(JsonNode object, String key, double minimum, double maximum, String reason) {
    JsonNode value = object.get(key);
    if (value == null || value.isNull()) {
      return;
    }
    if (!value.isNumber() || !(value.doubleValue() >= minimum && value.doubleValue() <= maximum)) {
      throw ApiError.invalid("invalid_" + key, key, key + " is to be " + (minimum == maximum ? formatNumber(minimum)
          : "a number from " + formatNumber(minimum) + " to " + formatNumber(maximum)) + (reason == null ? "" : ": " + reason));
    }
  }

  private static double integerField(JsonNode object, String key) {
    checkNumberField(object, key, 1, MAX_TOKENS, null);
    JsonNode value = object.get(key);
    if (value != null && value.isNumber() && value.doubleValue() != Math.rint(value.doubleValue())) {
      throw ApiError.invalid("invalid_" + key, key, key + " is to be a whole number");
    }
    return value == null ? 0 : value.asDouble();
  }

  private static String formatNumber(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }

  private static String firstLine(String s) {
    return s == null ? "" : s.lines().findFirst().orElse("");
  }
}
