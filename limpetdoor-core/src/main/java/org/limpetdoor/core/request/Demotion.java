package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.backend.BackendState;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.effect.ChangePriority;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.Target.ModelTarget;

/** Moves an attempt from the short to the long work class when it runs for as long as long work. */
final class Demotion {
  private static final char SEPARATOR = '#';

  private Demotion() {}

  /** Schedules the check of a new attempt, if the caller's bound on the output allows long work. */
  static NodeState scheduleCheck(NodeState state, RequestState request) {
    WorkPlan plan = request.plan();
    RequestSpec spec = request.spec();
    if (plan.pool().workClass() != WorkClass.SHORT
        || !(spec.target() instanceof ModelTarget call)) {
      return state;
    }
    Model model = state.configuration().models().get(call.model());
    if (model == null || spec.maxOutputTokens() < model.longWorkTokens()) {
      return state;
    }
    double msPerToken = state.requests().pool(plan.pool()).serviceRate().msPerToken();
    long afterMs = Math.round(((double) spec.promptTokens() + model.longWorkTokens()) * msPerToken);
    AttemptId attempt = request.lastAttempt();
    String key = attempt.request().value() + SEPARATOR + attempt.number();
    Timer timer = new Timer(state.nowMs() + afterMs, TimerKind.LONG_WORK_REACHED, key);
    return state.withTimers(state.timers().plus(timer));
  }

  /** Changes the class of the attempt to long work, if it is still in flight. */
  static Transition<NodeState, Effect> demoteIfActive(NodeState state, String key) {
    int separatorIndex = key.lastIndexOf(SEPARATOR);
    AttemptId id =
        new AttemptId(
            new RequestId(key.substring(0, separatorIndex)),
            Integer.parseInt(key.substring(separatorIndex + 1)));
    Optional<RequestState> request = state.requests().find(id.request());
    Optional<ActiveAttempt> attempt = request.flatMap(r -> r.activeAttempt(id));
    if (attempt.isEmpty() || request.get().plan().pool().workClass() == WorkClass.LONG) {
      return Transition.of(state);
    }
    return demote(state, request.get(), attempt.get(), id);
  }

  private static Transition<NodeState, Effect> demote(
      NodeState state, RequestState request, ActiveAttempt attempt, AttemptId id) {
    WorkPlan plan = request.plan().withClass(WorkClass.LONG);
    RequestState demoted = request.withPlan(plan);
    RequestTable table = state.requests();
    Pool shortPool = table.pool(request.plan().pool()).withSlotReleased(request.customer());
    Pool longPool =
        table
            .pool(plan.pool())
            .withDispatched(request.customer(), Queues.terms(state, demoted), plan.workTokens());
    NodeState next =
        state
            .withRequests(
                table
                    .with(demoted)
                    .withPool(request.plan().pool(), shortPool)
                    .withPool(plan.pool(), longPool))
            .withBackends(state.backends().update(attempt.backend(), BackendState::withDemoted));
    ChangePriority effect =
        new ChangePriority(id, attempt.backend(), WorkClass.LONG.enginePriority());
    return Transition.<NodeState, Effect>of(next, effect)
        .then(s -> Queues.drain(s, attempt.backend()));
  }
}
