package org.limpetdoor.standin;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.effect.StandinEffect;

/** The next deadline of the state has come. The reducer has already done what was due. */
record TimerFired<S>(long atMs) implements StandinEvent<S> {
  @Override
  public Transition<S, StandinEffect> reduce(S state) {
    return Transition.of(state);
  }
}
