package org.limpetdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** The operator interface of one instance. All calls are idempotent. */
interface OperatorService {
  /**
   * Returns the state of the instance.
   *
   * @param timeoutMs maximum wait for the complete response, in milliseconds, at least 1
   * @throws InstanceException if the instance does not respond, or its response is malformed
   */
  JsonNode status(long timeoutMs);

  /**
   * Returns the decisions about a request that the instance still has, oldest first.
   *
   * @throws InstanceException as for {@link #status}, or if the instance has no such decisions
   */
  JsonNode explain(String requestId);

  /**
   * Starts a graceful shutdown.
   *
   * @throws InstanceException as for {@link #status}
   */
  void drain();
}
