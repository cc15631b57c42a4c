package org.limpetdoor.core;

import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.Coordination;
import org.limpetdoor.core.backend.BackendTable;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.gateway.GatewayState;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.limits.ShareTable;
import org.limpetdoor.core.membership.Membership;
import org.limpetdoor.core.request.RequestTable;

/**
 * The complete control state of one instance.
 *
 * @param self identity of the instance
 * @param nowMs time of the last event, in monotonic milliseconds
 * @param agreed state folded from the log, shared by all instances
 * @param backends status of back ends as seen by this instance
 * @param requests accepted requests that have not ended
 * @param timers pending timers
 * @param coordination local state of this instance for taking part in the agreement
 * @param membership the other instances and the links to them
 * @param limits share of the contract limits that this instance holds
 * @param gateway calls that are forwarded by route
 * @param drain phase of the graceful shutdown
 */
public record NodeState(
    Self self,
    long nowMs,
    AgreedState agreed,
    BackendTable backends,
    RequestTable requests,
    Timers timers,
    Coordination coordination,
    Membership membership,
    ShareTable limits,
    GatewayState gateway,
    DrainPhase drain)
    implements Timed {

  /**
   * Identity of an instance.
   *
   * @param id name of the instance
   * @param incarnation number that differs between starts of the same instance
   * @param zone zone that the instance runs in
   */
  public record Self(InstanceId id, long incarnation, ZoneId zone) {
    /** Returns the name under which this process appends to the log. */
    public String appender() {
      return id + ":" + incarnation;
    }
  }

  /** Returns the state of an instance that has just started. */
  public static NodeState initial(Self self) {
    return new NodeState(
        self,
        0,
        AgreedState.INITIAL,
        BackendTable.EMPTY,
        RequestTable.EMPTY,
        Timers.NONE,
        Coordination.INITIAL,
        Membership.EMPTY,
        ShareTable.INITIAL,
        GatewayState.INITIAL,
        DrainPhase.SERVING);
  }

  /** Returns the configuration in force. */
  public Configuration configuration() {
    return agreed.configuration();
  }

  /** Returns whether new requests are refused because the instance shuts down. */
  public boolean draining() {
    return drain.refusesArrivals();
  }

  @Override
  public long nextDeadlineMs() {
    return timers.nextDeadlineMs();
  }

  /** Returns a copy at the given time. An earlier time than that of the last event is ignored. */
  public NodeState withNowMs(long value) {
    return new NodeState(
        self,
        Math.max(nowMs, value),
        agreed,
        backends,
        requests,
        timers,
        coordination,
        membership,
        limits,
        gateway,
        drain);
  }

  /** Returns a copy with the given agreed state. */
  public NodeState withAgreed(AgreedState value) {
    return new NodeState(
        self,
        nowMs,
        value,
        backends,
        requests,
        timers,
        coordination,
        membership,
        limits,
        gateway,
        drain);
  }

  /** Returns a copy with the given back-end table. */
  public NodeState withBackends(BackendTable value) {
    return new NodeState(
        self,
        nowMs,
        agreed,
        value,
        requests,
        timers,
        coordination,
        membership,
        limits,
        gateway,
        drain);
  }

  /** Returns a copy with the given request table. */
  public NodeState withRequests(RequestTable value) {
    return new NodeState(
        self,
        nowMs,
        agreed,
        backends,
        value,
        timers,
        coordination,
        membership,
        limits,
        gateway,
        drain);
  }

  /** Returns a copy with the given timers. */
  public NodeState withTimers(Timers value) {
    return new NodeState(
        self,
        nowMs,
        agreed,
        backends,
        requests,
        value,
        coordination,
        membership,
        limits,
        gateway,
        drain);
  }

  /** Returns a copy with the given coordination state. */
  public NodeState withCoordination(Coordination value) {
    return new NodeState(
        self, nowMs, agreed, backends, requests, timers, value, membership, limits, gateway, drain);
  }

  /** Returns a copy with the given membership. */
  public NodeState withMembership(Membership value) {
    return new NodeState(
        self,
        nowMs,
        agreed,
        backends,
        requests,
        timers,
        coordination,
        value,
        limits,
        gateway,
        drain);
  }

  /** Returns a copy with the given share of the limits. */
  public NodeState withLimits(ShareTable value) {
    return new NodeState(
        self,
        nowMs,
        agreed,
        backends,
        requests,
        timers,
        coordination,
        membership,
        value,
        gateway,
        drain);
  }

  /** Returns a copy with the given state of forwarded calls. */
  public NodeState withGateway(GatewayState value) {
    return new NodeState(
        self,
        nowMs,
        agreed,
        backends,
        requests,
        timers,
        coordination,
        membership,
        limits,
        value,
        drain);
  }

  /** Returns a copy in the given phase of the graceful shutdown. */
  public NodeState withDrain(DrainPhase value) {
    return new NodeState(
        self,
        nowMs,
        agreed,
        backends,
        requests,
        timers,
        coordination,
        membership,
        limits,
        gateway,
        value);
  }
}
