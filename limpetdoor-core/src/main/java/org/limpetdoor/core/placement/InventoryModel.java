package org.limpetdoor.core.placement;

import org.limpetdoor.core.id.ModelId;

/**
 * A model in the memory of an engine.
 *
 * @param model the model
 * @param memoryMib memory that it takes, in MiB, at least 1
 * @param ready whether the engine serves it; false while it loads
 */
public record InventoryModel(ModelId model, int memoryMib, boolean ready) {}
