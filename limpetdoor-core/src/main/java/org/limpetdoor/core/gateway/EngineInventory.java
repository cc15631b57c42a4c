package org.limpetdoor.core.gateway;

import org.pcollections.PSet;

/**
 * An engine's response to an inventory request.
 *
 * @param startedAtMs start time, in Unix milliseconds
 * @param ordersAccepted number of orders accepted since the start
 * @param busy whether the engine is loading or unloading a model
 * @param held loaded models and adapters
 * @param pending adapters that are being loaded
 */
public record EngineInventory(
    long startedAtMs,
    long ordersAccepted,
    boolean busy,
    PSet<ModelKey> held,
    PSet<ModelKey> pending) {}
