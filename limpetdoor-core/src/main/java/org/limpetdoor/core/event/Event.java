package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/** An event reported by the traffic threads, or a timer event. */
public sealed interface Event
    permits AppendAnswered,
        AppendFailed,
        AttemptCompleted,
        AttemptFailed,
        AttemptStarted,
        BackendLeaving,
        BackendLoadReported,
        CallArrived,
        CallCancelled,
        CallerConnectionClosed,
        CallerDisconnected,
        DemandReported,
        DrainRequested,
        DutyAnswered,
        EngineInspected,
        EngineNoticeReceived,
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
        StoreEraObserved,
        StoreContactChanged,
        SuspensionSuspected,
        TimerFired {
  /** Returns the time of the event, in monotonic milliseconds of this instance. */
  long atMs();

  /** Returns the kind, which determines how the event is reduced. */
  EventKind kind();
}
