package org.limpetdoor.standin.service;

import java.util.Map;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.SendResponse;
import org.limpetdoor.standin.effect.StandinEffect;

/** A request for the number of executions of each request body arrived. */
record ExecutionsRequested(long exchangeId, long atMs) implements StandinEvent<ServiceState> {
  @Override
  public Transition<ServiceState, StandinEffect> reduce(ServiceState state) {
    return Transition.of(
        state, SendResponse.ok(exchangeId, Map.of("executions", state.executionsByBody())));
  }
}
