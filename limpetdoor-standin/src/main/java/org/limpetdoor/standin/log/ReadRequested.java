package org.limpetdoor.standin.log;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.StandinEffect;

/** A read request arrived. It waits up to {@code waitMs} for the first record. */
record ReadRequested(long exchangeId, long atMs, String stream, long from, int max, long waitMs)
    implements StandinEvent<LogState> {
  @Override
  public Transition<LogState, StandinEffect> reduce(LogState state) {
    return state.read(new LogState.WaitingRead(exchangeId, stream, from, max, atMs + waitMs), atMs);
  }
}
