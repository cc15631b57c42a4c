package org.limpetdoor.standin.instances;

import java.util.Map;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.StandinState;
import org.limpetdoor.standin.effect.SendResponse;
import org.limpetdoor.standin.effect.StandinEffect;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * State of the instance list.
 *
 * @param lagMs delay until a change becomes visible, in milliseconds
 * @param shown the list that is currently visible
 * @param changes lists that are not visible yet, in order of arrival
 */
public record InstancesState(long lagMs, InstanceList shown, PVector<Change> changes)
    implements StandinState<InstancesState> {
  static InstancesState initial(InstancesSettings settings) {
    return new InstancesState(
        settings.lagMs(), new InstanceList(settings.instances()), TreePVector.empty());
  }

  @Override
  public long nextDeadlineMs() {
    return changes.isEmpty() ? NEVER_MS : changes.get(0).visibleMs;
  }

  @Override
  public Transition<InstancesState, StandinEffect> advance(long nowMs) {
    InstancesState next = this;
    while (next.nextDeadlineMs() <= nowMs) {
      next = new InstancesState(lagMs, next.changes.get(0).list, next.changes.minus(0));
    }
    return Transition.of(next);
  }

  Transition<InstancesState, StandinEffect> change(long exchangeId, InstanceList list, long nowMs) {
    long visibleMs = nowMs + lagMs;
    InstancesState next =
        new InstancesState(lagMs, shown, changes.plus(new Change(visibleMs, list)));
    return next.advance(nowMs).with(SendResponse.ok(exchangeId, Map.of("visibleInMs", lagMs)));
  }

  /** A list and the time at which it becomes visible, in monotonic milliseconds. */
  record Change(long visibleMs, InstanceList list) {}
}
