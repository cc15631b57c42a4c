package org.limpetdoor.core.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.agreed.Fleet;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.effect.SendOrder;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.placement.InventoryModel;
import org.limpetdoor.core.placement.OrderAnswer;

/**
 * An engine that executes all orders, even beyond its memory, so that the test can detect
 * overcommitment.
 */
final class FakeEngine {
  final Engine configured;
  private final Map<ModelId, Long> readyAtMs = new HashMap<>();
  private long highestFencingNumber = -1;

  FakeEngine(Engine configured) {
    this.configured = configured;
    configured.initialModels().forEach(model -> readyAtMs.put(model, 0L));
  }

  /**
   * Executes an order unless the engine checks fencing numbers and the order's number is too low.
   */
  OrderAnswer receive(SendOrder order, long nowMs, long loadMs) {
    boolean checksFencing = !configured.fencing().acceptsLateOrders();
    if (checksFencing && order.fencingNumber() < highestFencingNumber) {
      return OrderAnswer.REFUSED;
    }
    highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
    switch (order.action()) {
      case LOAD:
        readyAtMs.putIfAbsent(order.model().orElseThrow(), nowMs + loadMs);
        break;
      case UNLOAD:
        readyAtMs.remove(order.model().orElseThrow());
        break;
      default:
        break;
    }
    return OrderAnswer.DONE;
  }

  /** Restarts the engine: it loses all models and keeps the highest fencing number. */
  void restart() {
    readyAtMs.clear();
  }

  int usedMib() {
    return readyAtMs.size() * Fleet.MODEL_MIB;
  }

  boolean holds(ModelId model) {
    return readyAtMs.containsKey(model);
  }

  List<InventoryModel> inventory(long nowMs) {
    return readyAtMs.entrySet().stream()
        .map(e -> new InventoryModel(e.getKey(), Fleet.MODEL_MIB, e.getValue() <= nowMs))
        .toList();
  }
}
