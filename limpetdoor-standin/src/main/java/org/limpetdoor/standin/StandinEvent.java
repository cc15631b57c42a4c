package org.limpetdoor.standin;

import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.effect.StandinEffect;

/**
 * Something that happened to a stand-in.
 *
 * @param <S> state of the stand-in
 */
public interface StandinEvent<S> {
  /** Returns when it happened, in monotonic milliseconds. */
  long atMs();

  /** Returns what follows from it. A pure function. */
  Transition<S, StandinEffect> reduce(S state);
}
