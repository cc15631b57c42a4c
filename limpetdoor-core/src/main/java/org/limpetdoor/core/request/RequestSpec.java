package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.RequestId;

/**
 * What a front end knows of a request when it arrives. The body itself stays on the traffic side.
 *
 * @param id identifier given by the front end
 * @param key digest of the caller's key
 * @param target what to run
 * @param idempotencyKey the caller's key for repeats, if it sent one
 * @param promptTokens length of the prompt, in tokens, at least 0
 * @param maxOutputTokens bound on the output set by the caller, in tokens, at least 0
 * @param prefixHash hash of the start of the prompt, for prefix cache affinity; 0 means no affinity
 * @param fingerprint hash of target and body, which tells whether the same request is sent again
 */
public record RequestSpec(
    RequestId id,
    KeyDigest key,
    Target target,
    Optional<String> idempotencyKey,
    int promptTokens,
    int maxOutputTokens,
    long prefixHash,
    long fingerprint) {
  /** Checks ranges. */
  public RequestSpec {
    Ranges.atLeast("promptTokens", promptTokens, 0);
    Ranges.atLeast("maxOutputTokens", maxOutputTokens, 0);
  }

  /** Returns the work that the request may cost, in tokens. */
  public long workTokens() {
    return (long) promptTokens + maxOutputTokens;
  }
}
