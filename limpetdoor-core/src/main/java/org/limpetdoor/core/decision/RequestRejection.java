package org.limpetdoor.core.decision;

import java.util.Locale;

/**
 * Reasons for which an instance refuses a request while it receives it. Nothing has been passed on,
 * so the request has not run and never will.
 */
public enum RequestRejection {
  /** The head, a chunk or a trailer is not valid. */
  MALFORMED(400, 0),
  /** The caller sent nothing for too long in the middle of the request. */
  RECEIVE_TIMEOUT(408, 0),
  /** The body is longer than the limits allow. */
  BODY_TOO_LONG(413, 0),
  /** The head is longer than the limits allow. */
  HEAD_TOO_LONG(431, 0),
  /** There is no memory for more of the request. */
  NO_MEMORY(503, 1_000);

  private final int status;
  private final long retryAfterMs;

  RequestRejection(int status, long retryAfterMs) {
    this.status = status;
    this.retryAfterMs = retryAfterMs;
  }

  /** Returns the HTTP status of the response. */
  public int status() {
    return status;
  }

  /** Returns the time after which the caller may retry, in milliseconds; 0 if not stated. */
  public long retryAfterMs() {
    return retryAfterMs;
  }

  /** Returns the name for log lines, metrics and problem documents. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
