package org.limpetdoor.core.gateway;

import java.util.Collection;
import java.util.Map;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.limits.AccountUsage;
import org.limpetdoor.core.limits.AccountUsage.ReceivedReport;
import org.limpetdoor.core.membership.DigestScope;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The last digests of the peers and the sum of their calls in flight. The sum is kept up to date by
 * differences, so that the choice of an engine does not depend on the number of peers.
 *
 * @param byPeer last digest of each peer whose instances are counted
 * @param inFlight sum of the calls in flight at each engine over these digests
 */
record PeerLoads(PMap<InstanceId, ReceivedDigest> byPeer, PMap<BackendId, Integer> inFlight) {
  static final PeerLoads NONE = new PeerLoads(HashTreePMap.empty(), HashTreePMap.empty());

  PeerLoads with(InstanceId peer, ReceivedDigest digest) {
    return new PeerLoads(
        byPeer.plus(peer, digest),
        plusDifference(inFlight, inFlightOf(peer), digest.digest().inFlight()));
  }

  PeerLoads without(InstanceId peer) {
    return new PeerLoads(
        byPeer.minus(peer), plusDifference(inFlight, inFlightOf(peer), HashTreePMap.empty()));
  }

  /** Returns a copy without the digests that are outdated. */
  PeerLoads withoutOutdated(long nowMs) {
    PeerLoads result = this;
    for (Map.Entry<InstanceId, ReceivedDigest> entry : byPeer.entrySet()) {
      result = entry.getValue().isRecent(nowMs) ? result : result.without(entry.getKey());
    }
    return result;
  }

  /** Replaces the reports of use in the sums of the accounts by those of these digests. */
  AccountUsage applyTo(AccountUsage usage, long nowMs) {
    AccountUsage result = usage;
    for (InstanceId peer : usage.reports().keySet()) {
      result = byPeer.containsKey(peer) ? result : result.withoutReport(peer, nowMs);
    }
    for (Map.Entry<InstanceId, ReceivedDigest> entry : byPeer.entrySet()) {
      ReceivedReport known = usage.reports().get(entry.getKey());
      ReceivedReport next = entry.getValue().useReport();
      boolean reportsUse = known != null || next.report().instances() > 0;
      if (reportsUse && !next.equals(known)) {
        result = result.withReport(entry.getKey(), next, nowMs);
      }
    }
    return result;
  }

  /** Returns the calls of all peers at an engine. */
  int inFlight(BackendId engine) {
    return inFlight.getOrDefault(engine, 0);
  }

  /** Returns the longest time between stream events that a peer reported, or 0. */
  long gapMs(BackendId engine) {
    long longest = 0;
    for (ReceivedDigest peer : byPeer.values()) {
      longest = Math.max(longest, peer.digest().gapsMs().getOrDefault(engine, 0));
    }
    return longest;
  }

  Collection<InstanceId> names() {
    return byPeer.keySet();
  }

  boolean hasRecent(InstanceId peer, long nowMs) {
    ReceivedDigest last = byPeer.get(peer);
    return last != null && last.isRecent(nowMs);
  }

  /** Returns whether a peer is a spoke that chose this instance as its hub. */
  boolean isSpoke(InstanceId peer) {
    return hasScope(peer, DigestScope.INSTANCE);
  }

  /** Returns whether a peer is a hub that exchanges digests with this one. */
  boolean isHub(InstanceId peer) {
    return hasScope(peer, DigestScope.GROUP);
  }

  boolean hasSpokes() {
    return byPeer.keySet().stream().anyMatch(this::isSpoke);
  }

  private boolean hasScope(InstanceId peer, DigestScope scope) {
    ReceivedDigest last = byPeer.get(peer);
    return last != null && last.digest().scope() == scope;
  }

  private PMap<BackendId, Integer> inFlightOf(InstanceId peer) {
    ReceivedDigest last = byPeer.get(peer);
    return last == null ? HashTreePMap.empty() : last.digest().inFlight();
  }

  /** Returns the sum after a peer's part of it has changed. */
  static PMap<BackendId, Integer> plusDifference(
      PMap<BackendId, Integer> sum,
      PMap<BackendId, Integer> previous,
      PMap<BackendId, Integer> next) {
    PMap<BackendId, Integer> result = sum;
    for (Map.Entry<BackendId, Integer> entry : next.entrySet()) {
      int difference = entry.getValue() - previous.getOrDefault(entry.getKey(), 0);
      result = difference == 0 ? result : plus(result, entry.getKey(), difference);
    }
    for (Map.Entry<BackendId, Integer> entry : previous.entrySet()) {
      boolean dropped = !next.containsKey(entry.getKey());
      result = dropped ? plus(result, entry.getKey(), -entry.getValue()) : result;
    }
    return result;
  }

  private static PMap<BackendId, Integer> plus(
      PMap<BackendId, Integer> sum, BackendId engine, int difference) {
    int value = sum.getOrDefault(engine, 0) + difference;
    return value == 0 ? sum.minus(engine) : sum.plus(engine, value);
  }
}
