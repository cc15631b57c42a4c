package org.limpetdoor.core;

import org.limpetdoor.core.agreed.AgreedEvents;
import org.limpetdoor.core.agreed.OutboxEvents;
import org.limpetdoor.core.backend.BackendEvents;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.AppendAnswered;
import org.limpetdoor.core.event.AppendFailed;
import org.limpetdoor.core.event.AttemptCompleted;
import org.limpetdoor.core.event.AttemptFailed;
import org.limpetdoor.core.event.AttemptStarted;
import org.limpetdoor.core.event.BackendLeaving;
import org.limpetdoor.core.event.BackendLoadReported;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.CallCancelled;
import org.limpetdoor.core.event.CallerConnectionClosed;
import org.limpetdoor.core.event.CallerDisconnected;
import org.limpetdoor.core.event.DemandReported;
import org.limpetdoor.core.event.DrainRequested;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.event.EngineInspected;
import org.limpetdoor.core.event.EngineNoticeReceived;
import org.limpetdoor.core.event.EngineOrderEnded;
import org.limpetdoor.core.event.EnginePaceChanged;
import org.limpetdoor.core.event.EnginesRead;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardSilent;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.event.GatewaySettingsRead;
import org.limpetdoor.core.event.GatewayStarted;
import org.limpetdoor.core.event.InstanceStarted;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.event.InventoryReported;
import org.limpetdoor.core.event.OrderAnswered;
import org.limpetdoor.core.event.PeerLinkDown;
import org.limpetdoor.core.event.PeerLinkUp;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.event.RequestArrived;
import org.limpetdoor.core.event.RoutesRead;
import org.limpetdoor.core.event.StoreContactChanged;
import org.limpetdoor.core.event.StoreEraObserved;
import org.limpetdoor.core.event.SuspensionSuspected;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.gateway.CallEvents;
import org.limpetdoor.core.gateway.DutyEvents;
import org.limpetdoor.core.gateway.EngineNoticeEvents;
import org.limpetdoor.core.gateway.EngineOrders;
import org.limpetdoor.core.gateway.EraEvents;
import org.limpetdoor.core.gateway.FactsEvents;
import org.limpetdoor.core.gateway.GatewayTick;
import org.limpetdoor.core.gateway.StoreEvents;
import org.limpetdoor.core.membership.PeerEvents;
import org.limpetdoor.core.placement.DemandEvents;
import org.limpetdoor.core.placement.OrderEvents;
import org.limpetdoor.core.request.RequestEvents;

/** Kinds of events, each with the function that reduces it. */
public enum EventKind {
  /** {@link RequestArrived}. */
  REQUEST_ARRIVED(RequestArrived.class, RequestEvents::arrived),
  /** {@link AttemptStarted}. */
  ATTEMPT_STARTED(AttemptStarted.class, RequestEvents::started),
  /** {@link AttemptCompleted}. */
  ATTEMPT_COMPLETED(AttemptCompleted.class, RequestEvents::completed),
  /** {@link AttemptFailed}. */
  ATTEMPT_FAILED(AttemptFailed.class, RequestEvents::failed),
  /** {@link CallerDisconnected}. */
  CALLER_DISCONNECTED(CallerDisconnected.class, RequestEvents::callerDisconnected),
  /** {@link BackendLoadReported}. */
  BACKEND_LOAD_REPORTED(BackendLoadReported.class, BackendEvents::loadReported),
  /** {@link BackendLeaving}. */
  BACKEND_LEAVING(BackendLeaving.class, BackendEvents::leaving),
  /** {@link RecordsRead}. */
  RECORDS_READ(RecordsRead.class, AgreedEvents::recordsRead),
  /** {@link DrainRequested}. */
  DRAIN_REQUESTED(DrainRequested.class, DrainEvents::requested),
  /** {@link InstanceStarted}. */
  INSTANCE_STARTED(InstanceStarted.class, ControlTick::started),
  /** {@link AppendAnswered}. */
  APPEND_ANSWERED(AppendAnswered.class, OutboxEvents::answered),
  /** {@link AppendFailed}. */
  APPEND_FAILED(AppendFailed.class, OutboxEvents::failed),
  /** {@link InstancesListed}. */
  INSTANCES_LISTED(InstancesListed.class, FactsEvents::instancesListed),
  /** {@link PeerLinkUp}. */
  PEER_LINK_UP(PeerLinkUp.class, PeerEvents::linkUp),
  /** {@link PeerLinkDown}. */
  PEER_LINK_DOWN(PeerLinkDown.class, PeerEvents::linkDown),
  /** {@link PeerMessageReceived}. */
  PEER_MESSAGE_RECEIVED(PeerMessageReceived.class, PeerEvents::received),
  /** {@link OrderAnswered}. */
  ORDER_ANSWERED(OrderAnswered.class, OrderEvents::answered),
  /** {@link InventoryReported}. */
  INVENTORY_REPORTED(InventoryReported.class, OrderEvents::inventoryReported),
  /** {@link DemandReported}. */
  DEMAND_REPORTED(DemandReported.class, DemandEvents::reported),
  /** {@link GatewayStarted}. */
  GATEWAY_STARTED(GatewayStarted.class, GatewayTick::started),
  /** {@link GatewaySettingsRead}. */
  GATEWAY_SETTINGS_READ(GatewaySettingsRead.class, GatewayTick::settingsRead),
  /** {@link CallArrived}. */
  CALL_ARRIVED(CallArrived.class, CallEvents::arrived),
  /** {@link CallerConnectionClosed}. */
  CALLER_CONNECTION_CLOSED(CallerConnectionClosed.class, CallEvents::connectionClosed),
  /** {@link CallCancelled}. */
  CALL_CANCELLED(CallCancelled.class, CallEvents::cancelled),
  /** {@link ForwardStarted}. */
  FORWARD_STARTED(ForwardStarted.class, CallEvents::started),
  /** {@link ForwardSilent}. */
  FORWARD_SILENT(ForwardSilent.class, CallEvents::silent),
  /** {@link ForwardEnded}. */
  FORWARD_ENDED(ForwardEnded.class, CallEvents::ended),
  /** {@link EnginePaceChanged}. */
  ENGINE_PACE_CHANGED(EnginePaceChanged.class, CallEvents::paceChanged),
  /** {@link EngineNoticeReceived}. */
  ENGINE_NOTICE_RECEIVED(EngineNoticeReceived.class, EngineNoticeEvents::received),
  /** {@link RoutesRead}. */
  ROUTES_READ(RoutesRead.class, StoreEvents::routesRead),
  /** {@link EnginesRead}. */
  ENGINES_READ(EnginesRead.class, StoreEvents::enginesRead),
  /** {@link StoreContactChanged}. */
  STORE_CONTACT_CHANGED(StoreContactChanged.class, StoreEvents::contactChanged),
  /** {@link StoreEraObserved}. */
  STORE_ERA_OBSERVED(StoreEraObserved.class, EraEvents::observed),
  /** {@link SuspensionSuspected}. */
  SUSPENSION_SUSPECTED(SuspensionSuspected.class, DutyEvents::suspensionSuspected),
  /** {@link DutyAnswered}. */
  DUTY_ANSWERED(DutyAnswered.class, DutyEvents::answered),
  /** {@link EngineOrderEnded}. */
  ENGINE_ORDER_ENDED(EngineOrderEnded.class, EngineOrders::ended),
  /** {@link EngineInspected}. */
  ENGINE_INSPECTED(EngineInspected.class, EngineOrders::inspected),
  /** {@link TimerFired}. */
  TIMER_FIRED(TimerFired.class, TimerEvents::fired);

  private final Handler<Event> handler;

  <E extends Event> EventKind(Class<E> type, Handler<E> handler) {
    this.handler = (state, event) -> handler.reduce(state, type.cast(event));
  }

  Transition<NodeState, Effect> reduce(NodeState state, Event event) {
    return handler.reduce(state, event);
  }

  private interface Handler<E extends Event> {
    Transition<NodeState, Effect> reduce(NodeState state, E event);
  }
}
