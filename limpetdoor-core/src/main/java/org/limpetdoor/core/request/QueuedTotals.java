package org.limpetdoor.core.request;

import java.util.EnumMap;
import java.util.Map;
import org.limpetdoor.core.config.ShedOrder;

/**
 * Sums over the waiting customers of a pool, by shed order.
 *
 * @param byOrder the sums
 */
record QueuedTotals(Map<ShedOrder, Sum> byOrder) {
  static final QueuedTotals NONE = new QueuedTotals(Map.of());

  private static final Sum ZERO = new Sum(0, 0);

  /** Weight and predicted work, in tokens, of the waiting customers of one shed order. */
  record Sum(long weight, long workTokens) {}

  long weight(ShedOrder order) {
    return byOrder.getOrDefault(order, ZERO).weight();
  }

  long tokensServedBefore(ShedOrder order) {
    long workTokens = 0;
    for (Map.Entry<ShedOrder, Sum> entry : byOrder.entrySet()) {
      workTokens += order.isShedBefore(entry.getKey()) ? entry.getValue().workTokens() : 0;
    }
    return workTokens;
  }

  QueuedTotals plus(Flow flow) {
    return withChange(flow, 1);
  }

  QueuedTotals minus(Flow flow) {
    return withChange(flow, -1);
  }

  private QueuedTotals withChange(Flow flow, int sign) {
    ShedOrder order = flow.terms().shedOrder();
    Sum previous = byOrder.getOrDefault(order, ZERO);
    Sum sum =
        new Sum(
            previous.weight() + (long) sign * flow.terms().weight(),
            previous.workTokens() + sign * flow.queuedTokens());
    Map<ShedOrder, Sum> changed = new EnumMap<>(ShedOrder.class);
    changed.putAll(byOrder);
    changed.put(order, sum);
    return new QueuedTotals(changed);
  }
}
