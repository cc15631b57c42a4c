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

/** An engine that does what it is told, also beyond its memory. */
final class FakeEngine {
  final Engine configured;
  private final Map<ModelId, Long> readyAtMs = new HashMap<>();
  private long highestNumber = -1;

  FakeEngine(Engine configured) {
    this.configured = configured;
    configured.initialModels().forEach(model -> readyAtMs.put(model, 0L));
  }

  /** Carries out an order unless its number is refused. */
  OrderAnswer receive(SendOrder order, long nowMs, long loadMs) {
    boolean checks = !configured.fencing().lateOrdersRun();
    if (checks && order.fencingNumber() < highestNumber) {
      return OrderAnswer.REFUSED;
    }
    highestNumber = Math.max(highestNumber, order.fencingNumber());
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

  /** Loses the models, as a restart does; the fencing number is kept. */
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
