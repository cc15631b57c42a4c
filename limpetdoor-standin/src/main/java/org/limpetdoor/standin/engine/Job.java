package org.limpetdoor.standin.engine;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * One answer that the engine is generating or has queued.
 *
 * @param exchangeId identifier of the HTTP exchange
 * @param attempt identifier of the attempt
 * @param priority scheduling priority; lower values are served first
 * @param model name of the model
 * @param prompt the messages as JSON
 * @param stream whether each token is sent as soon as it is produced
 * @param resumeAt number of tokens that the caller has already received
 * @param nextToken index of the next token
 * @param totalTokens length of the complete answer in tokens
 * @param nextTokenMs due time of the next token in monotonic milliseconds
 */
record Job(
    long exchangeId,
    String attempt,
    int priority,
    String model,
    String prompt,
    boolean stream,
    int resumeAt,
    int nextToken,
    int totalTokens,
    long nextTokenMs) {
  private static final String[] VOCABULARY = {
    "stave", "egg", "barn", "crate", "oak", "pond", "yard", "feed", "hoop", "cart", "gate", "mill",
    "rope", "field", "cask", "nest"
  };

  boolean finished() {
    return nextToken >= totalTokens;
  }

  Job withNextTokenAt(long tokenMs) {
    return with(nextToken, tokenMs);
  }

  Job afterToken(long nextTokenMs) {
    return with(nextToken + 1, nextTokenMs);
  }

  /**
   * Returns a token. It depends only on model, prompt and index, so that a stream can be resumed.
   */
  String token(int index) {
    int hash = 31 * (31 * model.hashCode() + prompt.hashCode()) + index * 0x9E3779B9;
    return VOCABULARY[((hash ^ hash >>> 16) & Integer.MAX_VALUE) % VOCABULARY.length] + index + " ";
  }

  /** Returns the tokens from the resume position to the end. */
  String remainingText() {
    return IntStream.range(resumeAt, totalTokens)
        .mapToObj(this::token)
        .collect(Collectors.joining());
  }

  Job withPriority(int value) {
    return new Job(
        exchangeId,
        attempt,
        value,
        model,
        prompt,
        stream,
        resumeAt,
        nextToken,
        totalTokens,
        nextTokenMs);
  }

  private Job with(int token, long tokenMs) {
    return new Job(
        exchangeId,
        attempt,
        priority,
        model,
        prompt,
        stream,
        resumeAt,
        token,
        totalTokens,
        tokenMs);
  }
}
