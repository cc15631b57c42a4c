package org.limpetdoor.core.effect;

import org.limpetdoor.core.decision.QueueAgeAlarm;

/**
 * Tells the operators that requests of a customer wait for too long.
 *
 * @param alarm what was seen
 */
public record RaiseQueueAgeAlarm(QueueAgeAlarm alarm) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.raiseQueueAgeAlarm(this);
  }
}
