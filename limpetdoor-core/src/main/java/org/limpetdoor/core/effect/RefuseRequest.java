package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.Refusal;

/**
 * Answers a caller with a refusal.
 *
 * @param request the request
 * @param refusal reason of the refusal, and whether the request ran
 */
public record RefuseRequest(RequestId request, Refusal refusal) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.refuseRequest(this);
  }
}
