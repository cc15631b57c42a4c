package org.limpetdoor.core;

/**
 * A pure function from a state and an event to the next state and the effects to execute.
 *
 * @param <S> state, immutable
 * @param <E> event, immutable
 * @param <F> effect, immutable
 */
@FunctionalInterface
public interface Reducer<S, E, F> {
  /** Returns the next state and the effects. Equal arguments always give equal results. */
  Transition<S, F> reduce(S state, E event);
}
