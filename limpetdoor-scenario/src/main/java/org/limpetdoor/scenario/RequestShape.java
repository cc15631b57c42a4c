package org.limpetdoor.scenario;

import java.util.List;

/**
 * Size and identity of the requests of a fake caller.
 *
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens length of the answer, in tokens
 * @param maxOutputTokens bound on the answer set by the caller, in tokens
 * @param prefixHash hash of the start of the prompt
 * @param sharedPromptParts hashes of the prompt parts that other requests may share
 * @param fingerprint fingerprint, or 0 for a unique one
 */
public record RequestShape(
    int promptTokens,
    int outputTokens,
    int maxOutputTokens,
    long prefixHash,
    List<Long> sharedPromptParts,
    long fingerprint) {
  /** Returns a shape with the given lengths and no shared prefix or fingerprint. */
  public static RequestShape of(int promptTokens, int outputTokens) {
    return new RequestShape(promptTokens, outputTokens, outputTokens, 0, List.of(), 0);
  }

  /** Returns a copy with a fingerprint. */
  public RequestShape withFingerprint(long value) {
    return new RequestShape(
        promptTokens, outputTokens, maxOutputTokens, prefixHash, sharedPromptParts, value);
  }

  /** Returns a copy with another bound on the output. */
  public RequestShape withMaxOutputTokens(int value) {
    return new RequestShape(
        promptTokens, outputTokens, value, prefixHash, sharedPromptParts, fingerprint);
  }

  /** Returns a copy with a prefix hash. */
  public RequestShape withPrefixHash(long value) {
    return new RequestShape(
        promptTokens, outputTokens, maxOutputTokens, value, sharedPromptParts, fingerprint);
  }

  /** Returns a copy with shared parts of the prompt. */
  public RequestShape withSharedPromptParts(List<Long> value) {
    return new RequestShape(
        promptTokens, outputTokens, maxOutputTokens, prefixHash, value, fingerprint);
  }
}
