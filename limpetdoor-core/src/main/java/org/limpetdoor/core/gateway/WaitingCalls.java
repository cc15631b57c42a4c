package org.limpetdoor.core.gateway;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.gateway.EngineSelector.Choice;
import org.limpetdoor.core.gateway.EngineSelector.Verdict;

/** Reduces the events of calls that wait for an engine. */
public final class WaitingCalls {
  private WaitingCalls() {}

  /**
   * Forwards the waiting calls for which an engine is available now, in order of priority and,
   * within a priority, of the use of the accounts relative to their claims. Interrupted responses
   * come first, since their callers accept only a short pause. Calls that have already missed their
   * target latency come last, so that the backlog of one crest does not delay all later calls
   * beyond their targets. Calls whose engines all accept no requests for longer than the calls can
   * wait, that may no longer be sent, or that have not begun and can't be retried, are answered.
   */
  static Transition<NodeState, Effect> serve(NodeState node) {
    Transition<NodeState, Effect> result = Transition.of(node);
    if (node.gateway().waiting().isEmpty()) {
      return result;
    }
    Map<Target, Choice> unavailable = new HashMap<>();
    for (Call call : ordered(node)) {
      Target target = new Target(call.service(), call.spec().model());
      Choice known = unavailable.get(target);
      Choice choice = known == null ? EngineSelector.choose(result.state(), call) : known;
      if (choice.verdict() == Verdict.CHOSEN) {
        result = result.then(next -> CallSteps.send(CallSteps.dequeue(next, call), call, choice));
        continue;
      }
      boolean refused = choice.verdict().refusesCall();
      boolean sameForTarget = !refused && choice.verdict() != Verdict.PROMPT_HELD_BACK;
      if (sameForTarget && call.triedEngines().isEmpty()) {
        unavailable.put(target, choice);
      }
      boolean unaffordable = choice.verdict() == Verdict.RETRY_BUDGET_EMPTY && !call.delivered();
      if (refused || unaffordable || ClosedEngineAdmission.opensTooLate(call, choice)) {
        result = result.then(next -> CallSteps.failWithoutEngine(next, call, choice));
      }
    }
    return result;
  }

  private static List<Call> ordered(NodeState node) {
    List<Call> calls = node.gateway().waiting().stream().map(node.gateway().calls()::get).toList();
    if (CapacitySharing.inUse(node)) {
      return CapacitySharing.order(node, calls);
    }
    return calls.stream()
        .sorted(
            Comparator.comparing((Call call) -> !call.delivered())
                .thenComparing(call -> call.isLate(node.nowMs()))
                .thenComparingInt(Call::priority))
        .toList();
  }

  /**
   * What decides which engines a call may use that was not sent to any yet. If none of them is
   * available for one such call, none is for the others.
   *
   * @param service service of the call
   * @param model model or adapter, if the service has models
   */
  private record Target(String service, Optional<ModelKey> model) {}

  /**
   * Chooses an engine once more for a waiting call whose wait deadline has passed, and fails the
   * call if none is available.
   */
  public static Transition<NodeState, Effect> timedOut(NodeState node, String key) {
    Call call = node.gateway().calls().get(Long.parseLong(key));
    if (call == null || !node.gateway().waiting().contains(call.spec().id())) {
      return Transition.of(node);
    }
    Choice choice = EngineSelector.choose(node, call);
    return choice.verdict() == Verdict.CHOSEN
        ? CallSteps.send(CallSteps.dequeue(node, call), call, choice)
        : CallSteps.failWithoutEngine(node, call, choice);
  }

  /** Forwards calls that have waited for an engine that may be tried again now. */
  public static Transition<NodeState, Effect> engineRetryDue(NodeState node, String key) {
    return serve(node);
  }

  /** Forwards calls whose prompt was held back for the full pacing delay. */
  public static Transition<NodeState, Effect> promptPacingEnded(NodeState node, String key) {
    return serve(node);
  }
}
