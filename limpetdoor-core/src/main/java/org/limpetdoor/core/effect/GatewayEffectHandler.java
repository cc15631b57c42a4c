package org.limpetdoor.core.effect;

/** Carries out effects of forwarded calls. Methods return at once; results come back as events. */
public interface GatewayEffectHandler {
  /** Sends a call to an engine. Ends in {@code ForwardEnded}. */
  void forwardCall(ForwardCall effect);

  /** Ends an attempt and closes its connection; nothing is reported of it any more. */
  void abandonForward(AbandonForward effect);

  /** Passes on the failure that an engine answered and that was kept. */
  void passAnswer(PassAnswer effect);

  /** Answers a caller that has nothing of an answer yet. */
  void replyToCall(ReplyToCall effect);

  /** Closes the connection of a caller that has part of an answer. */
  void breakOffCall(BreakOffCall effect);

  /**
   * Asks the store for the placement duty, or keeps it. Ends in {@code DutyAnswered} or nothing.
   */
  void joinDuty(JoinDuty effect);

  /** Gives the placement duty back to the store. */
  void leaveDuty(LeaveDuty effect);

  /** Sends an order to an engine, once. Ends in {@code EngineOrderEnded}. */
  void giveEngineOrder(GiveEngineOrder effect);

  /** Asks an engine what it holds. Ends in {@code EngineInspected}. */
  void inspectEngine(InspectEngine effect);

  /** Applies limits to callers from now on. */
  void useCallerLimits(UseCallerLimits effect);
}
