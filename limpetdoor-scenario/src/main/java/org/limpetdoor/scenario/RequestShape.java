package org.limpetdoor.scenario;

/**
 * Size and identity of the requests of a fake caller.
 *
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens length of the answer, in tokens
 * @param maxOutputTokens bound on the answer set by the caller, in tokens
 * @param prefixHash hash of the start of the prompt
 * @param fingerprint fingerprint, or 0 for a unique one
 */
public record RequestShape(
    int promptTokens, int outputTokens, int maxOutputTokens, long prefixHash, long fingerprint) {
  /** Returns a shape with the given lengths and no shared prefix or fingerprint. */
  public static RequestShape of(int promptTokens, int outputTokens) {
    return new RequestShape(promptTokens, outputTokens, outputTokens, 0, 0);
  }

  /** Returns a copy with a fingerprint. */
  public RequestShape withFingerprint(long value) {
    return new RequestShape(promptTokens, outputTokens, maxOutputTokens, prefixHash, value);
  }

  /** Returns a copy with another bound on the output. */
  public RequestShape withMaxOutputTokens(int value) {
    return new RequestShape(promptTokens, outputTokens, value, prefixHash, fingerprint);
  }

  /** Returns a copy with a prefix hash. */
  public RequestShape withPrefixHash(long value) {
    return new RequestShape(promptTokens, outputTokens, maxOutputTokens, value, fingerprint);
  }
}
