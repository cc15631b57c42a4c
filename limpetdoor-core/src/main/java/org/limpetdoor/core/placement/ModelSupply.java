package org.limpetdoor.core.placement;

import java.util.Set;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.decision.PlanBasis;
import org.limpetdoor.core.id.ZoneId;

/**
 * Replicas of a model, compared with its minimum and its demand.
 *
 * @param model the model
 * @param serving number of confirmed replicas
 * @param loading number of replicas that are ordered and not confirmed
 * @param unavailable number of replicas, serving or loading, at engines that are out of service
 * @param zones zones of the available replicas, at most two
 * @param slots slots of one replica, taken from the first engine
 * @param trend trend of the demand
 */
record ModelSupply(
    Model model,
    int serving,
    int loading,
    int unavailable,
    Set<ZoneId> zones,
    int slots,
    DemandTrend trend) {
  /** Fraction of the slots above which another replica is loaded. */
  static final double HIGH_LOAD = 0.8;

  /**
   * Fraction of the remaining slots below which a replica is surplus. It is far below {@link
   * #HIGH_LOAD}, so that replicas are not loaded and unloaded alternately.
   */
  static final double LOW_LOAD = 0.4;

  ModelSupply {
    zones = Set.copyOf(zones);
  }

  int available() {
    return serving + loading - unavailable;
  }

  /**
   * Returns the number of replicas missing for the minimum. A missing second zone counts as one
   * replica.
   */
  int belowMinimum() {
    int missing = Math.max(0, model.minReplicas() - available());
    boolean oneZone = model.minReplicas() > 1 && zones.size() < 2;
    return oneZone ? Math.max(1, missing) : missing;
  }

  /** Returns the number of replicas missing for the projected demand. */
  int belowDemand() {
    int required = (int) Math.ceil(trend.projected() / (HIGH_LOAD * slots));
    return available() < 1 ? 0 : Math.max(0, required - available());
  }

  /** Returns whether a new replica must be in a different zone from the others. */
  boolean needsOtherZone() {
    return model.minReplicas() > 1 && zones.size() == 1 && available() + 1 >= model.minReplicas();
  }

  /** Returns whether the available confirmed replicas suffice without one of them. */
  boolean hasSurplus() {
    int remaining = serving - unavailable - 1;
    return remaining >= model.minReplicas() && trend.peak() <= LOW_LOAD * slots * remaining;
  }

  PlanBasis basis(long freeMib) {
    return new PlanBasis(
        serving,
        loading,
        unavailable,
        model.minReplicas(),
        trend.projected(),
        (int) Math.ceil(trend.peak()),
        freeMib);
  }
}
