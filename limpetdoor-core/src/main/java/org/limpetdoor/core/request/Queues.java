package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.decision.AdmissionDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.RequestId;

/** Queues of waiting requests, one for each customer, bounded by its contract. */
final class Queues {
  private Queues() {}

  /** Queues a request, or refuses it if the customer's queue is full. */
  static Transition<NodeState, Effect> enqueue(
      NodeState state, RequestState request, Contract contract) {
    CustomerState customer = state.requests().customers().get(request.customer());
    long workTokens = request.spec().workTokens();
    boolean full =
        customer.queue().size() >= contract.queue().maxRequests()
            || customer.queuedTokens() + workTokens > contract.queue().maxTokens();
    if (full) {
      return Refusals.refuseAccepted(state, request, Refusal.notRun(RefusalReason.QUEUE_FULL));
    }
    CustomerState queued = customer.withQueued(request.spec().id(), workTokens);
    NodeState next =
        state
            .withRequests(state.requests().with(request).withCustomer(request.customer(), queued))
            .withTimers(state.timers().plus(request.queueTimer()));
    AdmissionDecision decision =
        new AdmissionDecision(
            request.spec().id(),
            Optional.of(request.customer()),
            request.spec().target().label(),
            queued.queue().size(),
            Optional.empty());
    return Transition.of(next, new RecordDecision(decision));
  }

  /** Takes a request out of its queue. */
  static NodeState remove(NodeState state, RequestState request) {
    CustomerState customer = state.requests().customers().get(request.customer());
    CustomerState without =
        customer.withoutQueued(request.spec().id(), request.spec().workTokens());
    return state
        .withRequests(state.requests().withCustomer(request.customer(), without))
        .withTimers(state.timers().minus(request.queueTimer()));
  }

  /**
   * Dispatches waiting requests for as long as back ends have free slots, in order of arrival for
   * each customer.
   */
  static Transition<NodeState, Effect> drain(NodeState state) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (CustomerId customer : state.requests().customers().keySet()) {
      result = result.then(current -> drainCustomer(current, customer));
    }
    return result;
  }

  private static Transition<NodeState, Effect> drainCustomer(NodeState state, CustomerId id) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (RequestId waiting : state.requests().customers().get(id).queue()) {
      RequestState request = result.state().requests().byId().get(waiting);
      Router.Choice choice = Router.choose(result.state(), request);
      if (choice.backend().isPresent()) {
        result =
            result.then(current -> Attempts.dispatch(remove(current, request), request, choice));
      }
    }
    return result;
  }
}
