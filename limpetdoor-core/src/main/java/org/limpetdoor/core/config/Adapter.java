package org.limpetdoor.core.config;

import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.ModelId;

/**
 * An adapter, loaded beside the weights of its model.
 *
 * @param id the name that callers use
 * @param model the model that it adapts
 * @param memoryMib accelerator memory of one loaded copy, in MiB, at least 0
 */
public record Adapter(AdapterId id, ModelId model, int memoryMib) {
  /** Checks ranges. */
  public Adapter {
    Ranges.atLeast("memoryMib", memoryMib, 0);
  }
}
