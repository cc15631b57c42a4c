package org.limpetdoor.core.membership;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.Membership.Member;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;

/** Reduces updates of the instance list. */
public final class MembershipEvents {
  private MembershipEvents() {}

  /** Replaces the members by the instances of a new list. */
  public static Transition<NodeState, Effect> listed(NodeState state, InstancesListed event) {
    PMap<InstanceId, Member> members = HashTreePMap.empty();
    for (ListedInstance entry : event.instances()) {
      Member previous = state.membership().members().get(entry.id());
      long listedSinceMs = previous == null ? state.nowMs() : previous.listedSinceMs();
      boolean leaving = entry.leaving() || state.membership().leaving().contains(entry.id());
      members = leaving ? members : members.plus(entry.id(), new Member(entry, listedSinceMs));
    }
    Set<InstanceId> listed =
        event.instances().stream().map(ListedInstance::id).collect(Collectors.toSet());
    return Transition.of(state.withMembership(updated(state, members, listed)));
  }

  private static Membership updated(
      NodeState state, PMap<InstanceId, Member> members, Set<InstanceId> listed) {
    Membership previous = state.membership();
    List<ListedInstance> entries = members.values().stream().map(Member::entry).toList();
    ListedInstance self = ownEntry(state, members);
    List<InstanceId> neighbours = Neighbours.choose(self, entries);
    PMap<InstanceId, PeerLink> links = previous.links();
    for (InstanceId peer : previous.links().keySet()) {
      boolean retained = listed.contains(peer) || previous.link(peer).established();
      links = retained ? links : links.minus(peer);
    }
    List<InstanceId> stillListed = previous.leaving().stream().filter(listed::contains).toList();
    return new Membership(
        members, HashTreePSet.from(stillListed), neighbours, links, FleetLayout.of(self, entries));
  }

  /** Returns the entry of this instance. Its region is empty until the instance is listed. */
  private static ListedInstance ownEntry(NodeState state, PMap<InstanceId, Member> members) {
    Member own = members.get(state.self().id());
    return own == null
        ? new ListedInstance(state.self().id(), "", state.self().zone(), "", false)
        : own.entry();
  }
}
