package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.BackendId;

/**
 * Changes the priority of an attempt that an engine is running.
 *
 * @param attempt the attempt
 * @param backend the engine
 * @param enginePriority new priority, at least 0; 0 is served first
 */
public record ChangePriority(AttemptId attempt, BackendId backend, int enginePriority)
    implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.changePriority(this);
  }
}
