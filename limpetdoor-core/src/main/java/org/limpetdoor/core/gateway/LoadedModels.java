package org.limpetdoor.core.gateway;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * What an engine holds, by the newest word.
 *
 * @param held models and adapters
 * @param asOfOrders orders that the engine had accepted by then
 * @param unloading models that it was ordered to drop and may still list
 */
record LoadedModels(PSet<ModelKey> held, long asOfOrders, PSet<ModelKey> unloading) {
  static LoadedModels of(PSet<ModelKey> held, long asOfOrders) {
    return new LoadedModels(held, asOfOrders, HashTreePSet.empty());
  }

  /**
   * Follows an entry of the list. One that was written while an adapter was loading does not name
   * it, so adapters that are known stay until the engine has accepted further orders.
   */
  LoadedModels withListEntry(EngineEntry entry) {
    if (entry.ordersAccepted() < asOfOrders) {
      return this;
    }
    if (entry.ordersAccepted() > asOfOrders) {
      return of(entry.held(), entry.ordersAccepted());
    }
    PSet<ModelKey> merged = entry.held();
    for (ModelKey key : held) {
      boolean kept = key.adapter().isPresent() && entry.held().contains(key.base());
      merged = kept ? merged.plus(key) : merged;
    }
    PSet<ModelKey> stillUnloading = HashTreePSet.empty();
    for (ModelKey key : unloading) {
      stillUnloading = entry.held().contains(key) ? stillUnloading.plus(key) : stillUnloading;
      merged = ModelKey.without(merged, key);
    }
    return new LoadedModels(merged, asOfOrders, stillUnloading);
  }

  /** Follows what the engine itself told, unless newer orders are known. */
  LoadedModels withInventory(EngineInventory inventory) {
    boolean newer = inventory.ordersAccepted() >= asOfOrders;
    return newer ? of(inventory.held(), inventory.ordersAccepted()) : this;
  }

  /** Follows an order that the holder of the placement duty gave. */
  LoadedModels withChange(ModelKey key, boolean loaded, long orders) {
    PSet<ModelKey> nextHeld = loaded ? held.plus(key) : ModelKey.without(held, key);
    boolean unloadsModel = key.adapter().isEmpty() && !loaded;
    PSet<ModelKey> nextUnloading = unloadsModel ? unloading.plus(key) : unloading.minus(key);
    return new LoadedModels(nextHeld, Math.max(asOfOrders, orders), nextUnloading);
  }

  /** Notes that the engine does not hold what it was asked for. */
  LoadedModels without(ModelKey key) {
    return new LoadedModels(held.minus(key), asOfOrders, unloading);
  }
}
