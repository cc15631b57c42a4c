package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/** Something that the traffic side saw, or a time that has come. */
public sealed interface Event
    permits AppendAnswered,
        AppendFailed,
        AttemptCompleted,
        AttemptFailed,
        AttemptStarted,
        BackendLeaving,
        BackendReported,
        CallAbandoned,
        CallArrived,
        CallerDisconnected,
        DemandReported,
        DrainRequested,
        DutyAnswered,
        EngineInspected,
        EngineOrderEnded,
        EnginePaceChanged,
        EnginesRead,
        ForwardEnded,
        ForwardSilent,
        ForwardStarted,
        GatewaySettingsRead,
        GatewayStarted,
        InstanceStarted,
        InstancesListed,
        InventoryReported,
        OrderAnswered,
        PeerLinkDown,
        PeerLinkUp,
        PeerMessageReceived,
        RecordsRead,
        RequestArrived,
        RoutesRead,
        StoreContactChanged,
        TimerFired {
  /** Returns when it happened, in monotonic milliseconds of this instance. */
  long atMs();

  /** Returns the kind, which knows how the event is reduced. */
  EventKind kind();
}
