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
 * State of calls that are forwarded by route.
 *
 * @param settings bounds of the deployment
 * @param table configuration in force
 * @param engines engines of the list
 * @param calls open calls by number
 * @param waiting calls that wait for an engine
 * @param budgets retry budget of each service
 * @param peers what peers told, by name
 * @param suspects calls that lost engines, by fingerprint
 * @param duty the placement duty
 * @param placement what the holder of the duty knows and has ordered
 * @param arrivals calls for each model since the last digest
 * @param storeReachable whether the store answers
 * @param storeBackAtMs when it last came back, in monotonic milliseconds
 * @param acceptsUntilMs when a graceful shutdown ends arrivals
 */
public record GatewayState(
    GatewaySettings settings,
    Optional<RouteTable> table,
    EngineTable engines,
    PMap<Long, Call> calls,
    TreePSet<Long> waiting,
    PMap<String, RetryBudget> budgets,
    PMap<InstanceId, ReceivedDigest> peers,
    CrashRecords suspects,
    Duty duty,
    Placement placement,
    PMap<ModelKey, Integer> arrivals,
    boolean storeReachable,
    long storeBackAtMs,
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

  /** Returns whether callers should be sent here: a configuration and engines are known. */
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
        suspects,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
        value);
  }

  /** Returns the number of open calls. */
  public int openCalls() {
    return calls.size();
  }

  /** Returns the number of engines that are listed, the leaving ones included. */
  public int engineCount() {
    return engines.byId().size();
  }

  /** Returns whether the store dealt the placement duty to this instance. */
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

  /** Returns whether a peer has sent a digest lately. */
  boolean heard(InstanceId peer, long nowMs) {
    ReceivedDigest load = peers.get(peer);
    return load != null && load.isRecent(nowMs);
  }

  /** Returns the adapters of which calls are in flight. */
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
        suspects,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
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
        suspects,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
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
        suspects,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
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
        suspects,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
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
        suspects,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
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
        suspects,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
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
        suspects,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
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
        suspects,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
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
        suspects,
        duty,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
        acceptsUntilMs);
  }

  GatewayState withSuspects(CrashRecords value) {
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
        storeBackAtMs,
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
        suspects,
        value,
        placement,
        arrivals,
        storeReachable,
        storeBackAtMs,
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
        suspects,
        duty,
        value,
        arrivals,
        storeReachable,
        storeBackAtMs,
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
        suspects,
        duty,
        placement,
        value,
        storeReachable,
        storeBackAtMs,
        acceptsUntilMs);
  }

  GatewayState withStoreContact(boolean reachable, long backAtMs) {
    return new GatewayState(
        settings,
        table,
        engines,
        calls,
        waiting,
        budgets,
        peers,
        suspects,
        duty,
        placement,
        arrivals,
        reachable,
        backAtMs,
        acceptsUntilMs);
  }
}
