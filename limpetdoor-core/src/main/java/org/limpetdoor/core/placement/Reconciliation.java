package org.limpetdoor.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.EngineAccount;
import org.limpetdoor.core.agreed.EngineAccount.Intent;
import org.limpetdoor.core.agreed.LogRecord.BookedModel;
import org.limpetdoor.core.agreed.LogRecord.InventoryBooked;
import org.limpetdoor.core.agreed.OutboxEvents;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.InventoryReported;
import org.limpetdoor.core.id.ModelId;

/** Reconciles the ledger with the inventories of engines. */
final class Reconciliation {
  private Reconciliation() {}

  /** Submits the models that are in the inventory but not in the ledger, or the reverse. */
  static Transition<NodeState, Effect> book(NodeState state, InventoryReported event) {
    EngineAccount account = state.agreed().ledger().account(event.engine());
    if (account.changedOffset() >= event.query().asOfOffset()) {
      return Transition.of(state);
    }
    List<BookedModel> models =
        differences(state, account, event).entrySet().stream()
            .map(entry -> new BookedModel(entry.getKey(), entry.getValue()))
            .toList();
    return models.isEmpty()
        ? Transition.of(state)
        : OutboxEvents.submit(state, record(state, event, models));
  }

  private static Map<ModelId, Integer> differences(
      NodeState state, EngineAccount account, InventoryReported event) {
    Map<ModelId, Integer> differences = new TreeMap<>();
    if (mayRemove(state, event)) {
      account.bookings().keySet().forEach(model -> differences.put(model, 0));
      account.unsized().forEach(model -> differences.put(model, 0));
    }
    for (InventoryModel held : event.held()) {
      differences.put(held.model(), held.memoryMib());
    }
    account.bookings().forEach(differences::remove);
    Optional<Intent> pending = account.pending();
    pending.ifPresent(intent -> differences.remove(intent.model()));
    return differences;
  }

  /**
   * Returns whether missing models may be removed from the ledger. Models are added at once, but
   * removed only when no earlier order can arrive any more, because a late copy of a load would use
   * memory that the ledger has reserved again.
   */
  private static boolean mayRemove(NodeState state, InventoryReported event) {
    return event.query().requestedAtMs() >= OrderSteps.orderExpiryMs(state, event.engine());
  }

  private static InventoryBooked record(
      NodeState state, InventoryReported event, List<BookedModel> models) {
    int shard = Shards.of(event.engine());
    long epoch = state.coordination().leases().ownEpoch(shard).orElseThrow();
    return new InventoryBooked(shard, epoch, event.engine(), models, event.query().asOfOffset());
  }
}
