package org.limpetdoor.core.decision;

import java.util.List;
import java.util.stream.Collectors;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;

/**
 * Choice of the back end for an attempt.
 *
 * @param attempt the attempt
 * @param customer the customer
 * @param target label of the model or service
 * @param chosen the chosen back end
 * @param reason why it was chosen
 * @param passedOver the other candidates, each with the reason why it was not chosen
 * @param reportAgeMs age of the load report used, in milliseconds, or -1 if there was none
 */
public record RoutingDecision(
    AttemptId attempt,
    CustomerId customer,
    String target,
    BackendId chosen,
    RoutingReason reason,
    List<PassedOver> passedOver,
    long reportAgeMs)
    implements Decision {
  /** Copies the candidates. */
  public RoutingDecision {
    passedOver = List.copyOf(passedOver);
  }

  /**
   * A candidate that was not chosen.
   *
   * @param backend the back end
   * @param reason why it was not chosen
   */
  public record PassedOver(BackendId backend, PassOverReason reason) {
    @Override
    public String toString() {
      return backend + ":" + reason.label();
    }
  }

  @Override
  public DecisionKind kind() {
    return DecisionKind.ROUTE;
  }

  @Override
  public String subject() {
    return attempt.request().value();
  }

  @Override
  public List<Field> fields() {
    return List.of(
        Field.of("attempt", attempt.number()),
        Field.of("customer", customer),
        Field.of("target", target),
        Field.of("backend", chosen),
        Field.of("reason", reason.label()),
        Field.of(
            "passed_over",
            passedOver.stream().map(PassedOver::toString).collect(Collectors.joining(","))),
        Field.of("report_age_ms", reportAgeMs));
  }
}
