package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.id.InstanceId;
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
 * @param calls open calls by number
 * @param waiting calls that wait for an engine
 * @param budgets retry budget of each service
 * @param peers last digest received from each peer, by name of the peer
 * @param crashRecords connections lost while engines ran a request, by fingerprint of the request
 * @param duty the placement duty
 * @param placement demand and orders as recorded by the holder of the placement duty
 * @param arrivals number of calls for each model since the last digest
 * @param storeReachable whether the store answers
 * @param storeRecoveredAtMs time at which the store last started answering, in monotonic
 *     milliseconds
 * @param acceptsUntilMs time at which a graceful shutdown stops accepting calls, in monotonic
 *     milliseconds
 */
public record GatewayState(
    GatewaySettings settings,
    Optional<RouteTable> table,
    EngineTable engines,
    PMap<Long, Call> calls,
    TreePSet<Long> waiting,
    PMap<String, RetryBudget> budgets,
    PMap<InstanceId, ReceivedDigest> peers,
    CrashRecords crashRecords,
    Duty duty,
    Placement placement,
    PMap<ModelKey, Integer> arrivals,
    boolean storeReachable,
    long storeRecoveredAtMs,
    long acceptsUntilMs) {
  /** State of an instance that has just started. */
  public static final GatewayState INITIAL =
      new GatewayState(
          GatewaySettings.NONE,
          Optional.empty(),
          EngineTable.EMPTY,
          HashTreePMap.empty(),
          TreePSet.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          CrashRecords.EMPTY,
          Duty.NONE,
          Placement.EMPTY,
          HashTreePMap.empty(),
          false,
          0,
          Timed.NEVER_MS);

  /** Returns whether callers may be sent to this instance, which requires a configuration. */
  public boolean ready() {
    return table.isPresent();
  }

  /** Returns whether a graceful shutdown may end the process now. */
  public boolean mayStop(long nowMs) {
    return table.isEmpty() || (calls.isEmpty() && nowMs >= acceptsUntilMs);
  }

  /** Returns a copy that accepts calls until the given time. */
  public GatewayState withAcceptsUntilMs(long value) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        waiting,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        value);
  }

  /** Returns the number of open calls. */
  public int openCalls() {
    return calls.size();
  }

  /** Returns the number of listed engines, including those that are leaving. */
  public int engineCount() {
    return engines.byId().size();
  }

  /** Returns whether this instance holds the placement duty. */
  public boolean holdsDuty() {
    return duty.held();
  }

  /** Returns how long the oldest waiting call has waited, in milliseconds; 0 if none waits. */
  public long oldestWaitMs(long nowMs) {
    return waiting.isEmpty() ? 0 : nowMs - calls.get(waiting.first()).arrivedAtMs();
  }

  /** Returns the version of the configuration in force, or -1. */
  public long version() {
    return table.map(RouteTable::version).orElse(-1L);
  }

  /** Returns whether a peer has sent a digest recently. */
  boolean hasRecentDigest(InstanceId peer, long nowMs) {
    ReceivedDigest last = peers.get(peer);
    return last != null && last.isRecent(nowMs);
  }

  /** Returns the adapters that have calls in flight. */
  PSet<ModelKey> adaptersInUse() {
    PSet<ModelKey> used = HashTreePSet.empty();
    for (Call call : calls.values()) {
      Optional<ModelKey> key =
          call.activeAttempt().isPresent() ? call.spec().model() : Optional.empty();
      used = key.flatMap(ModelKey::adapter).isPresent() ? used.plus(key.get()) : used;
    }
    return used;
  }

  GatewayState withSettings(GatewaySettings value) {
    return new GatewayState(
        value,
        table,
        engines,
        calls,
        waiting,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withTable(RouteTable value) {
    return new GatewayState(
        settings,
        Optional.of(value),
        engines,
        calls,
        waiting,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withEngines(EngineTable value) {
    return new GatewayState(
        settings,
        table,
        value,
        calls,
        waiting,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withCall(Call call) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls.plus(call.spec().id(), call),
        waiting,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withoutCall(long id) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls.minus(id),
        waiting.minus(id),
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withWaiting(TreePSet<Long> value) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        value,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withBudget(String service, RetryBudget budget) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        waiting,
        budgets.plus(service, budget),
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withBudgets(PMap<String, RetryBudget> value) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        waiting,
        value,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withPeers(PMap<InstanceId, ReceivedDigest> value) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        waiting,
        budgets,
        value,
        crashRecords,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withCrashRecords(CrashRecords value) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        waiting,
        budgets,
        peers,
        value,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withDuty(Duty value) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        waiting,
        budgets,
        peers,
        crashRecords,
        value,
        placement,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withPlacement(Placement value) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        waiting,
        budgets,
        peers,
        crashRecords,
        duty,
        value,
        arrivals,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withArrivals(PMap<ModelKey, Integer> value) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        waiting,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        value,
        storeReachable,
        storeRecoveredAtMs,
        acceptsUntilMs);
  }

  GatewayState withStoreContact(boolean reachable, long recoveredAtMs) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        waiting,
        budgets,
        peers,
        crashRecords,
        duty,
        placement,
        arrivals,
        reachable,
        recoveredAtMs,
        acceptsUntilMs);
  }
}
