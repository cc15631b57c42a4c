package org.limpetdoor.core.effect;

/**
 * Executes effects that concern forwarded calls. Methods return without blocking; results are
 * delivered as events.
 */
public interface GatewayEffectHandler {
  /** Sends a call to an engine. Results in {@code ForwardEnded}. */
  void forwardCall(ForwardCall effect);

  /** Cancels an attempt and closes its connection. No further events of it are delivered. */
  void abandonForward(AbandonForward effect);

  /** Relays the stored error response of an engine to the caller. */
  void passAnswer(PassAnswer effect);

  /** Answers a caller that has not received any part of an answer. */
  void replyToCall(ReplyToCall effect);

  /** Closes the connection of a caller that has received part of an answer. */
  void breakOffCall(BreakOffCall effect);

  /**
   * Requests the placement duty from the store or renews it. Results in {@code DutyAnswered}, or in
   * no event if the store does not answer.
   */
  void joinDuty(JoinDuty effect);

  /** Releases the placement duty at the store. */
  void leaveDuty(LeaveDuty effect);

  /** Sends an order to an engine without retries. Results in {@code EngineOrderEnded}. */
  void giveEngineOrder(GiveEngineOrder effect);

  /** Requests the loaded models and adapters of an engine. Results in {@code EngineInspected}. */
  void inspectEngine(InspectEngine effect);

  /** Applies the limits of callers from now on. */
  void useCallerLimits(UseCallerLimits effect);
}
