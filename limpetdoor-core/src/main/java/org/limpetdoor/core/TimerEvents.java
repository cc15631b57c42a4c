package org.limpetdoor.core;

import java.util.Optional;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.TimerFired;

/** Reduces the passing of time. */
final class TimerEvents {
  private TimerEvents() {}

  /**
   * Fires every timer that is due. A timer that is scheduled meanwhile for the same time fires too.
   */
  static Transition<NodeState, Effect> fired(NodeState state, TimerFired event) {
    Transition<NodeState, Effect> result = Transition.of(state);
    Optional<Timer> due = state.timers().firstDue(event.atMs());
    while (due.isPresent()) {
      Timer timer = due.get();
      NodeState without = result.state().withTimers(result.state().timers().minus(timer));
      Transition<NodeState, Effect> fired = timer.kind().fire(without, timer.key());
      result = new Transition<>(fired.state(), result.effects()).withAll(fired.effects());
      due = result.state().timers().firstDue(event.atMs());
    }
    return result;
  }
}
