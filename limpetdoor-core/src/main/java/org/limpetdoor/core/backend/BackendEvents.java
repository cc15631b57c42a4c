package org.limpetdoor.core.backend;

import java.util.function.UnaryOperator;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.BackendLeaving;
import org.limpetdoor.core.event.BackendReported;
import org.limpetdoor.core.id.BackendId;

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

  /** Notes a sign from outside the request path that a back end is leaving. */
  public static Transition<NodeState, Effect> leaving(NodeState state, BackendLeaving event) {
    return Transition.of(
        withDeparture(state, event.backend(), d -> d.withAnnouncement(event.atMs())));
  }

  /** Notes that a back end refused to start a request. */
  public static NodeState refused(NodeState state, BackendId backend) {
    return withDeparture(state, backend, d -> d.withRefusal(state.nowMs()));
  }

  /** Notes that work was sent to a back end; after signs that it is leaving this is a trial. */
  public static NodeState sent(NodeState state, BackendId backend) {
    return state.backends().get(backend).leaving()
        ? withDeparture(state, backend, d -> d.withTrial(state.nowMs()))
        : state;
  }

  /** Notes that a back end answers a request that was sent at the given time. */
  public static NodeState answered(NodeState state, BackendId backend, long sentAtMs) {
    boolean serves = state.backends().get(backend).departure().refutedBy(sentAtMs);
    return serves
        ? state.withBackends(state.backends().update(backend, b -> b.withDeparture(Departure.NONE)))
        : state;
  }

  /** The timer lets waiting requests try the back end when no sign holds any more. */
  private static NodeState withDeparture(
      NodeState state, BackendId backend, UnaryOperator<Departure> change) {
    Departure next = change.apply(state.backends().get(backend).departure());
    Timer retry = new Timer(next.untilMs(), TimerKind.BACKEND_RETRY, backend.value());
    return state
        .withBackends(state.backends().update(backend, b -> b.withDeparture(next)))
        .withTimers(state.timers().plus(retry));
  }
}
