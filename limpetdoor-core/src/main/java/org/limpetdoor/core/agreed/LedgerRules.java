package org.limpetdoor.core.agreed;

import java.util.Optional;
import org.limpetdoor.core.agreed.EngineAccount.Intent;
import org.limpetdoor.core.agreed.LogRecord.BookedModel;
import org.limpetdoor.core.agreed.LogRecord.InventoryBooked;
import org.limpetdoor.core.agreed.LogRecord.PlacementAbandoned;
import org.limpetdoor.core.agreed.LogRecord.PlacementConfirmed;
import org.limpetdoor.core.agreed.LogRecord.PlacementIntended;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.TreePSet;

/** Folds records into the memory ledger. */
final class LedgerRules {
  private LedgerRules() {}

  static FoldedPart<MemoryLedger> intend(AgreedState state, long offset, PlacementIntended record) {
    MemoryLedger ledger = state.ledger();
    Optional<FoldResult> rejection = rejection(state, record);
    if (rejection.isPresent()) {
      return new FoldedPart<>(ledger, rejection.get());
    }
    Intent intent =
        new Intent(record.intentId(), offset, record.model(), record.memoryMib(), record.action());
    EngineAccount account = ledger.account(record.engine());
    return FoldedPart.accepted(
        ledger.withAccount(record.engine(), account.withPending(Optional.of(intent), offset)));
  }

  static FoldedPart<MemoryLedger> confirm(
      MemoryLedger ledger, long offset, PlacementConfirmed record) {
    return settle(ledger, offset, record.intentId(), true);
  }

  static FoldedPart<MemoryLedger> abandon(
      MemoryLedger ledger, long offset, PlacementAbandoned record) {
    return settle(ledger, offset, record.intentId(), false);
  }

  static FoldedPart<MemoryLedger> book(AgreedState state, long offset, InventoryBooked record) {
    MemoryLedger ledger = state.ledger();
    EngineAccount account = ledger.account(record.engine());
    Optional<FoldResult> unauthorized =
        unauthorized(state, record.shard(), record.epoch(), record.engine());
    if (unauthorized.isPresent()) {
      return new FoldedPart<>(ledger, unauthorized.get());
    }
    if (account.changedOffset() >= record.asOfOffset()) {
      return new FoldedPart<>(ledger, FoldResult.INVENTORY_OUTDATED);
    }
    EngineAccount next = account;
    for (BookedModel booked : record.models()) {
      next = book(next, offset, booked);
    }
    int capacityMib = state.configuration().engines().get(record.engine()).memoryMib();
    return new FoldedPart<>(
        ledger.withAccount(record.engine(), next),
        next.reservedMib() > capacityMib ? FoldResult.OVER_CAPACITY : FoldResult.ACCEPTED);
  }

  /**
   * Skips the model of an unsettled order, because the settlement of the order decides about it.
   */
  private static EngineAccount book(EngineAccount account, long offset, BookedModel booked) {
    if (account.pending().filter(i -> i.model().equals(booked.model())).isPresent()) {
      return account;
    }
    return booked.memoryMib() == 0
        ? account.withoutBooking(booked.model(), offset)
        : account.withBooking(booked.model(), booked.memoryMib(), offset);
  }

  /**
   * Applies a publication. Initial models are booked when their engine first appears; a model whose
   * memory is not published yet is booked once it is published.
   */
  static MemoryLedger applyPublication(
      MemoryLedger ledger, long offset, ConfigurationPatch patch, Configuration content) {
    MemoryLedger next = ledger;
    for (BackendId removed : patch.removals().engines()) {
      next = content.engines().containsKey(removed) ? next : next.withoutEngine(removed);
    }
    for (Engine engine : patch.engines()) {
      boolean hasAccount = next.accounts().containsKey(engine.id());
      next = next.withEngine(engine.id());
      next =
          hasAccount
              ? next
              : next.withAccount(engine.id(), initialAccount(engine, content, offset));
    }
    for (Model model : patch.models()) {
      next = withModelSize(next, offset, model);
    }
    return next;
  }

  private static EngineAccount initialAccount(Engine engine, Configuration content, long offset) {
    EngineAccount account = EngineAccount.EMPTY;
    for (ModelId id : engine.initialModels()) {
      Model model = content.models().get(id);
      account =
          model == null
              ? account.withUnsized(id, offset)
              : account.withBooking(id, model.memoryMib(), offset);
    }
    return account;
  }

  private static MemoryLedger withModelSize(MemoryLedger ledger, long offset, Model model) {
    MemoryLedger next = ledger;
    for (BackendId engine : ledger.accounts().keySet()) {
      EngineAccount account = ledger.account(engine);
      if (account.unsized().contains(model.id())) {
        next = next.withAccount(engine, account.withBooking(model.id(), model.memoryMib(), offset));
      }
    }
    return next;
  }

  private static FoldedPart<MemoryLedger> settle(
      MemoryLedger ledger, long offset, String intentId, boolean executed) {
    Optional<Intent> found = ledger.intent(intentId);
    if (found.isEmpty()) {
      return new FoldedPart<>(ledger, FoldResult.UNKNOWN_INTENT);
    }
    Intent intent = found.get();
    BackendId engine = ledger.intents().get(intentId);
    EngineAccount account = ledger.account(engine).withPending(Optional.empty(), offset);
    if (executed) {
      account =
          intent.load()
              ? account.withBooking(intent.model(), intent.memoryMib(), offset)
              : account.withoutBooking(intent.model(), offset);
    }
    return FoldedPart.accepted(ledger.withAccount(engine, account));
  }

  private static Optional<FoldResult> rejection(AgreedState state, PlacementIntended record) {
    Optional<FoldResult> unauthorized =
        unauthorized(state, record.shard(), record.epoch(), record.engine());
    if (unauthorized.isPresent()) {
      return unauthorized;
    }
    EngineAccount account = state.ledger().account(record.engine());
    if (account.pending().isPresent()) {
      return Optional.of(FoldResult.ENGINE_BUSY);
    }
    if (state.ledger().intents().containsKey(record.intentId())) {
      return Optional.of(FoldResult.INTENT_EXISTS);
    }
    boolean held = account.bookings().containsKey(record.model());
    if (!record.action().requiresIntent() || held == record.action().loadedAfter()) {
      return Optional.of(FoldResult.NOTHING_TO_DO);
    }
    return record.action().loadedAfter()
        ? loadRejection(state, account, record)
        : unloadRejection(state, record);
  }

  private static Optional<FoldResult> loadRejection(
      AgreedState state, EngineAccount account, PlacementIntended record) {
    long capacityMib = state.configuration().engines().get(record.engine()).memoryMib();
    boolean fits = account.reservedMib() + record.memoryMib() <= capacityMib;
    return fits && record.memoryMib() > 0 && account.unsized().isEmpty()
        ? Optional.empty()
        : Optional.of(FoldResult.NO_CAPACITY);
  }

  /**
   * Checks the minimum here and not in the planner alone, because holders of two shards may unload
   * replicas of the same model at the same time.
   */
  private static Optional<FoldResult> unloadRejection(AgreedState state, PlacementIntended record) {
    Model model = state.configuration().models().get(record.model());
    if (model == null) {
      return Optional.empty();
    }
    TreePSet<BackendId> serving = state.ledger().servingOf(record.model());
    TreePSet<BackendId> remaining = serving.minus(record.engine());
    boolean spread = model.minReplicas() > 1 && zones(state, serving) > 1;
    boolean losesZone = spread && zones(state, remaining) < 2;
    return remaining.size() < model.minReplicas() || losesZone
        ? Optional.of(FoldResult.BELOW_MINIMUM)
        : Optional.empty();
  }

  private static long zones(AgreedState state, TreePSet<BackendId> engines) {
    return engines.stream()
        .map(id -> state.configuration().engines().get(id).zone())
        .distinct()
        .limit(2)
        .count();
  }

  private static Optional<FoldResult> unauthorized(
      AgreedState state, int shard, long epoch, BackendId engine) {
    if (!state.ledger().isConfigured(engine)) {
      return Optional.of(FoldResult.UNKNOWN_ENGINE);
    }
    if (Shards.of(engine) != shard) {
      return Optional.of(FoldResult.WRONG_SHARD);
    }
    boolean current = state.leases().isCurrent(shard, epoch);
    return current ? Optional.empty() : Optional.of(FoldResult.EPOCH_SUPERSEDED);
  }
}
