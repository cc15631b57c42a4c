package org.limpetdoor.core.backend;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.BackendReported;

/** Reduces events about back ends. */
public final class BackendEvents {
  private BackendEvents() {}

  /** Notes a load report. */
  public static Transition<NodeState, Effect> reported(NodeState state, BackendReported event) {
    int own = state.backends().get(event.backend()).inFlight();
    LoadReport report = new LoadReport(event.atMs(), event.running(), event.queued(), own);
    BackendTable table = state.backends().update(event.backend(), b -> b.withReport(report));
    return Transition.of(state.withBackends(table));
  }
}
