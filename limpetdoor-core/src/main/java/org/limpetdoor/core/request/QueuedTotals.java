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
  record Sum(long weight, long work) {}

  long weight(ShedOrder order) {
    return byOrder.getOrDefault(order, ZERO).weight();
  }

  long workServedBefore(ShedOrder order) {
    long work = 0;
    for (Map.Entry<ShedOrder, Sum> entry : byOrder.entrySet()) {
      work += order.isShedBefore(entry.getKey()) ? entry.getValue().work() : 0;
    }
    return work;
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
            previous.work() + sign * flow.queuedWork());
    Map<ShedOrder, Sum> changed = new EnumMap<>(ShedOrder.class);
    changed.putAll(byOrder);
    changed.put(order, sum);
    return new QueuedTotals(changed);
  }
}
