package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.BackendId;

/**
 * Requests the loaded models and adapters of an engine.
 *
 * @param engine the engine
 * @param startedAtMs its known start, in Unix milliseconds
 * @param address its address as {@code ip:port}
 */
public record InspectEngine(BackendId engine, long startedAtMs, String address)
    implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.inspectEngine(this);
  }
}
