package org.limpetdoor.core.effect;

/** An effect that concerns forwarded calls, their engines or the placement duty. */
public sealed interface GatewayEffect extends Effect
    permits CancelForward,
        FollowStore,
        AbortCall,
        ForwardCall,
        SendEngineOrder,
        InspectEngine,
        RequestDuty,
        ReleaseDuty,
        RelayErrorResponse,
        ReplyToCall,
        AdoptStoreEra,
        ApplyCallerLimits {
  @Override
  default void applyTo(EffectHandler handler) {
    handler.executeGatewayEffect(this);
  }

  /** Passes this effect to the matching method of a handler. */
  void applyTo(GatewayEffectHandler handler);
}
