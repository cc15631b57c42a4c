package org.limpetdoor.core.decision;

import java.util.List;
import org.limpetdoor.core.id.InstanceId;

/**
 * Start of a graceful shutdown: the instance refuses new requests from then on.
 *
 * @param instance the instance
 * @param openRequests number of accepted requests that have not ended
 * @param drainTimeoutMs time after which the instance stops even with open requests, in
 *     milliseconds
 */
public record DrainDecision(InstanceId instance, int openRequests, long drainTimeoutMs)
    implements Decision {
  @Override
  public DecisionKind kind() {
    return DecisionKind.DRAIN;
  }

  @Override
  public String subject() {
    return instance.value();
  }

  @Override
  public List<Field> fields() {
    return List.of(
        Field.of("open_requests", openRequests), Field.of("drain_timeout_ms", drainTimeoutMs));
  }
}
