package org.limpetdoor.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.id.InstanceId;

/** Chooses the peers to which an instance opens links; their number is bounded in large fleets. */
final class Neighbours {
  /** Number of links that an instance opens in a fleet too large for a full mesh. */
  static final int LARGE_FLEET_LINKS = 6;

  /**
   * Largest number of instances at which each one links to all others, so that any two exchange
   * messages directly. It includes replaced instances, which stay listed for a while.
   */
  static final int FULL_MESH_MAX_INSTANCES = 100;

  private static final Comparator<ListedInstance> BY_NAME =
      Comparator.comparing(entry -> entry.id().value());

  private Neighbours() {}

  /**
   * Returns the ring neighbours in the zone, then those in the region, then other members by hash.
   * The rings connect all members; the links by hash shorten paths between distant members.
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
    long maxLinks =
        members.size() <= FULL_MESH_MAX_INSTANCES ? FULL_MESH_MAX_INSTANCES : LARGE_FLEET_LINKS;
    return chosen.stream().limit(maxLinks).toList();
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
    Comparator<ListedInstance> byHashWeight =
        Comparator.comparingLong(entry -> Shards.weight(self.id().value(), entry.id().value()));
    return members.stream().sorted(byHashWeight.reversed().thenComparing(BY_NAME)).toList();
  }
}
