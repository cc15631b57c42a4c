package org.limpetdoor.core.effect;

/**
 * An action that the reducer requests from the traffic threads. Effects are plain data; an {@link
 * EffectHandler} executes them.
 */
public sealed interface Effect
    permits AppendRecord,
        CancelAttempt,
        ChangePriority,
        ConnectPeer,
        DispatchAttempt,
        FinishRequest,
        GatewayEffect,
        RaiseQueueAgeAlarm,
        RecordDecision,
        RefuseRequest,
        RequestInventory,
        SendOrder,
        SendToPeer,
        StopInstance {
  /** Passes this effect to the matching method of a handler. */
  void applyTo(EffectHandler handler);
}
