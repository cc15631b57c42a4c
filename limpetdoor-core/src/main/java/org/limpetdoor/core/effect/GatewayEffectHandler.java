package org.limpetdoor.core.effect;

/**
 * Executes effects that concern forwarded calls. Methods return without blocking; results are
 * delivered as events.
 */
public interface GatewayEffectHandler {
  /** Sends a call to an engine. Results in {@code ForwardEnded}. */
  void forwardCall(ForwardCall effect);

  /** Cancels an attempt and closes its connection. No further events of it are delivered. */
  void cancelForward(CancelForward effect);

  /** Relays the stored error response of an engine to the caller. */
  void relayErrorResponse(RelayErrorResponse effect);

  /** Answers a caller that has not received any part of a response. */
  void replyToCall(ReplyToCall effect);

  /** Closes the connection of a caller that has received part of a response. */
  void abortCall(AbortCall effect);

  /**
   * Requests the placement duty from the store or renews it. Results in {@code DutyAnswered}, or in
   * no event if the store does not answer.
   */
  void requestDuty(RequestDuty effect);

  /** Releases the placement duty at the store. */
  void releaseDuty(ReleaseDuty effect);

  /** Sends an order to an engine without retries. Results in {@code EngineOrderEnded}. */
  void sendEngineOrder(SendEngineOrder effect);

  /** Requests the loaded models and adapters of an engine. Results in {@code EngineInspected}. */
  void inspectEngine(InspectEngine effect);

  /** Applies the limits of callers from now on. */
  void applyCallerLimits(ApplyCallerLimits effect);

  /** Starts or stops following the topics of the store. */
  void followStore(FollowStore effect);

  /** Ignores what the store stated in earlier eras, and writes the instance's entry again. */
  void adoptStoreEra(AdoptStoreEra effect);
}
