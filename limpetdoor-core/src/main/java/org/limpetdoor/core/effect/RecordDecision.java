package org.limpetdoor.core.effect;

import org.limpetdoor.core.decision.Decision;

/**
 * Writes the log line and updates the metrics of a decision, and stores it for explain requests.
 *
 * @param decision the decision
 */
public record RecordDecision(Decision decision) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.recordDecision(this);
  }
}
