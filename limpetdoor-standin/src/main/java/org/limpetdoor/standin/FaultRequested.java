package org.limpetdoor.standin;

import java.util.Map;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.effect.SendResponse;
import org.limpetdoor.standin.effect.StandinEffect;

/** A request to switch a fault on or off arrived. */
record FaultRequested<S>(long exchangeId, long atMs, Fault<S> fault, FaultRequest request)
    implements StandinEvent<S> {
  @Override
  public Transition<S, StandinEffect> reduce(S state) {
    return fault
        .apply(state, request, atMs)
        .with(SendResponse.ok(exchangeId, Map.of("kind", request.kind(), "on", request.on())));
  }
}
