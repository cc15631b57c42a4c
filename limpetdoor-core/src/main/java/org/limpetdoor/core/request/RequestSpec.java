package org.limpetdoor.core.request;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.RequestId;

/**
 * Properties of an arriving request that decisions depend on. The body stays on the traffic
 * threads.
 *
 * @param id identifier assigned by the front end
 * @param key digest of the caller's key
 * @param target model or plain service to call
 * @param idempotencyKey idempotency key, if the caller sent one
 * @param promptTokens length of the prompt, in tokens, at least 0
 * @param maxOutputTokens bound on the output set by the caller, in tokens, at least 0
 * @param prefixHash hash of the start of the prompt, for prefix cache affinity; 0 means no affinity
 * @param sharedPromptParts hashes of the prompt parts that other requests may share, in order; the
 *     last part of a prompt is the request's own and is not among them
 * @param fingerprint hash of target and body, by which a repeated request is recognized
 */
public record RequestSpec(
    RequestId id,
    KeyDigest key,
    Target target,
    Optional<String> idempotencyKey,
    int promptTokens,
    int maxOutputTokens,
    long prefixHash,
    List<Long> sharedPromptParts,
    long fingerprint) {
  /** Checks ranges and copies the parts. */
  public RequestSpec {
    Ranges.atLeast("promptTokens", promptTokens, 0);
    Ranges.atLeast("maxOutputTokens", maxOutputTokens, 0);
    sharedPromptParts = List.copyOf(sharedPromptParts);
  }

  /** Returns the upper bound on the work of the request, in tokens. */
  public long workTokens() {
    return (long) promptTokens + maxOutputTokens;
  }
}
