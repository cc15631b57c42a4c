package org.limpetdoor.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.id.InstanceId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The other instances and the links to them, as seen by this instance.
 *
 * @param members listed instances that are not leaving
 * @param leaving listed instances that have announced their shutdown to this one
 * @param neighbours peers that this instance opens links to
 * @param links links to peers, whichever side opened them
 * @param layout hubs of the fleet
 */
public record Membership(
    PMap<InstanceId, Member> members,
    PSet<InstanceId> leaving,
    List<InstanceId> neighbours,
    PMap<InstanceId, PeerLink> links,
    FleetLayout layout) {
  /** A membership without other instances. */
  public static final Membership EMPTY =
      new Membership(
          HashTreePMap.empty(),
          HashTreePSet.empty(),
          List.of(),
          HashTreePMap.empty(),
          FleetLayout.EMPTY);

  /** Copies the neighbours. */
  public Membership {
    neighbours = List.copyOf(neighbours);
  }

  /**
   * A listed instance that is not leaving.
   *
   * @param entry its entry in the list
   * @param listedSinceMs time at which it was first listed, in monotonic milliseconds
   */
  public record Member(ListedInstance entry, long listedSinceMs) {}

  /**
   * Returns the live instances, including this one, in order of precedence for taking over a
   * subject. Instances that have read the same list compute the same order without exchanging
   * messages.
   */
  public List<InstanceId> ranked(InstanceId self, String subject) {
    List<InstanceId> ids = new ArrayList<>(members.keySet());
    if (!members.containsKey(self)) {
      ids.add(self);
    }
    Comparator<InstanceId> byHashWeight =
        Comparator.comparingLong(id -> Shards.weight(subject, id.value()));
    ids.sort(byHashWeight.reversed().thenComparing(InstanceId::value));
    return ids;
  }

  /** Returns the peers with an established link. */
  public List<InstanceId> linked() {
    return links.entrySet().stream()
        .filter(entry -> entry.getValue().established())
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Returns the link to a peer. */
  public PeerLink link(InstanceId peer) {
    return links.getOrDefault(peer, PeerLink.NONE);
  }

  /** Returns a copy with the given link to a peer. */
  public Membership withLink(InstanceId peer, PeerLink link) {
    return new Membership(members, leaving, neighbours, links.plus(peer, link), layout);
  }

  Membership withLeaving(InstanceId peer) {
    return new Membership(members.minus(peer), leaving.plus(peer), neighbours, links, layout);
  }
}
