package org.limpetdoor.core;

import java.util.Optional;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.TimerFired;

/** Reduces timer events. */
final class TimerEvents {
  private TimerEvents() {}

  /**
   * Fires all due timers, including those that a handler schedules for a time that has already
   * come.
   */
  static Transition<NodeState, Effect> fired(NodeState state, TimerFired event) {
    Transition<NodeState, Effect> result = Transition.of(state);
    Optional<Timer> due = state.timers().firstDue(event.atMs());
    while (due.isPresent()) {
      Timer timer = due.get();
      NodeState remaining = result.state().withTimers(result.state().timers().minus(timer));
      Transition<NodeState, Effect> fired = timer.kind().fire(remaining, timer.key());
      result = new Transition<>(fired.state(), result.effects()).withAll(fired.effects());
      due = result.state().timers().firstDue(event.atMs());
    }
    return result;
  }
}
