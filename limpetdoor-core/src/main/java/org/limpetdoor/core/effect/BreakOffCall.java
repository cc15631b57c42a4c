package org.limpetdoor.core.effect;

/**
 * Closes the connection of a caller that has part of an answer, so that it does not look whole.
 *
 * @param call number of the call
 */
public record BreakOffCall(long call) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.breakOffCall(this);
  }
}
