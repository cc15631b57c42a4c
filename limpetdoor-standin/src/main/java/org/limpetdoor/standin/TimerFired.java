package org.limpetdoor.standin;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.effect.StandinEffect;

/**
 * A deadline of the state has passed. Needs no action, as the reducer applies what is due before
 * each event.
 */
record TimerFired<S>(long atMs) implements StandinEvent<S> {
  @Override
  public Transition<S, StandinEffect> reduce(S state) {
    return Transition.of(state);
  }
}
