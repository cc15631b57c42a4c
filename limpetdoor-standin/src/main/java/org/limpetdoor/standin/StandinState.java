package org.limpetdoor.standin;

import org.limpetdoor.core.Timed;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.effect.StandinEffect;

/**
 * Immutable state of a stand-in.
 *
 * @param <S> the implementing class
 */
public interface StandinState<S> extends Timed {
  /** Applies everything that is due at the given time, in monotonic milliseconds. */
  Transition<S, StandinEffect> advance(long nowMs);
}
