package org.limpetdoor.bench.experiment;

import java.util.List;
import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.QueueLimit;
import org.limpetdoor.core.config.ShedOrder;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.scenario.ScenarioKeys;

/** Customers of both sites, with their contracts. */
enum Customer {
  /** Has a guaranteed share and a constant rate during a crest. */
  GUARANTEED_A(0.15, 700, 0.2, 4, ShedOrder.LAST),
  /** Like {@link #GUARANTEED_A}, with a longer objective. */
  GUARANTEED_B(0.15, 1_000, 0.2, 4, ShedOrder.LAST),
  /** Has no guaranteed share, and its rate rises during a crest. */
  RETAIL(0.5, 1_000, 0, 2, ShedOrder.NORMAL),
  /** Has a rate that rises during a crest, and is refused first. */
  BATCH(0.2, 1_500, 0, 1, ShedOrder.FIRST);

  /** Far above every arrival rate, so that capacity is the limit and not the contract. */
  private static final int UNLIMITED = 100_000_000;

  private static final double GUARANTEED_LOAD_FRACTION = 0.3;

  final double loadFraction;
  final int objectiveMs;
  final double guaranteedShare;
  private final int weight;
  private final ShedOrder shedOrder;

  Customer(
      double loadFraction,
      int objectiveMs,
      double guaranteedShare,
      int weight,
      ShedOrder shedOrder) {
    this.loadFraction = loadFraction;
    this.objectiveMs = objectiveMs;
    this.guaranteedShare = guaranteedShare;
    this.weight = weight;
    this.shedOrder = shedOrder;
  }

  /** Returns the factor on the rate of this customer that raises the total rate by a factor. */
  double rateFactor(double totalFactor) {
    return guaranteedShare > 0
        ? 1
        : (totalFactor - GUARANTEED_LOAD_FRACTION) / (1 - GUARANTEED_LOAD_FRACTION);
  }

  String id() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }

  Contract contract() {
    CustomerId customer = new CustomerId(id());
    return new Contract(
        customer,
        List.of(ScenarioKeys.digest(customer)),
        new ArrivalLimit(UNLIMITED, UNLIMITED, UNLIMITED, UNLIMITED),
        new QueueLimit(10_000, UNLIMITED),
        objectiveMs,
        guaranteedShare,
        weight,
        shedOrder);
  }
}
