package org.limpetdoor.core.effect;

/**
 * Ends the instance. After {@link Reason#ALL_ENDED} callers may still read the last bytes of their
 * answers; {@link Reason#TIMED_OUT} follows if they do so until the drain timeout.
 *
 * @param reason why
 */
public record StopInstance(Reason reason) implements Effect {
  /** Why an instance stops. */
  public enum Reason {
    /** Every accepted request ended. */
    ALL_ENDED,
    /** The drain timeout has passed. */
    TIMED_OUT
  }

  @Override
  public void applyTo(EffectHandler handler) {
    handler.stopInstance(this);
  }
}
