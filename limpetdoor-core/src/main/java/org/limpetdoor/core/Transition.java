package org.limpetdoor.core;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Result of reducing one event.
 *
 * @param state the next state
 * @param effects effects for the traffic threads to execute, in this order
 * @param <S> state
 * @param <F> effect
 */
public record Transition<S, F>(S state, List<F> effects) {
  /** Copies the effects. */
  public Transition {
    effects = List.copyOf(effects);
  }

  /** Returns a transition without effects. */
  public static <S, F> Transition<S, F> of(S state) {
    return new Transition<>(state, List.of());
  }

  /** Returns a transition with one effect. */
  public static <S, F> Transition<S, F> of(S state, F effect) {
    return new Transition<>(state, List.of(effect));
  }

  /** Returns a copy with the effect appended. */
  public Transition<S, F> with(F effect) {
    return withAll(List.of(effect));
  }

  /** Returns a copy with the effects appended. */
  public Transition<S, F> withAll(List<? extends F> more) {
    List<F> all = new ArrayList<>(effects);
    all.addAll(more);
    return new Transition<>(state, all);
  }

  /** Applies a step to the next state and appends its effects. */
  public Transition<S, F> then(Function<S, Transition<S, F>> step) {
    Transition<S, F> next = step.apply(state);
    return new Transition<>(next.state, effects).withAll(next.effects);
  }
}
