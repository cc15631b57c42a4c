package org.limpetdoor.core.effect;

/**
 * Closes the connection of a caller that has received part of a response, so that the caller does
 * not take the response for complete.
 *
 * @param call number of the call
 */
public record AbortCall(long call) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.abortCall(this);
  }
}
