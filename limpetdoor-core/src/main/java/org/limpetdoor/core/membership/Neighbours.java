package org.limpetdoor.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.id.InstanceId;

/** Chooses the peers that an instance keeps links to; in a large fleet the number is fixed. */
final class Neighbours {
  /** Links that an instance opens. */
  static final int COUNT = 6;

  /**
   * Instances up to which each one links to all others, so that any two of them exchange messages
   * directly. Replaced instances stay listed for a while and count too.
   */
  static final int FULL_MESH = 100;

  private static final Comparator<ListedInstance> BY_NAME =
      Comparator.comparing(entry -> entry.id().value());

  private Neighbours() {}

  /**
   * Returns the ring neighbours in the zone, then those in the region, then others by hash. The
   * rings connect all members; links by hash shorten the paths between distant ones.
   */
  static List<InstanceId> choose(ListedInstance self, Collection<ListedInstance> members) {
    List<ListedInstance> zone =
        members.stream().filter(entry -> entry.zone().equals(self.zone())).toList();
    List<ListedInstance> region =
        members.stream().filter(entry -> entry.region().equals(self.region())).toList();
    Set<InstanceId> chosen = new LinkedHashSet<>();
    addRingNeighbours(chosen, self, zone);
    addRingNeighbours(chosen, self, region);
    byHash(self, members).forEach(entry -> chosen.add(entry.id()));
    chosen.remove(self.id());
    long count = members.size() <= FULL_MESH ? FULL_MESH : COUNT;
    return chosen.stream().limit(count).toList();
  }

  private static void addRingNeighbours(
      Set<InstanceId> chosen, ListedInstance self, List<ListedInstance> members) {
    List<ListedInstance> ring = new ArrayList<>(members);
    ring.removeIf(entry -> entry.id().equals(self.id()));
    if (ring.isEmpty()) {
      return;
    }
    ring.sort(BY_NAME);
    int next = (int) ring.stream().filter(entry -> BY_NAME.compare(entry, self) < 0).count();
    chosen.add(ring.get(next % ring.size()).id());
    chosen.add(ring.get((next + ring.size() - 1) % ring.size()).id());
  }

  private static List<ListedInstance> byHash(
      ListedInstance self, Collection<ListedInstance> members) {
    Comparator<ListedInstance> byWeight =
        Comparator.comparingLong(entry -> Shards.weight(self.id().value(), entry.id().value()));
    return members.stream().sorted(byWeight.reversed().thenComparing(BY_NAME)).toList();
  }
}
