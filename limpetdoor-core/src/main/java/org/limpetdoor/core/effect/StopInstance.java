package org.limpetdoor.core.effect;

/**
 * Stops the instance. After {@link Reason#ALL_ENDED} callers may still read the last bytes of their
 * responses; if they are still reading at the drain timeout, {@link Reason#TIMED_OUT} follows.
 *
 * @param reason reason of the stop
 */
public record StopInstance(Reason reason) implements Effect {
  /** Reasons why an instance stops. */
  public enum Reason {
    /** All accepted requests ended. */
    ALL_ENDED,
    /** The drain timeout has passed. */
    TIMED_OUT
  }

  @Override
  public void applyTo(EffectHandler handler) {
    handler.stopInstance(this);
  }
}
