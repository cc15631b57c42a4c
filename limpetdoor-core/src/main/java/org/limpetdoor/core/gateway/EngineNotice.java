package org.limpetdoor.core.gateway;

/**
 * What an engine states about itself in the head of a response, whatever the response is to.
 *
 * @param leaving whether the engine is shutting down
 * @param retryAfterMs time for which the engine accepts no requests of this instance, in
 *     milliseconds; 0 if not stated
 */
public record EngineNotice(boolean leaving, long retryAfterMs) {
  /** The notice of a response that states nothing. */
  public static final EngineNotice NONE = new EngineNotice(false, 0);

  /** Checks the time. */
  public EngineNotice {
    if (retryAfterMs < 0) {
      throw new IllegalArgumentException("retryAfterMs is negative: " + retryAfterMs);
    }
  }

  /** Returns a copy without the time for which the engine accepts no requests. */
  public EngineNotice withoutRetryAfter() {
    return new EngineNotice(leaving, 0);
  }
}
