package org.limpetdoor.core.decision;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.Refusal;

/**
 * Decision to queue or refuse a request.
 *
 * @param request the request
 * @param customer the customer, or empty if the caller's key is unknown
 * @param target label of the model or service
 * @param queuedRequests number of requests of the customer that wait on this instance
 * @param refusal reason and outcome of the refusal, or empty if the request was queued
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
