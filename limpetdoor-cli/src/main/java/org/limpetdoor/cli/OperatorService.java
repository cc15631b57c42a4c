package org.limpetdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;

/** The operator interface of one instance. Each call may be repeated without further effect. */
interface OperatorService {
  /**
   * Returns the state of the instance.
   *
   * @param timeoutMs longest wait for the whole answer, in milliseconds, at least 1
   * @throws InstanceException if the instance does not answer, or answers in another form
   */
  JsonNode status(long timeoutMs);

  /**
   * Returns the kept decisions about a request, oldest first.
   *
   * @throws InstanceException as {@link #status}, or if no decision about the request is kept
   */
  JsonNode explain(String requestId);

  /**
   * Starts a graceful shutdown.
   *
   * @throws InstanceException as {@link #status}
   */
  void drain();
}
