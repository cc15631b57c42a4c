package org.limpetdoor.core.effect;

/**
 * Passes on the failure that an engine answered.
 *
 * @param call number of the call
 * @param attempt attempt whose answer was kept
 */
public record PassAnswer(long call, int attempt) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.passAnswer(this);
  }
}
