package org.limpetdoor.core.effect;

/**
 * Asks the store for the placement duty.
 *
 * @param generation the last generation that the store told, or 0
 * @param ttlMs time without a word after which the store gives the duty away, in milliseconds
 */
public record JoinDuty(long generation, long ttlMs) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.joinDuty(this);
  }
}
