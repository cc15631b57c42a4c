package org.limpetdoor.core.effect;

/**
 * Something that the reducer asks the traffic side to do. Effects are data; carrying them out is
 * not decided here.
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
  /** Hands this effect to the matching method of a handler. */
  void applyTo(EffectHandler handler);
}
