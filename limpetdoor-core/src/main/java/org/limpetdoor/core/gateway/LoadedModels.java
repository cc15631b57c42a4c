package org.limpetdoor.core.gateway;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * Models and adapters that an engine holds according to the newest report.
 *
 * @param held models and adapters
 * @param asOfOrders number of orders that the engine had accepted at the time of the report
 * @param unloading models that the engine was ordered to unload and may still list
 */
record LoadedModels(PSet<ModelKey> held, long asOfOrders, PSet<ModelKey> unloading) {
  static LoadedModels of(PSet<ModelKey> held, long asOfOrders) {
    return new LoadedModels(held, asOfOrders, HashTreePSet.empty());
  }

  /**
   * Applies an entry of the list of engines. An entry that was written while an adapter was loading
   * does not name it, so known adapters are kept until the engine has accepted further orders.
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
      merged = ModelKey.withoutKey(merged, key);
    }
    return new LoadedModels(merged, asOfOrders, stillUnloading);
  }

  /**
   * Applies an inventory that the engine reported, unless a report with more accepted orders is
   * known.
   */
  LoadedModels withInventory(EngineInventory inventory) {
    boolean newer = inventory.ordersAccepted() >= asOfOrders;
    return newer ? of(inventory.held(), inventory.ordersAccepted()) : this;
  }

  /** Applies a load or unload that the holder of the placement duty reported. */
  LoadedModels withChange(ModelKey key, boolean loaded, long orders) {
    PSet<ModelKey> nextHeld = loaded ? held.plus(key) : ModelKey.withoutKey(held, key);
    boolean unloadsModel = key.adapter().isEmpty() && !loaded;
    PSet<ModelKey> nextUnloading = unloadsModel ? unloading.plus(key) : unloading.minus(key);
    return new LoadedModels(nextHeld, Math.max(asOfOrders, orders), nextUnloading);
  }

  /** Records that the engine refused a call because it does not hold the model or adapter. */
  LoadedModels without(ModelKey key) {
    return new LoadedModels(held.minus(key), asOfOrders, unloading);
  }
}
