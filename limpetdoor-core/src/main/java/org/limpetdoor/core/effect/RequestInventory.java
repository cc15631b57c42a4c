package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.placement.InventoryQuery;

/**
 * Requests the inventory of an engine. Results in {@code InventoryReported}, or in no event if
 * there is no valid response.
 *
 * @param engine the engine
 * @param address its address as {@code ip:port}
 * @param query context that is returned with the response
 */
public record RequestInventory(BackendId engine, String address, InventoryQuery query)
    implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.requestInventory(this);
  }
}
