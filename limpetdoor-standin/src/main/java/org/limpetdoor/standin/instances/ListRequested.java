package org.limpetdoor.standin.instances;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.SendResponse;
import org.limpetdoor.standin.effect.StandinEffect;

/** A request for the list arrived. */
record ListRequested(long exchangeId, long atMs) implements StandinEvent<InstancesState> {
  @Override
  public Transition<InstancesState, StandinEffect> reduce(InstancesState state) {
    return Transition.of(state, SendResponse.ok(exchangeId, state.visible()));
  }
}
