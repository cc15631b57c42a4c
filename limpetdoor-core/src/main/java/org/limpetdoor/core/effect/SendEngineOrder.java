package org.limpetdoor.core.effect;

import org.limpetdoor.core.gateway.EngineOrder;

/**
 * Sends an order to an engine without retries.
 *
 * @param order the order
 * @param startedAtMs known start of the engine, in Unix milliseconds
 * @param address address of the engine as {@code ip:port}
 */
public record SendEngineOrder(EngineOrder order, long startedAtMs, String address)
    implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.sendEngineOrder(this);
  }
}
