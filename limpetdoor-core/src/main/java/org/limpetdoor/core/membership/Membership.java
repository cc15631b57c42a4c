package org.limpetdoor.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.id.InstanceId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What this instance knows of the others.
 *
 * @param members instances of the list, without those that are leaving
 */
public record Membership(PMap<InstanceId, Member> members) {
  /** Knows of no other instance. */
  public static final Membership EMPTY = new Membership(HashTreePMap.empty());

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
}
