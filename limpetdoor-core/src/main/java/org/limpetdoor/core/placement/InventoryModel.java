package org.limpetdoor.core.placement;

import org.limpetdoor.core.id.ModelId;

/**
 * A model in the inventory of an engine, loaded or loading.
 *
 * @param model the model
 * @param memoryMib memory that it takes, in MiB, at least 1
 * @param ready whether the engine serves it; false while it loads
 */
public record InventoryModel(ModelId model, int memoryMib, boolean ready) {}
