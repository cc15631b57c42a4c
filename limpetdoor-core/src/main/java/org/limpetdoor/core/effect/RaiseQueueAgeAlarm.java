package org.limpetdoor.core.effect;

import org.limpetdoor.core.decision.QueueAgeAlarm;

/**
 * Alerts the operators that requests of a customer have waited too long.
 *
 * @param alarm the alarm
 */
public record RaiseQueueAgeAlarm(QueueAgeAlarm alarm) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.raiseQueueAgeAlarm(this);
  }
}
