package org.limpetdoor.core.simulation;

import java.util.function.LongFunction;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.InstanceStarted;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;

/** A simulated process: a reducer with its own clock that can be paused and can crash. */
final class SimulatedNode {
  final InstanceId id;
  final long incarnation;
  private final NodeReducer reducer = new NodeReducer();
  private final Simulation simulation;
  private final long clockOffsetMs;
  NodeState state;
  long pausedUntilMs;
  boolean crashed;
  private long timerAtMs = Long.MAX_VALUE;

  SimulatedNode(Simulation simulation, InstanceId id, long incarnation, long clockOffsetMs) {
    this.simulation = simulation;
    this.id = id;
    this.incarnation = incarnation;
    this.clockOffsetMs = clockOffsetMs;
    this.state = NodeState.initial(new NodeState.Self(id, incarnation, new ZoneId("zone-0")));
  }

  void start() {
    deliver(InstanceStarted::new);
  }

  long localMs(long atMs) {
    return atMs + clockOffsetMs;
  }

  boolean running() {
    return !crashed && simulation.nowMs() >= pausedUntilMs;
  }

  /** Reduces an event, after the end of the current pause if the process is paused. */
  void deliver(LongFunction<Event> event) {
    if (crashed) {
      return;
    }
    if (!running()) {
      simulation.at(pausedUntilMs, () -> deliver(event));
      return;
    }
    apply(reducer.reduce(state, event.apply(localMs(simulation.nowMs()))));
  }

  /** Applies a transition and executes its effects. */
  void apply(Transition<NodeState, Effect> transition) {
    state = transition.state();
    transition.effects().forEach(effect -> simulation.execute(this, effect));
    scheduleTimer();
  }

  private void scheduleTimer() {
    if (state.nextDeadlineMs() == Long.MAX_VALUE) {
      return;
    }
    long dueMs = Math.max(simulation.nowMs(), state.nextDeadlineMs() - clockOffsetMs);
    if (dueMs < timerAtMs) {
      timerAtMs = dueMs;
      simulation.at(dueMs, this::timerFired);
    }
  }

  private void timerFired() {
    timerAtMs = Long.MAX_VALUE;
    deliver(TimerFired::new);
  }
}
