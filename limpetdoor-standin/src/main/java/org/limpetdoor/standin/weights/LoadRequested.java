package org.limpetdoor.standin.weights;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.StandinEffect;

/** A request to load weights arrived. */
record LoadRequested(long exchangeId, long atMs, LoadRequest request)
    implements StandinEvent<WeightsState> {
  @Override
  public Transition<WeightsState, StandinEffect> reduce(WeightsState state) {
    return state.load(exchangeId, request);
  }
}
