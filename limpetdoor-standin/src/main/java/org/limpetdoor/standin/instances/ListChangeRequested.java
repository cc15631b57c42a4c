package org.limpetdoor.standin.instances;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.StandinEffect;

/** A request to replace the list arrived. */
record ListChangeRequested(long exchangeId, long atMs, InstanceList list)
    implements StandinEvent<InstancesState> {
  @Override
  public Transition<InstancesState, StandinEffect> reduce(InstancesState state) {
    return state.changeList(exchangeId, list, atMs);
  }
}
