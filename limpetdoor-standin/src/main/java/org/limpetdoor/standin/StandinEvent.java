package org.limpetdoor.standin;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.effect.StandinEffect;

/**
 * An event of a stand-in, such as a request or a timer.
 *
 * @param <S> state of the stand-in
 */
public interface StandinEvent<S> {
  /** Returns the time of the event in monotonic milliseconds. */
  long atMs();

  /** Returns the next state and the effects of this event. A pure function. */
  Transition<S, StandinEffect> reduce(S state);
}
