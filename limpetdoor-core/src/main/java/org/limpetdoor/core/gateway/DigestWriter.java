package org.limpetdoor.core.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.limits.UseReport;
import org.limpetdoor.core.membership.DigestScope;
import org.limpetdoor.core.membership.PeerMessage.DigestTimes;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.StoreFacts;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Writes the digests of one round. What all receivers of a scope get is computed once.
 *
 * @param node state of the instance
 * @param group load of this instance and its spokes
 * @param fleet load of all instances, which only spokes receive
 */
record DigestWriter(NodeState node, Load group, Load fleet) {
  /**
   * An engine is reported as slow if its time between events of a stream is at least this multiple
   * of the mean over all engines.
   */
  private static final double SLOW_FACTOR = 1.4;

  /**
   * Load of some instances.
   *
   * @param inFlight calls in flight at each engine
   * @param gapsMs time between the events of a stream at each slow engine, in milliseconds
   * @param adaptersInUse adapters with calls in flight
   * @param use use of the accounts that have a limit
   */
  private record Load(
      PMap<BackendId, Integer> inFlight,
      PMap<BackendId, Integer> gapsMs,
      PSet<ModelKey> adaptersInUse,
      UseReport use) {
    Load plus(LoadDigest digest) {
      PMap<BackendId, Integer> longest = gapsMs;
      for (Map.Entry<BackendId, Integer> entry : digest.gapsMs().entrySet()) {
        int gapMs = Math.max(entry.getValue(), longest.getOrDefault(entry.getKey(), 0));
        longest = longest.plus(entry.getKey(), gapMs);
      }
      return new Load(
          PeerLoads.plusDifference(inFlight, HashTreePMap.empty(), digest.inFlight()),
          longest,
          adaptersInUse.plusAll(digest.adaptersInUse()),
          use.plus(digest.use()));
    }
  }

  static DigestWriter of(NodeState node) {
    GatewayState state = node.gateway();
    Load group =
        new Load(
            ownInFlight(state),
            slowEngineGapsMs(node),
            state.adaptersInUse(),
            state.usage().ownReport(node.nowMs()));
    for (ReceivedDigest peer : state.peers().byPeer().values()) {
      group = peer.digest().scope() == DigestScope.INSTANCE ? group.plus(peer.digest()) : group;
    }
    return new DigestWriter(node, group, state.peers().hasSpokes() ? fleet(node, group) : group);
  }

  private static Load fleet(NodeState node, Load group) {
    PeerLoads peers = node.gateway().peers();
    Load fleet = group;
    for (ReceivedDigest peer : peers.byPeer().values()) {
      fleet = peer.digest().scope() == DigestScope.GROUP ? fleet.plus(peer.digest()) : fleet;
    }
    return fleet;
  }

  /** Returns the digest for a peer. */
  LoadDigest write(InstanceId receiver, DigestScope scope) {
    GatewayState state = node.gateway();
    ReceivedDigest last = state.peers().byPeer().get(receiver);
    long echoedAtMs = last == null ? 0 : last.digest().times().sentAtMs();
    Load load = scope == DigestScope.FLEET ? fleetWithout(receiver) : group;
    boolean upwards = scope != DigestScope.FLEET;
    return new LoadDigest(
        scope,
        new DigestTimes(node.nowMs(), echoedAtMs),
        facts(state),
        upwards && DutyEvents.maySendOrders(node) ? state.duty().fencingNumber() : 0,
        load.inFlight(),
        load.gapsMs(),
        load.adaptersInUse(),
        upwards ? state.arrivals() : HashTreePMap.empty(),
        load.use(),
        crashReports(state, receiver));
  }

  /** Returns the evidence of crashes since the last digest to a peer, or all for a new peer. */
  private List<CrashReport> crashReports(GatewayState state, InstanceId receiver) {
    LoadDigest previous = state.fleet().sent().get(receiver);
    long sinceMs = previous == null ? Long.MIN_VALUE : previous.times().sentAtMs();
    return state.crashRecords().reportsSince(sinceMs, node.nowMs());
  }

  /** A spoke counts its own calls itself, so they are not part of what its hub sends. */
  private Load fleetWithout(InstanceId spoke) {
    LoadDigest ofSpoke = node.gateway().peers().byPeer().get(spoke).digest();
    PMap<BackendId, Integer> others =
        PeerLoads.plusDifference(fleet.inFlight(), ofSpoke.inFlight(), HashTreePMap.empty());
    return new Load(others, fleet.gapsMs(), HashTreePSet.empty(), fleet.use().minus(ofSpoke.use()));
  }

  private StoreFacts facts(GatewayState state) {
    return new StoreFacts(
        state.version(),
        state.store().changedPosition(),
        state.store().reachable() && state.store().followed(),
        state.factsAgeMs(node.nowMs()));
  }

  private static PMap<BackendId, Integer> ownInFlight(GatewayState state) {
    PMap<BackendId, Integer> counts = HashTreePMap.empty();
    for (EngineState engine : state.engines().byId().values()) {
      if (engine.load().inFlight() > 0) {
        counts = counts.plus(engine.entry().id(), engine.load().inFlight());
      }
    }
    return counts;
  }

  /**
   * Returns the time between events of a stream for each slow engine, in milliseconds. Peers
   * without a stream to such an engine have no measurement of their own.
   */
  private static PMap<BackendId, Integer> slowEngineGapsMs(NodeState node) {
    Map<BackendId, Integer> gapsMs = new HashMap<>();
    for (EngineState engine : node.gateway().engines().byId().values()) {
      int gapMs = (int) engine.pace().gapMs(node.nowMs());
      if (gapMs > 0) {
        gapsMs.put(engine.entry().id(), gapMs);
      }
    }
    double meanMs = gapsMs.values().stream().mapToInt(Integer::intValue).average().orElse(0);
    gapsMs.values().removeIf(gapMs -> gapMs < meanMs * SLOW_FACTOR);
    return HashTreePMap.from(gapsMs);
  }
}
