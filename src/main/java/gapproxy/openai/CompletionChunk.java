package gapproxy.openai;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * One event of a streamed completion. Events that only carry the next piece of text are relayed without being parsed; their {@code json}
 * is null.
 *
 * @param data the event's data as received
 * @param json the parsed data, or null if the data was not parsed
 * @param done whether this is the event that ends the stream
 */
public record CompletionChunk(String data, JsonNode json, boolean done) {
  /** Data of the event that ends a stream. */
  public static final String DONE = "[DONE]";

  /**
   * Makes a chunk from the data of an event.
   *
   * @param alwaysParse whether to parse the data even if it seems to carry nothing but text
   * @throws IllegalStateException if the data is parsed and is not a JSON object
   */
  public static CompletionChunk parse(String data, boolean alwaysParse) {
    if (data.equals(DONE)) {
      return new CompletionChunk(data, null, true);
    }
    if (!alwaysParse && !data.contains("\"usage\"") && !data.contains("\"error\"")
        && (data.contains("\"finish_reason\":null") || !data.contains("\"finish_reason\""))) {
      return new CompletionChunk(data, null, false);
    }
    try {
      JsonNode json = ChatRequest.JSON.readTree(data);
      if (json == null || !json.isObject()) {
        throw new IllegalStateException("an event that is no JSON object");
      }
      return new CompletionChunk(data, json, false);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("an event that is not JSON", e);
    }
  }

  /** Whether the event reports an error. */
  public boolean isError() {
    return json != null && json.hasNonNull("error");
  }

  /** Whether the event carries a piece of the answer, not only a role. Assumed of events that were not parsed, except the last one. */
  public boolean hasContent() {
    if (json == null) {
      return !done;
    }
    JsonNode delta = json.path("choices").path(0).path("delta");
    return delta.path("content").asText("").length() > 0 || delta.hasNonNull("tool_calls")
        || delta.path("reasoning_content").asText("").length() > 0;
  }

  /** Whether the event carries the reason why the answer ends. */
  public boolean hasFinishReason() {
    return json != null && json.path("choices").path(0).hasNonNull("finish_reason");
  }

  /** The token usage, or null. */
  public JsonNode usage() {
    return json != null && json.hasNonNull("usage") ? json.get("usage") : null;
  }

  /** Whether the event carries the token usage and nothing else. */
  public boolean isUsageOnly() {
    return usage() != null && json.path("choices").isEmpty();
  }
}
