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
 * @param visible the list that is currently visible
 * @param pendingChanges lists that are not visible yet, in order of arrival
 */
public record InstancesState(
    long lagMs, InstanceList visible, PVector<PendingChange> pendingChanges)
    implements StandinState<InstancesState> {
  static InstancesState initial(InstancesSettings settings) {
    return new InstancesState(
        settings.lagMs(), new InstanceList(settings.instances()), TreePVector.empty());
  }

  @Override
  public long nextDeadlineMs() {
    return pendingChanges.isEmpty() ? NEVER_MS : pendingChanges.get(0).visibleAtMs;
  }

  @Override
  public Transition<InstancesState, StandinEffect> advance(long nowMs) {
    InstancesState next = this;
    while (next.nextDeadlineMs() <= nowMs) {
      next =
          new InstancesState(lagMs, next.pendingChanges.get(0).list, next.pendingChanges.minus(0));
    }
    return Transition.of(next);
  }

  Transition<InstancesState, StandinEffect> changeList(
      long exchangeId, InstanceList list, long nowMs) {
    long visibleAtMs = nowMs + lagMs;
    InstancesState next =
        new InstancesState(
            lagMs, visible, pendingChanges.plus(new PendingChange(visibleAtMs, list)));
    return next.advance(nowMs).with(SendResponse.ok(exchangeId, Map.of("visibleInMs", lagMs)));
  }

  /** A list and the time at which it becomes visible, in monotonic milliseconds. */
  record PendingChange(long visibleAtMs, InstanceList list) {}
}
