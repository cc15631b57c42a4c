package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.AttemptId;

/**
 * Ends an attempt and drops all that still arrives for it.
 *
 * @param attempt the attempt
 */
public record CancelAttempt(AttemptId attempt) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.cancelAttempt(this);
  }
}
