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
        CallerDisconnected,
        DemandReported,
        DrainRequested,
        InstanceStarted,
        InstancesListed,
        InventoryReported,
        OrderAnswered,
        PeerLinkDown,
        PeerLinkUp,
        PeerMessageReceived,
        RecordsRead,
        RequestArrived,
        TimerFired {
  /** Returns when it happened, in monotonic milliseconds of this instance. */
  long atMs();

  /** Returns the kind, which knows how the event is reduced. */
  EventKind kind();
}
