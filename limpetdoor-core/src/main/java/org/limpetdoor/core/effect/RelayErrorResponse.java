package org.limpetdoor.core.effect;

/**
 * Relays the stored error response of an engine to the caller.
 *
 * @param call number of the call
 * @param attempt number of the attempt whose response was stored
 */
public record RelayErrorResponse(long call, int attempt) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.relayErrorResponse(this);
  }
}
