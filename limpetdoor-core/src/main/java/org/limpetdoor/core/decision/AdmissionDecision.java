package org.limpetdoor.core.decision;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.Refusal;

/**
 * Says that a request was queued, or refused and why.
 *
 * @param request the request
 * @param customer the customer, if the key was known
 * @param target label of model or service
 * @param queuedRequests requests of the customer that wait on this instance
 * @param refusal the refusal, or empty if the request was queued
 */
public record AdmissionDecision(
    RequestId request,
    Optional<CustomerId> customer,
    String target,
    int queuedRequests,
    Optional<Refusal> refusal)
    implements Decision {
  @Override
  public DecisionKind kind() {
    return DecisionKind.ADMISSION;
  }

  @Override
  public String subject() {
    return request.value();
  }

  @Override
  public List<Field> fields() {
    return List.of(
        Field.of("customer", customer.map(CustomerId::value).orElse("-")),
        Field.of("target", target),
        Field.of("result", refusal.isPresent() ? "refused" : "queued"),
        Field.of(
            "reason", refusal.map(r -> r.reason().name().toLowerCase()).orElse("no_free_slot")),
        Field.of("outcome", refusal.map(r -> r.outcome().label()).orElse("-")),
        Field.of("queued_requests", queuedRequests));
  }
}
