package org.limpetdoor.core.agreed;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * Index of the engines of each model. An update takes logarithmic time in the number of engines,
 * and a routing decision need not scan the fleet.
 *
 * @param serving engines that hold a model and have no unsettled order to unload it
 * @param loading engines with an unsettled order to load a model
 */
public record ReplicaIndex(
    PMap<ModelId, TreePSet<BackendId>> serving, PMap<ModelId, TreePSet<BackendId>> loading) {
  /** No replicas. */
  public static final ReplicaIndex EMPTY =
      new ReplicaIndex(HashTreePMap.empty(), HashTreePMap.empty());

  /** Returns the engines that serve a model, ordered by name. */
  public TreePSet<BackendId> servingOf(ModelId model) {
    return serving.getOrDefault(model, TreePSet.empty());
  }

  /** Returns the engines that are loading a model, ordered by name. */
  public TreePSet<BackendId> loadingOf(ModelId model) {
    return loading.getOrDefault(model, TreePSet.empty());
  }

  /** Returns a copy in which the entries of one engine match its new account. */
  ReplicaIndex updated(BackendId engine, EngineAccount before, EngineAccount after) {
    PMap<ModelId, TreePSet<BackendId>> nextServing = serving;
    for (ModelId model : before.bookings().keySet()) {
      if (!after.serves(model)) {
        nextServing = minus(nextServing, model, engine);
      }
    }
    for (ModelId model : after.bookings().keySet()) {
      if (after.serves(model)) {
        nextServing = plus(nextServing, model, engine);
      }
    }
    return new ReplicaIndex(nextServing, updatedLoading(engine, before, after));
  }

  private PMap<ModelId, TreePSet<BackendId>> updatedLoading(
      BackendId engine, EngineAccount before, EngineAccount after) {
    PMap<ModelId, TreePSet<BackendId>> next = loading;
    if (before.pending().isPresent()) {
      next = minus(next, before.pending().get().model(), engine);
    }
    if (after.pending().filter(EngineAccount.Intent::load).isPresent()) {
      next = plus(next, after.pending().get().model(), engine);
    }
    return next;
  }

  private static PMap<ModelId, TreePSet<BackendId>> plus(
      PMap<ModelId, TreePSet<BackendId>> map, ModelId model, BackendId engine) {
    TreePSet<BackendId> engines = map.getOrDefault(model, TreePSet.empty());
    return engines.contains(engine) ? map : map.plus(model, engines.plus(engine));
  }

  private static PMap<ModelId, TreePSet<BackendId>> minus(
      PMap<ModelId, TreePSet<BackendId>> map, ModelId model, BackendId engine) {
    TreePSet<BackendId> engines = map.getOrDefault(model, TreePSet.empty()).minus(engine);
    return engines.isEmpty() ? map.minus(model) : map.plus(model, engines);
  }
}
