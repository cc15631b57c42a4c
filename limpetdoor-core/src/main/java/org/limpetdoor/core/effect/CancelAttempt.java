package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.AttemptId;

/**
 * Cancels an attempt and drops any data that still arrives for it.
 *
 * @param attempt the attempt
 */
public record CancelAttempt(AttemptId attempt) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.cancelAttempt(this);
  }
}
