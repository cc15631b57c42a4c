package org.limpetdoor.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.decision.PlacementReason;

/**
 * A model that lacks replicas.
 *
 * @param supply its replicas
 * @param missing number of replicas that it lacks, at least 1
 * @param reason reason for a load
 */
record Shortage(ModelSupply supply, int missing, PlacementReason reason) {
  /** Time after which twice as many shards may act, in milliseconds. */
  private static final long WIDENING_INTERVAL_MS = 1_000;

  /** Number of doublings after which all shards of {@link Shards#COUNT} may act. */
  private static final int MAX_DOUBLINGS = 6;

  /**
   * Time after which a missing replica may be loaded in the same zone as the others, in
   * milliseconds.
   */
  private static final long OTHER_ZONE_WAIT_MS = 30_000;

  /** Returns all shortages: models without a replica first, then minimums, then demand. */
  static List<Shortage> all(PlacementView view) {
    List<Shortage> result = new ArrayList<>();
    for (Model model : view.state().configuration().models().values()) {
      ModelSupply supply = view.supplyOf(model);
      if (supply.belowMinimum() > 0) {
        result.add(new Shortage(supply, supply.belowMinimum(), PlacementReason.BELOW_MINIMUM));
      } else if (supply.belowDemand() > 0) {
        result.add(new Shortage(supply, supply.belowDemand(), PlacementReason.DEMAND));
      }
    }
    Comparator<Shortage> order =
        Comparator.comparing((Shortage s) -> s.supply().available() > 0)
            .thenComparing(Shortage::reason)
            .thenComparing(s -> -s.missing())
            .thenComparing(s -> s.supply().model().id());
    result.sort(order);
    return result;
  }

  /**
   * Returns whether a shard may act. All holders find the same shortage at the same time, so only
   * as many shards as replicas are missing act first. Others follow only if these could not place
   * the replicas.
   *
   * @param position position of the shard among the shards with engines
   * @param shards number of shards with engines
   * @param ageMs time since the shortage was found, in milliseconds
   */
  boolean mayAct(int position, int shards, long ageMs) {
    int firstPosition =
        (int) Long.remainderUnsigned(Shards.hash(supply.model().id().value()), shards);
    int distance = Math.floorMod(position - firstPosition, shards);
    long width = (long) missing << Math.min(ageMs / WIDENING_INTERVAL_MS, MAX_DOUBLINGS);
    return distance < width;
  }

  /**
   * Returns whether a new replica must be in a different zone from the others when the shortage has
   * the given age, in milliseconds.
   */
  boolean requiresOtherZone(long ageMs) {
    boolean tooFew = supply.available() < supply.model().minReplicas();
    return supply.needsOtherZone() && !(tooFew && ageMs >= OTHER_ZONE_WAIT_MS);
  }
}
