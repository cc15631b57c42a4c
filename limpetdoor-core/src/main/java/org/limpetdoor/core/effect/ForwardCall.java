package org.limpetdoor.core.effect;

import org.limpetdoor.core.gateway.account.Authentication;
import org.limpetdoor.core.id.BackendId;

/**
 * Sends a call to an engine.
 *
 * @param call number of the call
 * @param attempt number of the attempt, from 1
 * @param engine intended engine; a different engine at the same address refuses the call
 * @param engineStartedAtMs known start of the engine, in Unix milliseconds
 * @param address address as {@code ip:port}
 * @param timeLeftMs time until the response must be complete, in milliseconds
 * @param deadlineAtMs time at which the caller leaves, in monotonic milliseconds; nothing is sent
 *     from then on
 * @param priority priority at the engine, at least 0; 0 is the most urgent
 * @param streamed whether the response is relayed event by event
 * @param atMostOnce whether the call must not use a pooled connection that the engine may be
 *     closing
 * @param firstByteTimeoutMs longest silence before the response, in milliseconds; 0 means no limit
 * @param gapTimeoutMs longest silence within the response, in milliseconds; 0 means no limit
 * @param caller authentication of the caller, from which engines learn the account
 */
public record ForwardCall(
    long call,
    int attempt,
    BackendId engine,
    long engineStartedAtMs,
    String address,
    long timeLeftMs,
    long deadlineAtMs,
    int priority,
    boolean streamed,
    boolean atMostOnce,
    long firstByteTimeoutMs,
    long gapTimeoutMs,
    Authentication caller)
    implements GatewayEffect {
  /** Returns a copy with the time that is left at a later time, in monotonic milliseconds. */
  public ForwardCall at(long nowMs) {
    return new ForwardCall(
        call,
        attempt,
        engine,
        engineStartedAtMs,
        address,
        deadlineAtMs - nowMs,
        deadlineAtMs,
        priority,
        streamed,
        atMostOnce,
        firstByteTimeoutMs,
        gapTimeoutMs,
        caller);
  }

  @Override
  public void applyTo(GatewayEffectHandler handler) {
    handler.forwardCall(this);
  }
}
