package org.limpetdoor.core.effect;

import org.limpetdoor.core.gateway.RouteTable.CallerLimits;

/**
 * Applies the limits of callers.
 *
 * @param limits the limits
 */
public record ApplyCallerLimits(CallerLimits limits) implements GatewayEffect {
  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.applyCallerLimits(this);
  }
}
