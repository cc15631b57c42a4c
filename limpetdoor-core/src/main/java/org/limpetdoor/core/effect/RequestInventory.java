package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.placement.InventoryQuery;

/**
 * Asks an engine for its inventory. Ends in {@code InventoryReported}, or in nothing.
 *
 * @param engine the engine
 * @param address its address as {@code ip:port}
 * @param query handed back with the answer
 */
public record RequestInventory(BackendId engine, String address, InventoryQuery query)
    implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.requestInventory(this);
  }
}
