package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.BackendId;

/**
 * Asks an engine what it holds.
 *
 * @param engine the engine
 * @param address its address as {@code ip:port}
 */
public record InspectEngine(BackendId engine, String address) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.inspectEngine(this);
  }
}
