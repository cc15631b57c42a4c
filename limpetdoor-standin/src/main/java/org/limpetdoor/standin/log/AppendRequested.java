package org.limpetdoor.standin.log;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.StandinEffect;

/** A request to append a record arrived. The body is encoded in base64. */
record AppendRequested(long exchangeId, long atMs, String stream, String body)
    implements StandinEvent<LogState> {
  @Override
  public Transition<LogState, StandinEffect> reduce(LogState state) {
    return state.append(exchangeId, stream, body, atMs);
  }
}
