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

/** Reduces what is learnt about other instances. */
public final class MembershipEvents {
  private MembershipEvents() {}

  /** Follows the list of instances. */
  public static Transition<NodeState, Effect> listed(NodeState state, InstancesListed event) {
    PMap<InstanceId, Member> members = HashTreePMap.empty();
    for (ListedInstance entry : event.instances()) {
      Member known = state.membership().members().get(entry.id());
      long sinceMs = known == null ? state.nowMs() : known.sinceMs();
      boolean gone = entry.leaving() || state.membership().leaving().contains(entry.id());
      members = gone ? members : members.plus(entry.id(), new Member(entry, sinceMs));
    }
    Set<InstanceId> listed =
        event.instances().stream().map(ListedInstance::id).collect(Collectors.toSet());
    return Transition.of(state.withMembership(follow(state, members, listed)));
  }

  private static Membership follow(
      NodeState state, PMap<InstanceId, Member> members, Set<InstanceId> listed) {
    Membership before = state.membership();
    List<ListedInstance> entries = members.values().stream().map(Member::entry).toList();
    List<InstanceId> neighbours = Neighbours.choose(self(state, members), entries);
    PMap<InstanceId, PeerLink> links = before.links();
    for (InstanceId peer : before.links().keySet()) {
      boolean kept = listed.contains(peer) || before.link(peer).established();
      links = kept ? links : links.minus(peer);
    }
    List<InstanceId> left = before.leaving().stream().filter(listed::contains).toList();
    return new Membership(members, HashTreePSet.from(left), neighbours, links);
  }

  /** The own entry; an instance that is not listed yet does not know its region. */
  private static ListedInstance self(NodeState state, PMap<InstanceId, Member> members) {
    Member own = members.get(state.self().id());
    return own == null
        ? new ListedInstance(state.self().id(), "", state.self().zone(), "", false)
        : own.entry();
  }
}
