package org.limpetdoor.core.effect;

import org.limpetdoor.core.agreed.Envelope;

/**
 * Appends a record to the log. Results in {@code AppendAnswered} or {@code AppendFailed}.
 *
 * @param envelope the record with the identifier of the append
 */
public record AppendRecord(Envelope envelope) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.appendRecord(this);
  }
}
