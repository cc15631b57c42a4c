package org.limpetdoor.core.agreed;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * Accelerator memory of all engines. Memory is reserved from the intent of a load until an unload
 * is confirmed, so that it is never reserved twice while an order is in progress.
 *
 * @param accounts account of each engine that was ever configured. Accounts of removed engines
 *     stay, because the engine may still hold its models when it returns.
 * @param intents engine of each intent that is not settled
 * @param replicas engines of each model, for engines in the configuration
 * @param engines configured engines of each shard
 */
public record MemoryLedger(
    PMap<BackendId, EngineAccount> accounts,
    PMap<String, BackendId> intents,
    ReplicaIndex replicas,
    PMap<Integer, TreePSet<BackendId>> engines) {
  /** A ledger without engines. */
  public static final MemoryLedger EMPTY =
      new MemoryLedger(
          HashTreePMap.empty(), HashTreePMap.empty(), ReplicaIndex.EMPTY, HashTreePMap.empty());

  /**
   * Returns a ledger whose indexes are computed from its accounts.
   *
   * @param accounts account of each engine that was ever configured
   * @param configured engines in the configuration
   */
  public static MemoryLedger restored(
      Map<BackendId, EngineAccount> accounts, Collection<BackendId> configured) {
    MemoryLedger ledger = EMPTY;
    for (BackendId engine : configured) {
      ledger = ledger.withEngine(engine);
    }
    for (Map.Entry<BackendId, EngineAccount> entry : accounts.entrySet()) {
      ledger = ledger.withAccount(entry.getKey(), entry.getValue());
    }
    return ledger;
  }

  /** Returns the account of an engine. */
  public EngineAccount account(BackendId engine) {
    return accounts.getOrDefault(engine, EngineAccount.EMPTY);
  }

  /** Returns the engines that requests for a model may be sent to, ordered by name. */
  public TreePSet<BackendId> servingOf(ModelId model) {
    return replicas.servingOf(model);
  }

  /** Returns the configured engines of a shard. */
  public TreePSet<BackendId> enginesOf(int shard) {
    return engines.getOrDefault(shard, TreePSet.empty());
  }

  /** Returns whether an engine is in the configuration. */
  public boolean isConfigured(BackendId engine) {
    return enginesOf(Shards.of(engine)).contains(engine);
  }

  /** Returns the unsettled intent with an identifier. */
  public Optional<EngineAccount.Intent> intent(String id) {
    return Optional.ofNullable(intents.get(id)).flatMap(engine -> account(engine).pending());
  }

  MemoryLedger withAccount(BackendId engine, EngineAccount after) {
    EngineAccount before = account(engine);
    ReplicaIndex index = isConfigured(engine) ? replicas.updated(engine, before, after) : replicas;
    return new MemoryLedger(
        accounts.plus(engine, after), intentsAfter(engine, before, after), index, engines);
  }

  MemoryLedger withEngine(BackendId engine) {
    TreePSet<BackendId> shard = enginesOf(Shards.of(engine)).plus(engine);
    ReplicaIndex index = replicas.updated(engine, EngineAccount.EMPTY, account(engine));
    return new MemoryLedger(accounts, intents, index, engines.plus(Shards.of(engine), shard));
  }

  MemoryLedger withoutEngine(BackendId engine) {
    TreePSet<BackendId> shard = enginesOf(Shards.of(engine)).minus(engine);
    ReplicaIndex index = replicas.updated(engine, account(engine), EngineAccount.EMPTY);
    PMap<Integer, TreePSet<BackendId>> remaining =
        shard.isEmpty() ? engines.minus(Shards.of(engine)) : engines.plus(Shards.of(engine), shard);
    return new MemoryLedger(accounts, intents, index, remaining);
  }

  private PMap<String, BackendId> intentsAfter(
      BackendId engine, EngineAccount before, EngineAccount after) {
    PMap<String, BackendId> next = intents;
    if (before.pending().isPresent()) {
      next = next.minus(before.pending().get().id());
    }
    if (after.pending().isPresent()) {
      next = next.plus(after.pending().get().id(), engine);
    }
    return next;
  }
}
