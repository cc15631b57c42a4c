package org.limpetdoor.core.gateway;

import org.limpetdoor.core.request.RetryBudget;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Splits the retry budget of the deployment over its instances, without a message for each request:
 * each one adds the ratio of its own requests, and may save up its part of the fixed sum.
 */
final class Budgets {
  /** Instances assumed at least, as some may not be known yet or may have just been replaced. */
  private static final int MIN_INSTANCES = 8;

  /** Instances that may be added or restarted within one window, for each one that is known. */
  private static final double SPARE_FACTOR = 1.5;

  private Budgets() {}

  /**
   * Returns the budget at the start of a process. It has no savings, because the process before it
   * may have spent them in the same window.
   */
  static RetryBudget empty(GatewayState state) {
    return new RetryBudget(0, part(state), state.settings().retryRatio());
  }

  /** Returns the budgets after a change of the number of instances. */
  static GatewayState resize(GatewayState state, int instances) {
    PMap<String, RetryBudget> resized = HashTreePMap.empty();
    double part = part(state, instances);
    for (var entry : state.budgets().entrySet()) {
      resized = resized.plus(entry.getKey(), entry.getValue().withMaxAvailable(part));
    }
    return state.withBudgets(resized);
  }

  private static double part(GatewayState state) {
    return part(state, state.peers().size() + 1);
  }

  private static double part(GatewayState state, int instances) {
    return state.settings().retrySlack() / Math.max(MIN_INSTANCES, instances * SPARE_FACTOR);
  }
}
