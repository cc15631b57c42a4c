package org.limpetdoor.core.request;

import org.limpetdoor.core.id.AttemptId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * Adapter loads that were triggered by attempts of this instance and are still in progress.
 *
 * @param inFlight attempts that wait for their engine to load an adapter, with their upstreams
 * @param blocked upstreams with requests queued until an adapter load ends
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
