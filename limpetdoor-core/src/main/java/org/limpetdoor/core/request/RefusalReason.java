package org.limpetdoor.core.request;

/** Reasons for refusing a request, each with the HTTP status of the response to the caller. */
public enum RefusalReason {
  /** The key belongs to no contract. */
  UNKNOWN_KEY(401),
  /** The configuration has no such model. */
  UNKNOWN_MODEL(404),
  /** The configuration has no such adapter for the model. */
  UNKNOWN_ADAPTER(404),
  /** The configuration has no such plain service. */
  UNKNOWN_SERVICE(404),
  /** The customer sends requests or tokens faster than its contract allows. */
  RATE_EXCEEDED(429),
  /** The instance has no share of the contract limits at present; another instance may have one. */
  NO_LIMIT_SHARE(503),
  /** The customer's queue has reached the limit of its contract. */
  QUEUE_FULL(429),
  /** The request cannot start within the customer's objective. */
  CANNOT_START_IN_TIME(503),
  /** The request was still queued when its objective passed. */
  DEADLINE_PASSED(503),
  /** No back end that could run the request is in service. */
  NO_BACKEND(503),
  /** The instance is shutting down and accepts no new requests. */
  SHUTTING_DOWN(503),
  /** The instance ended before the back end had answered. */
  INTERRUPTED_BY_SHUTDOWN(502),
  /** The request has crashed engines before and is refused for a time. */
  CRASH_SUSPECT(422),
  /** A call with an idempotency key needs the log service, which cannot be reached. */
  LOG_UNAVAILABLE(503),
  /** A call with the same idempotency key has been dispatched before. */
  ALREADY_CLAIMED(409),
  /** The instance could not build or encode the request for any back end. */
  REQUEST_NOT_SENT(500),
  /** The control thread has failed, and the instance is about to exit. */
  CONTROL_FAILED(503),
  /** Every back end that was tried failed. */
  BACKEND_FAILED(502),
  /** The back end stopped answering. */
  BACKEND_TIMEOUT(504);

  private final int httpStatus;

  RefusalReason(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /** Returns the HTTP status code. */
  public int httpStatus() {
    return httpStatus;
  }
}
