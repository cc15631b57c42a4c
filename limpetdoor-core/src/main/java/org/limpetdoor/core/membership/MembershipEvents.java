package org.limpetdoor.core.membership;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.Membership.Member;
import org.pcollections.HashTreePMap;
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
      members = entry.leaving() ? members : members.plus(entry.id(), new Member(entry, sinceMs));
    }
    return Transition.of(state.withMembership(new Membership(members)));
  }
}
