package org.limpetdoor.core.config;

import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.ModelId;

/**
 * An adapter, which is loaded in addition to the weights of its model.
 *
 * @param id name that callers use
 * @param model the adapted model
 * @param memoryMib accelerator memory of one loaded copy, in MiB, at least 0
 */
public record Adapter(AdapterId id, ModelId model, int memoryMib) {
  /** Checks ranges. */
  public Adapter {
    Ranges.atLeast("memoryMib", memoryMib, 0);
  }
}
