package org.limpetdoor.standin.service;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.StandinEffect;

/** A call arrived. */
record CallRequested(long exchangeId, long atMs, String method, String path, String body)
    implements StandinEvent<ServiceState> {
  @Override
  public Transition<ServiceState, StandinEffect> reduce(ServiceState state) {
    return state.call(this);
  }
}
