package org.limpetdoor.core.config;

import org.limpetdoor.core.id.ModelId;

/**
 * A model that customers may call.
 *
 * @param id name that callers use
 * @param version version of the weights
 * @param memoryMib accelerator memory of one loaded replica, in MiB, at least 1
 * @param minReplicas smallest number of replicas to keep loaded, at least 1
 * @param longWorkTokens predicted output length from which a request is long work, in tokens, at
 *     least 1
 */
public record Model(
    ModelId id, String version, int memoryMib, int minReplicas, int longWorkTokens) {
  /** Checks ranges. */
  public Model {
    Ranges.atLeast("memoryMib", memoryMib, 1);
    Ranges.atLeast("minReplicas", minReplicas, 1);
    Ranges.atLeast("longWorkTokens", longWorkTokens, 1);
  }
}
