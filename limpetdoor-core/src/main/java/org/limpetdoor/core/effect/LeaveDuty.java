package org.limpetdoor.core.effect;

/** Gives the placement duty back to the store, so that another instance need not wait for it. */
public record LeaveDuty() implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.leaveDuty(this);
  }
}
