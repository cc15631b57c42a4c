package org.limpetdoor.standin;

import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.effect.StandinEffect;

/**
 * Reducer of every stand-in: first what is due by the time of the event, then the event.
 *
 * @param <S> state
 */
public final class StandinReducer<S extends StandinState<S>>
    implements Reducer<S, StandinEvent<S>, StandinEffect> {
  @Override
  public Transition<S, StandinEffect> reduce(S state, StandinEvent<S> event) {
    return state.advance(event.atMs()).then(event::reduce);
  }
}
