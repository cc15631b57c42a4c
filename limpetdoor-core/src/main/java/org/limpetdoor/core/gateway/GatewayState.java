package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.limits.AccountUsage;
import org.limpetdoor.core.request.RetryBudget;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.pcollections.TreePSet;

/**
 * State of calls that are forwarded by route, and of the placement of models.
 *
 * @param settings limits and timeouts of the deployment
 * @param table configuration in force
 * @param engines listed engines
 * @param callTable open calls
 * @param budgets retry budget of each service
 * @param peers last digests of the peers and the sum of their calls
 * @param crashRecords engines lost while they ran a request, by fingerprint of the request
 * @param duty the placement duty
 * @param placement demand and orders as recorded by the holder of the placement duty
 * @param arrivals number of calls for each model since the last digest, including those of spokes
 * @param store what is known of the store and the age of its contents
 * @param fleet role of this instance in the exchange of messages
 * @param usage use of the accounts that have a limit, by this instance and the others
 * @param acceptsUntilMs time at which a graceful shutdown stops accepting calls, in monotonic
 *     milliseconds
 */
public record GatewayState(
    GatewaySettings settings,
    Optional<RouteTable> table,
    EngineTable engines,
    CallTable callTable,
    PMap<String, RetryBudget> budgets,
    PeerLoads peers,
    CrashRecords crashRecords,
    Duty duty,
    Placement placement,
    PMap<ModelKey, Integer> arrivals,
    StoreView store,
    FleetView fleet,
    AccountUsage usage,
    long acceptsUntilMs) {
  /** State of an instance that has just started. */
  public static final GatewayState INITIAL =
      new GatewayState(
          GatewaySettings.NONE,
          Optional.empty(),
          EngineTable.EMPTY,
          CallTable.EMPTY,
          HashTreePMap.empty(),
          PeerLoads.NONE,
          CrashRecords.EMPTY,
          Duty.NONE,
          Placement.EMPTY,
          HashTreePMap.empty(),
          StoreView.INITIAL,
          FleetView.ALONE,
          AccountUsage.NONE,
          Timed.NEVER_MS);

  /** Returns whether callers may be sent to this instance, which requires a configuration. */
  public boolean ready() {
    return table.isPresent();
  }

  /** Returns whether a graceful shutdown may end the process now. */
  public boolean mayStop(long nowMs) {
    return table.isEmpty() || (calls().isEmpty() && nowMs >= acceptsUntilMs);
  }

  /** Returns the number of open calls. */
  public int openCalls() {
    return calls().size();
  }

  /** Returns the number of listed engines, including those that are leaving. */
  public int engineCount() {
    return engines.byId().size();
  }

  /** Returns whether this instance holds the placement duty. */
  public boolean holdsDuty() {
    return duty.held();
  }

  /** Returns whether the store answers this instance, or the hub that reads it. */
  public boolean storeReachable() {
    return store.reachable();
  }

  /** Returns the latest known era of the store. */
  public long storeEra() {
    return store.era();
  }

  /** Returns whether other instances exchange messages through this one. */
  public boolean isHub() {
    return fleet.isHub();
  }

  /** Returns the age of the routes and the list of engines, in milliseconds. */
  public long factsAgeMs(long nowMs) {
    return Math.max(0, nowMs - store.factsAsOfMs());
  }

  /** Returns how long the oldest waiting call has waited, in milliseconds; 0 if none waits. */
  public long oldestWaitMs(long nowMs) {
    return callTable.oldestWaitMs(nowMs);
  }

  /** Returns the number of calls that wait for an engine. */
  public int waitingCalls() {
    return callTable.waiting().size();
  }

  /** Returns the version of the configuration in force, or -1. */
  public long version() {
    return table.map(RouteTable::version).orElse(-1L);
  }

  PMap<Long, Call> calls() {
    return callTable.open();
  }

  TreePSet<Long> waiting() {
    return callTable.waiting();
  }

  /** Returns whether a peer has sent a digest recently. */
  boolean hasRecentDigest(InstanceId peer, long nowMs) {
    return peers.hasRecent(peer, nowMs);
  }

  /** Returns the adapters that have calls in flight. */
  PSet<ModelKey> adaptersInUse() {
    PSet<ModelKey> used = HashTreePSet.empty();
    for (Call call : calls().values()) {
      Optional<ModelKey> key =
          call.activeAttempt().isPresent() ? call.spec().model() : Optional.empty();
      used = key.flatMap(ModelKey::adapter).isPresent() ? used.plus(key.get()) : used;
    }
    return used;
  }

  GatewayState withCall(Call call) {
    return withCallTable(callTable.with(call));
  }

  GatewayState withoutCall(long id) {
    return withCallTable(callTable.without(id));
  }

  GatewayState withBudget(String service, RetryBudget budget) {
    return withBudgets(budgets.plus(service, budget));
  }

  GatewayState withTable(RouteTable value) {
    return withTable(Optional.of(value));
  }

  /** Returns a copy that accepts calls until the given time. */
  public GatewayState withAcceptsUntilMs(long value) {
    return new GatewayState(
        settings,
        table,
        engines,
        callTable,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        store,
        fleet,
        usage,
        value);
  }

  GatewayState withSettings(GatewaySettings value) {
    return new GatewayState(
        value,
        table,
        engines,
        callTable,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        store,
        fleet,
        usage,
        acceptsUntilMs);
  }

  private GatewayState withTable(Optional<RouteTable> value) {
    return new GatewayState(
        settings,
        value,
        engines,
        callTable,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        store,
        fleet,
        usage,
        acceptsUntilMs);
  }

  GatewayState withEngines(EngineTable value) {
    return new GatewayState(
        settings,
        table,
        value,
        callTable,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        store,
        fleet,
        usage,
        acceptsUntilMs);
  }

  GatewayState withCallTable(CallTable value) {
    return new GatewayState(
        settings,
        table,
        engines,
        value,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        store,
        fleet,
        usage,
        acceptsUntilMs);
  }

  GatewayState withBudgets(PMap<String, RetryBudget> value) {
    return new GatewayState(
        settings,
        table,
        engines,
        callTable,
        value,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        store,
        fleet,
        usage,
        acceptsUntilMs);
  }

  /** Returns a copy with other digests of the peers, whose reports of use count from now on. */
  GatewayState withPeers(PeerLoads value, long nowMs) {
    return new GatewayState(
        settings,
        table,
        engines,
        callTable,
        budgets,
        value,
        crashRecords,
        duty,
        placement,
        arrivals,
        store,
        fleet,
        value.applyTo(usage, nowMs),
        acceptsUntilMs);
  }

  GatewayState withCrashRecords(CrashRecords value) {
    return new GatewayState(
        settings,
        table,
        engines,
        callTable,
        budgets,
        peers,
        value,
        duty,
        placement,
        arrivals,
        store,
        fleet,
        usage,
        acceptsUntilMs);
  }

  GatewayState withDuty(Duty value) {
    return new GatewayState(
        settings,
        table,
        engines,
        callTable,
        budgets,
        peers,
        crashRecords,
        value,
        placement,
        arrivals,
        store,
        fleet,
        usage,
        acceptsUntilMs);
  }

  GatewayState withPlacement(Placement value) {
    return new GatewayState(
        settings,
        table,
        engines,
        callTable,
        budgets,
        peers,
        crashRecords,
        duty,
        value,
        arrivals,
        store,
        fleet,
        usage,
        acceptsUntilMs);
  }

  GatewayState withArrivals(PMap<ModelKey, Integer> value) {
    return new GatewayState(
        settings,
        table,
        engines,
        callTable,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        value,
        store,
        fleet,
        usage,
        acceptsUntilMs);
  }

  GatewayState withStore(StoreView value) {
    return new GatewayState(
        settings,
        table,
        engines,
        callTable,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        value,
        fleet,
        usage,
        acceptsUntilMs);
  }

  GatewayState withFleet(FleetView value) {
    return new GatewayState(
        settings,
        table,
        engines,
        callTable,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        store,
        value,
        usage,
        acceptsUntilMs);
  }

  GatewayState withUsage(AccountUsage value) {
    return new GatewayState(
        settings,
        table,
        engines,
        callTable,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        store,
        fleet,
        value,
        acceptsUntilMs);
  }
}
