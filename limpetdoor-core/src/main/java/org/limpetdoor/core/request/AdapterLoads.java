package org.limpetdoor.core.request;

import org.limpetdoor.core.id.AttemptId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * Adapter loads that this instance has caused and that have not ended.
 *
 * @param inFlight attempts whose engine loads an adapter first, with the upstream of each
 * @param blocked upstreams with requests that wait for a load to end
 */
record AdapterLoads(PMap<AttemptId, UpstreamId> inFlight, TreePSet<UpstreamId> blocked) {
  static final AdapterLoads NONE = new AdapterLoads(HashTreePMap.empty(), TreePSet.empty());

  AdapterLoads withStarted(AttemptId attempt, UpstreamId upstream) {
    return new AdapterLoads(inFlight.plus(attempt, upstream), blocked);
  }

  AdapterLoads withEnded(AttemptId attempt) {
    return new AdapterLoads(inFlight.minus(attempt), TreePSet.empty());
  }

  AdapterLoads withBlocked(UpstreamId upstream) {
    return new AdapterLoads(inFlight, blocked.plus(upstream));
  }
}
