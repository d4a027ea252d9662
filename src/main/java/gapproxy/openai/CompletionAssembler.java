package gapproxy.openai;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Assembles the chunks of a streamed completion into a single response, for a client that did not request a stream. */
public final class CompletionAssembler {
  private final StringBuilder content = new StringBuilder();
  private final StringBuilder refusal = new StringBuilder();
  private final Map<Integer, ObjectNode> toolCalls = new TreeMap<>();
  private JsonNode firstChunk;
  private JsonNode finishReason;
  private JsonNode usage;

  /** Adds the next chunk of the stream. */
  public void add(JsonNode chunk) {
    firstChunk = firstChunk == null ? chunk : firstChunk;
    JsonNode choice = chunk.path("choices").path(0);
    JsonNode delta = choice.path("delta");
    content.append(delta.path("content").asText(""));
    refusal.append(delta.path("refusal").asText(""));
    for (JsonNode call : delta.path("tool_calls")) {
      addToolCall(call);
    }
    finishReason = choice.hasNonNull("finish_reason") ? choice.get("finish_reason") : finishReason;
    usage = chunk.hasNonNull("usage") ? chunk.get("usage") : usage;
  }

  /** Appends a fragment of a tool call to the call with the same index. */
  private void addToolCall(JsonNode call) {
    ObjectNode toolCall = toolCalls.computeIfAbsent(call.path("index").asInt(), index -> {
      ObjectNode empty = JsonNodeFactory.instance.objectNode().put("id", "").put("type", "function");
      empty.putObject("function").put("name", "").put("arguments", "");
      return empty;
    });
    ObjectNode function = (ObjectNode) toolCall.get("function");
    toolCall.put("id", toolCall.get("id").asText() + call.path("id").asText(""));
    function.put("name", function.get("name").asText() + call.path("function").path("name").asText(""));
    function.put("arguments", function.get("arguments").asText() + call.path("function").path("arguments").asText(""));
  }

  /** The JSON of the assembled {@code chat.completion}. */
  public byte[] toBytes() {
    ObjectNode completion = JsonNodeFactory.instance.objectNode();
    completion.set("id", firstChunk.path("id"));
    completion.put("object", "chat.completion");
    completion.set("created", firstChunk.path("created"));
    completion.set("model", firstChunk.path("model"));
    ArrayNode choices = completion.putArray("choices");
    ObjectNode choice = choices.addObject().put("index", 0);
    ObjectNode message = choice.putObject("message").put("role", "assistant");
    message.put("content", content.length() == 0 && !toolCalls.isEmpty() ? null : content.toString());
    message.put("refusal", refusal.length() == 0 ? null : refusal.toString());
    if (!toolCalls.isEmpty()) {
      message.putArray("tool_calls").addAll(toolCalls.values());
    }
    choice.set("finish_reason", finishReason);
    choice.putNull("logprobs");
    if (usage != null) {
      completion.set("usage", usage);
    }
    return completion.toString().getBytes(StandardCharsets.UTF_8);
  }
}
