package org.limpetdoor.core.effect;

/** An effect that concerns forwarded calls, their engines or the placement duty. */
public sealed interface GatewayEffect extends Effect
    permits AbandonForward,
        BreakOffCall,
        ForwardCall,
        GiveEngineOrder,
        InspectEngine,
        JoinDuty,
        LeaveDuty,
        PassAnswer,
        ReplyToCall,
        UseCallerLimits {
  @Override
  default void applyTo(EffectHandler handler) {
    handler.gateway(this);
  }

  /** Passes this effect to the matching method of a handler. */
  void applyTo(GatewayEffectHandler handler);
}
