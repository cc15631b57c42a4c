package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.RequestId;

/**
 * Ends a request whose complete response was relayed.
 *
 * @param request the request
 */
public record FinishRequest(RequestId request) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.finishRequest(this);
  }
}
