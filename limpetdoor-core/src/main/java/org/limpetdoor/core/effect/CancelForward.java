package org.limpetdoor.core.effect;

/**
 * Cancels an attempt of a forwarded call.
 *
 * @param call number of the call
 * @param attempt number of the attempt
 */
public record CancelForward(long call, int attempt) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.cancelForward(this);
  }
}
