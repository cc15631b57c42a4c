package org.limpetdoor.core.effect;

import org.limpetdoor.core.agreed.Envelope;

/**
 * Appends to the log. Ends in {@code AppendAnswered} or {@code AppendFailed}.
 *
 * @param envelope what to append
 */
public record AppendRecord(Envelope envelope) implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.appendRecord(this);
  }
}
