package org.limpetdoor.standin.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * The members of a chat-completion request that the engine reads.
 *
 * @param model name of the model
 * @param messages the messages of the conversation
 * @param maxTokens maximum length of the answer in tokens; 0 for the limit of the engine
 * @param stream whether the answer is sent as an event stream
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record CompletionRequest(
    String model, JsonNode messages, @JsonProperty("max_tokens") int maxTokens, boolean stream) {
  /** Checks the members. */
  public CompletionRequest {
    if (model == null || messages == null || maxTokens < 0) {
      throw new IllegalArgumentException(
          "model and messages are required; max_tokens must be at least 0");
    }
  }

  Job toJob(long exchangeId, String attempt, int priority, int resumeAt, int engineMaxTokens) {
    int tokens = maxTokens == 0 ? engineMaxTokens : Math.min(maxTokens, engineMaxTokens);
    String prompt = messages.toString();
    return new Job(
        exchangeId, attempt, priority, model, prompt, stream, resumeAt, resumeAt, tokens, 0);
  }
}
