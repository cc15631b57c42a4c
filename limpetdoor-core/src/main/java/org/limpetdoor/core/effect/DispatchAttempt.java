package org.limpetdoor.core.effect;

import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.BackendId;

/**
 * Sends a request to a back end.
 *
 * @param attempt the attempt
 * @param backend the back end
 * @param address its address as {@code ip:port}
 * @param enginePriority priority at the engine, at least 0; 0 is served first
 * @param resumeAtToken number of tokens that the caller has already received
 * @param firstByteTimeoutMs longest time until the first byte of the response, in milliseconds
 */
public record DispatchAttempt(
    AttemptId attempt,
    BackendId backend,
    String address,
    int enginePriority,
    int resumeAtToken,
    long firstByteTimeoutMs)
    implements Effect {
  @Override
  public void applyTo(EffectHandler handler) {
    handler.dispatchAttempt(this);
  }
}
