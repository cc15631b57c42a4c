package org.limpetdoor.core.decision;

import java.util.List;
import java.util.Locale;
import org.limpetdoor.core.id.CustomerId;

/**
 * Says that requests of a customer wait for too long on this instance.
 *
 * @param customer the customer
 * @param cause what raised the alarm
 * @param oldestAgeMs age of the oldest waiting request, in milliseconds
 * @param objectiveMs the customer's objective, in milliseconds, or 0 if it has no contract any more
 * @param queuedRequests waiting requests of the customer
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
    /** A request still waited when its objective passed. */
    OBJECTIVE_EXCEEDED,
    /** The age of the oldest waiting request has risen at several checks in a row. */
    KEEPS_RISING;

    /** Returns the word used in log lines and metrics. */
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
