package org.limpetdoor.standin;

import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.effect.StandinEffect;

/**
 * Reducer of all stand-ins. Applies everything that is due at the time of the event, then the
 * event.
 *
 * @param <S> state of the stand-in
 */
public final class StandinReducer<S extends StandinState<S>>
    implements Reducer<S, StandinEvent<S>, StandinEffect> {
  @Override
  public Transition<S, StandinEffect> reduce(S state, StandinEvent<S> event) {
    return state.advance(event.atMs()).then(event::reduce);
  }
}
