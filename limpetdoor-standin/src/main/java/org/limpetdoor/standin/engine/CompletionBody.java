package org.limpetdoor.standin.engine;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;

/** Creates the bodies of chat-completion responses. */
final class CompletionBody {
  /** Data of the event that marks the end of a complete stream. */
  static final String END_OF_STREAM = "[DONE]";

  private CompletionBody() {}

  static String chunk(Job job, String content) {
    ObjectNode chunk = JsonNodeFactory.instance.objectNode();
    chunk.put("object", "chat.completion.chunk").put("model", job.model());
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta").put("content", content);
    return chunk.toString();
  }

  static Map<String, Object> fullResponse(Job job) {
    int completionTokens = Math.max(0, job.totalTokens() - job.resumeAt());
    int promptTokens = job.prompt().split("\\s+", -1).length;
    Map<String, Object> message = Map.of("role", "assistant", "content", job.remainingText());
    return Map.of(
        "object", "chat.completion",
        "model", job.model(),
        "choices", List.of(Map.of("index", 0, "message", message, "finish_reason", "stop")),
        "usage",
            Map.of(
                "prompt_tokens", promptTokens,
                "completion_tokens", completionTokens,
                "total_tokens", promptTokens + completionTokens));
  }
}
