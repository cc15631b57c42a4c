package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.FleetRole;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The role of this instance in the exchange of messages, and the peers it exchanges them with.
 *
 * @param role role of this instance
 * @param hub hub that a spoke exchanges messages with; empty for a hub, or while none is reachable
 * @param hubs hubs that a hub exchanges messages with; empty for a spoke
 * @param sent last digest sent to each peer
 */
record FleetView(
    FleetRole role,
    Optional<InstanceId> hub,
    PSet<InstanceId> hubs,
    PMap<InstanceId, LoadDigest> sent) {
  /** View of an instance that has not read the list of instances. */
  static final FleetView ALONE =
      new FleetView(FleetRole.HUB, Optional.empty(), HashTreePSet.empty(), HashTreePMap.empty());

  /** Returns a copy with the given role and peers. */
  FleetView withPeers(FleetRole newRole, Optional<InstanceId> newHub, PSet<InstanceId> newHubs) {
    return new FleetView(newRole, newHub, newHubs, sent);
  }

  FleetView withSent(PMap<InstanceId, LoadDigest> value) {
    return new FleetView(role, hub, hubs, value);
  }

  boolean isHub() {
    return role == FleetRole.HUB;
  }

  boolean isOwnHub(InstanceId peer) {
    return hub.filter(peer::equals).isPresent();
  }
}
