package org.limpetdoor.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.id.InstanceId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * What this instance knows of the others.
 *
 * @param members instances of the list, without those that are leaving
 * @param leaving instances that told that they are leaving while the list still has them
 * @param neighbours peers that this instance opens links to
 * @param links links to peers, opened by either side
 */
public record Membership(
    PMap<InstanceId, Member> members,
    PSet<InstanceId> leaving,
    List<InstanceId> neighbours,
    PMap<InstanceId, PeerLink> links) {
  /** Knows of no other instance. */
  public static final Membership EMPTY =
      new Membership(HashTreePMap.empty(), HashTreePSet.empty(), List.of(), HashTreePMap.empty());

  /** Copies the neighbours. */
  public Membership {
    neighbours = List.copyOf(neighbours);
  }

  /**
   * A member.
   *
   * @param entry its entry in the list
   * @param sinceMs when it was first listed
   */
  public record Member(ListedInstance entry, long sinceMs) {}

  /**
   * Returns the live instances, this one included, in the order in which they are to take a subject
   * over. Instances with the same list agree on it without a message.
   */
  public List<InstanceId> ranked(InstanceId self, String subject) {
    List<InstanceId> ids = new ArrayList<>(members.keySet());
    if (!members.containsKey(self)) {
      ids.add(self);
    }
    Comparator<InstanceId> byWeight =
        Comparator.comparingLong(id -> Shards.weight(subject, id.value()));
    ids.sort(byWeight.reversed().thenComparing(InstanceId::value));
    return ids;
  }

  /** Returns the link to a peer. */
  public PeerLink link(InstanceId peer) {
    return links.getOrDefault(peer, PeerLink.NONE);
  }

  Membership withLink(InstanceId peer, PeerLink link) {
    return new Membership(members, leaving, neighbours, links.plus(peer, link));
  }

  Membership withLeaving(InstanceId peer) {
    return new Membership(members.minus(peer), leaving.plus(peer), neighbours, links);
  }
}
