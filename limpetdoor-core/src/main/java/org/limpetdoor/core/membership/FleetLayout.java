package org.limpetdoor.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The hubs of each zone, computed from the list of instances. In a small fleet every instance is a
 * hub, so any two exchange messages directly. In a larger one the first instances of each zone are
 * hubs, and the others exchange messages with one hub of their zone, so the number of messages of
 * an instance does not grow with the fleet.
 *
 * @param candidates instances of each zone in the order in which they become hubs
 * @param hubs instances that are hubs if all are reachable
 * @param preferred instances of the own zone in the order in which this instance chooses its hub
 * @param position number of instances with a lower identifier than this one
 */
public record FleetLayout(
    PMap<ZoneId, List<InstanceId>> candidates,
    PSet<InstanceId> hubs,
    List<InstanceId> preferred,
    int position) {
  /** Layout before the list of instances was read. */
  public static final FleetLayout EMPTY =
      new FleetLayout(HashTreePMap.empty(), HashTreePSet.empty(), List.of(), 0);

  /**
   * Largest number of instances at which each one is a hub. A full mesh of 16 exchanges as many
   * messages as 95 instances with hubs.
   */
  public static final int FULL_MESH_MAX_INSTANCES = 16;

  /** Size from which a zone has a second hub, so that the loss of one leaves the other. */
  private static final int TWO_HUBS_ZONE_SIZE = 8;

  /** Number of instances for each hub in a large zone. */
  private static final int ZONE_SIZE_PER_HUB = 16;

  private static final String HUB_SUBJECT = "hub";

  /** Copies the order of preference. */
  public FleetLayout {
    preferred = List.copyOf(preferred);
  }

  /** Returns the layout of a fleet as seen by one of its instances, which may not be listed yet. */
  static FleetLayout of(ListedInstance self, Collection<ListedInstance> members) {
    List<ListedInstance> all = new ArrayList<>(members);
    all.removeIf(member -> member.id().equals(self.id()));
    all.add(self);
    all.sort(
        Comparator.comparingDouble((ListedInstance member) -> -member.cores())
            .thenComparingLong(member -> Shards.weight(HUB_SUBJECT, member.id().value()))
            .thenComparing(member -> member.id().value()));
    PMap<ZoneId, List<InstanceId>> byZone = HashTreePMap.empty();
    for (ListedInstance member : all) {
      List<InstanceId> zone = new ArrayList<>(byZone.getOrDefault(member.zone(), List.of()));
      zone.add(member.id());
      byZone = byZone.plus(member.zone(), List.copyOf(zone));
    }
    Set<InstanceId> hubs = new LinkedHashSet<>();
    for (List<InstanceId> zone : byZone.values()) {
      hubs.addAll(zone.subList(0, hubCount(zone.size(), all.size())));
    }
    long preceding = all.stream().filter(member -> member.id().compareTo(self.id()) < 0).count();
    return new FleetLayout(
        byZone,
        HashTreePSet.from(hubs),
        preferred(self, byZone.get(self.zone()), all.size()),
        (int) preceding);
  }

  /** Returns the number of instances. */
  public int size() {
    return candidates.values().stream().mapToInt(List::size).sum();
  }

  /** Returns whether some instances exchange messages through hubs. */
  public boolean large() {
    return size() > FULL_MESH_MAX_INSTANCES;
  }

  /** Returns the number of hubs of a zone. */
  public int hubCount(ZoneId zone) {
    return hubCount(candidates.getOrDefault(zone, List.of()).size(), size());
  }

  private static int hubCount(int zoneSize, int fleetSize) {
    if (fleetSize <= FULL_MESH_MAX_INSTANCES) {
      return zoneSize;
    }
    if (zoneSize < TWO_HUBS_ZONE_SIZE) {
      return Math.min(1, zoneSize);
    }
    return Math.max(2, (zoneSize + ZONE_SIZE_PER_HUB - 1) / ZONE_SIZE_PER_HUB);
  }

  /**
   * Returns the candidates of a zone with the hubs in an order that differs between instances, so
   * that the hubs share the other instances evenly.
   */
  private static List<InstanceId> preferred(
      ListedInstance self, List<InstanceId> zone, int fleetSize) {
    int hubCount = hubCount(zone.size(), fleetSize);
    int first = (int) Long.remainderUnsigned(Shards.hash(self.id().value()), hubCount);
    List<InstanceId> result = new ArrayList<>();
    for (int i = 0; i < zone.size(); i++) {
      result.add(zone.get(i < hubCount ? (i + first) % hubCount : i));
    }
    return result;
  }
}
