package org.limpetdoor.core.effect;

/**
 * Releases the placement duty at the store, so that another instance does not have to wait for its
 * expiry.
 */
public record ReleaseDuty() implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.releaseDuty(this);
  }
}
