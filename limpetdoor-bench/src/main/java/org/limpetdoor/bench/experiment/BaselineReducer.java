package org.limpetdoor.bench.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.FinishRequest;
import org.limpetdoor.core.effect.RefuseRequest;
import org.limpetdoor.core.event.AttemptCompleted;
import org.limpetdoor.core.event.AttemptFailed;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.event.RequestArrived;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.request.Refusal;
import org.limpetdoor.core.request.RefusalReason;
import org.limpetdoor.core.request.RequestSpec;
import org.limpetdoor.core.request.Target.ModelTarget;

/**
 * A baseline front end that sends each request at once to an engine with the model. It has no
 * admission, queue or retry. It keeps its own counts, because {@link NodeState} has only those of
 * limpetdoor.
 */
final class BaselineReducer implements Reducer<NodeState, Event, Effect> {
  /** Longer than any run, so that queued requests never time out. */
  private static final long NO_TIMEOUT_MS = 3_600_000;

  private final NodeReducer configurationReducer = new NodeReducer();
  private final BaselineEngineSelector selector;
  private final Map<ModelId, Long> turns = new HashMap<>();
  private final Map<BackendId, Integer> inFlight = new HashMap<>();
  private final Map<AttemptId, BackendId> openAttempts = new HashMap<>();
  private Map<ModelId, List<Engine>> enginesByModel = Map.of();

  BaselineReducer(BaselineEngineSelector selector) {
    this.selector = selector;
  }

  @Override
  public Transition<NodeState, Effect> reduce(NodeState state, Event event) {
    if (event instanceof RecordsRead) {
      Transition<NodeState, Effect> next = configurationReducer.reduce(state, event);
      enginesByModel = Site.enginesByModel(next.state().configuration());
      return next;
    }
    if (event instanceof RequestArrived arrived) {
      return Transition.of(state, dispatch(arrived.spec()));
    }
    if (event instanceof AttemptCompleted completed) {
      endAttempt(completed.attempt());
      return Transition.of(state, new FinishRequest(completed.attempt().request()));
    }
    if (event instanceof AttemptFailed failed) {
      endAttempt(failed.attempt());
      Refusal refusal = Refusal.outcomeUnknown(RefusalReason.BACKEND_FAILED);
      return Transition.of(state, new RefuseRequest(failed.attempt().request(), refusal));
    }
    return Transition.of(state);
  }

  private Effect dispatch(RequestSpec spec) {
    ModelId model = ((ModelTarget) spec.target()).model();
    long turn = turns.merge(model, 1L, Long::sum);
    Engine engine =
        selector.select(enginesByModel.get(model), turn, e -> inFlight.getOrDefault(e.id(), 0));
    AttemptId attempt = new AttemptId(spec.id(), 1);
    openAttempts.put(attempt, engine.id());
    inFlight.merge(engine.id(), 1, Integer::sum);
    return new DispatchAttempt(attempt, engine.id(), engine.address(), 0, 0, NO_TIMEOUT_MS);
  }

  private void endAttempt(AttemptId attempt) {
    inFlight.merge(openAttempts.remove(attempt), -1, Integer::sum);
  }
}
