package org.limpetdoor.core.decision;

import java.util.List;
import java.util.Locale;
import org.limpetdoor.core.id.CustomerId;

/**
 * Alarm that requests of a customer have waited too long on this instance.
 *
 * @param customer the customer
 * @param cause condition that raised the alarm
 * @param oldestAgeMs age of the oldest waiting request, in milliseconds
 * @param objectiveMs the customer's first-token objective, in milliseconds, or 0 if it no longer
 *     has a contract
 * @param queuedRequests number of waiting requests of the customer
 * @param queuedTokens predicted work of these requests, in tokens
 */
public record QueueAgeAlarm(
    CustomerId customer,
    Cause cause,
    long oldestAgeMs,
    int objectiveMs,
    int queuedRequests,
    long queuedTokens)
    implements Decision {
  /** Causes of the alarm. */
  public enum Cause {
    /** A request was still waiting at its objective. */
    OBJECTIVE_EXCEEDED,
    /** The age of the oldest waiting request has increased at several consecutive checks. */
    KEEPS_RISING;

    /** Returns the value used in log lines and metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  @Override
  public DecisionKind kind() {
    return DecisionKind.QUEUE_AGE_ALARM;
  }

  @Override
  public String subject() {
    return customer.value();
  }

  @Override
  public List<Field> fields() {
    return List.of(
        Field.of("cause", cause.label()),
        Field.of("oldest_age_ms", oldestAgeMs),
        Field.of("objective_ms", objectiveMs),
        Field.of("queued_requests", queuedRequests),
        Field.of("queued_tokens", queuedTokens));
  }
}
