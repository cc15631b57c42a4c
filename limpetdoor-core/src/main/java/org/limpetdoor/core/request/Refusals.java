package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.AdmissionDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RefuseRequest;
import org.limpetdoor.core.id.CustomerId;

/** Refuses requests. */
final class Refusals {
  private Refusals() {}

  /** Refuses a request that was never accepted. */
  static Transition<NodeState, Effect> refuseArrival(
      NodeState state, RequestSpec spec, Optional<CustomerId> customer, Refusal refusal) {
    AdmissionDecision decision =
        new AdmissionDecision(
            spec.id(),
            customer,
            spec.target().label(),
            queued(state, customer),
            Optional.of(refusal));
    return Transition.<NodeState, Effect>of(state, new RecordDecision(decision))
        .with(new RefuseRequest(spec.id(), refusal));
  }

  /** Refuses a request that was accepted, and removes it. */
  static Transition<NodeState, Effect> refuseAccepted(
      NodeState state, RequestState request, Refusal refusal) {
    NodeState removed = state.withRequests(state.requests().without(request.spec().id()));
    return refuseArrival(removed, request.spec(), Optional.of(request.customer()), refusal);
  }

  static int queued(NodeState state, Optional<CustomerId> customer) {
    return customer
        .map(id -> state.requests().customers().get(id))
        .map(c -> c.waiting().size())
        .orElse(0);
  }
}
