package org.limpetdoor.core.gateway;

import org.pcollections.PSet;

/**
 * What an engine says of itself when it is asked.
 *
 * @param startedAtMs when it started, in Unix milliseconds
 * @param ordersAccepted orders that it has accepted since its start
 * @param busy whether it loads or drops a model
 * @param held models and adapters that it holds
 * @param pending adapters that it is loading
 */
public record EngineInventory(
    long startedAtMs,
    long ordersAccepted,
    boolean busy,
    PSet<ModelKey> held,
    PSet<ModelKey> pending) {}
