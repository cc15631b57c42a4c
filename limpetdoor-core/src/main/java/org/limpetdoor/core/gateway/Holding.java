package org.limpetdoor.core.gateway;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * What an engine holds, by the newest word.
 *
 * @param held models and adapters
 * @param asOfOrders orders that the engine had accepted by then
 * @param dropping models that it was ordered to drop and may still list
 */
record Holding(PSet<ModelKey> held, long asOfOrders, PSet<ModelKey> dropping) {
  static Holding of(PSet<ModelKey> held, long asOfOrders) {
    return new Holding(held, asOfOrders, HashTreePSet.empty());
  }

  /**
   * Follows an entry of the list. One that was written while an adapter was loading does not name
   * it, so adapters that are known stay until the engine has accepted further orders.
   */
  Holding listed(EngineEntry entry) {
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
    PSet<ModelKey> stillDropping = HashTreePSet.empty();
    for (ModelKey key : dropping) {
      stillDropping = entry.held().contains(key) ? stillDropping.plus(key) : stillDropping;
      merged = ModelKey.withoutKey(merged, key);
    }
    return new Holding(merged, asOfOrders, stillDropping);
  }

  /** Follows what the engine itself told, unless newer orders are known. */
  Holding told(EngineInventory inventory) {
    boolean newer = inventory.ordersAccepted() >= asOfOrders;
    return newer ? of(inventory.held(), inventory.ordersAccepted()) : this;
  }

  /** Follows an order that the holder of the placement duty gave. */
  Holding changed(ModelKey key, boolean holds, long orders) {
    PSet<ModelKey> next = holds ? held.plus(key) : ModelKey.withoutKey(held, key);
    boolean dropsModel = key.adapter().isEmpty() && !holds;
    PSet<ModelKey> drops = dropsModel ? dropping.plus(key) : dropping.minus(key);
    return new Holding(next, Math.max(asOfOrders, orders), drops);
  }

  /** Notes that the engine does not hold what it was asked for. */
  Holding without(ModelKey key) {
    return new Holding(held.minus(key), asOfOrders, dropping);
  }
}
