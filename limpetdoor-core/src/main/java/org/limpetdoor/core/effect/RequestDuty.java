package org.limpetdoor.core.effect;

/**
 * Requests the placement duty from the store or renews it.
 *
 * @param generation last generation of the group that the store reported, or 0
 * @param ttlMs time without a renewal after which the store grants the duty to another instance, in
 *     milliseconds
 */
public record RequestDuty(long generation, long ttlMs) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.requestDuty(this);
  }
}
