package org.limpetdoor.core;

import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.limits.LimitEvents;

/**
 * The reducer of an instance, the entry point of all decisions about requests, agreement,
 * membership and placement.
 */
public final class NodeReducer implements Reducer<NodeState, Event, Effect> {
  @Override
  public Transition<NodeState, Effect> reduce(NodeState state, Event event) {
    NodeState current = LimitEvents.refresh(state.withNowMs(event.atMs()));
    return event.kind().reduce(current, event).then(DrainEvents::stopIfIdle);
  }
}
