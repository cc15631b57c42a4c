package org.limpetdoor.core.gateway;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.gateway.EngineOrder.Action;
import org.limpetdoor.core.gateway.Placement.Demand;
import org.limpetdoor.core.gateway.ServiceSpec.EngineSpec;
import org.limpetdoor.core.gateway.ServiceSpec.ModelSpec;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Selects which replicas of the models of one service to load and to evict, by the demand for them.
 *
 * @param node state of the instance
 * @param engines engines of the service
 * @param spec capacity and models of the engines
 * @param replicaCounts number of engines that hold or load each model
 * @param servingCounts number of engines that hold each model
 * @param requestedModels models that calls wait for, or for an adapter of which calls wait
 * @param adapterReserveMb memory reserved for each free adapter place, in MB
 * @param storeLoads whether another load from the weight store may start now
 */
record ReplicaSelector(
    NodeState node,
    Collection<EngineState> engines,
    EngineSpec spec,
    PMap<String, Integer> replicaCounts,
    PMap<String, Integer> servingCounts,
    Set<String> requestedModels,
    double adapterReserveMb,
    boolean storeLoads) {

  /** Load assumed for a model that calls wait for and no engine holds, in calls per second. */
  private static final double UNSERVED_MODEL_PER_S = 1_000;

  /** Rate above which an adapter is in demand, in calls per second. */
  private static final double ADAPTER_IN_DEMAND_PER_S = 0.15;

  /**
   * Load assumed for a replica whose slots are all taken by adapters in demand, in calls per
   * second.
   */
  private static final double FULL_ADAPTERS_PER_S = 8;

  /**
   * Factor applied to the loss of a replica if its replacement is loaded from the weight store. The
   * engine serves neither model during the load, which takes five times as long as from a copy.
   */
  private static final double STORE_LOAD_COST = 1.5;

  /** Load assumed for a model that no engine holds and no call waits for, in calls per second. */
  private static final double UNREQUESTED_MODEL_PER_S = 6;

  /**
   * A replica to evict.
   *
   * @param engine engine that holds it
   * @param model name of the model
   */
  record Victim(EngineState engine, String model) {}

  /**
   * A second replica to load elsewhere, so that the first one can be evicted.
   *
   * @param model name of the model
   * @param target engine with free memory for it
   */
  record Relocation(String model, EngineState target) {}

  static ReplicaSelector of(NodeState node, String service, EngineSpec spec, boolean storeLoads) {
    Collection<EngineState> engines = node.gateway().engines().ofService(service);
    Map<String, Integer> counts = new HashMap<>();
    Map<String, Integer> serving = new HashMap<>();
    for (EngineState engine : engines) {
      if (!engine.usable()) {
        continue;
      }
      Optional<EngineOrder> change = modelOrder(node, engine);
      Optional<String> unloaded = targetModel(change, Action.UNLOAD);
      for (ModelKey key : engine.held()) {
        boolean kept = key.adapter().isEmpty() && !unloaded.filter(key.model()::equals).isPresent();
        if (kept) {
          counts.merge(key.model(), 1, Integer::sum);
          serving.merge(key.model(), 1, Integer::sum);
        }
      }
      Optional<String> loading =
          targetModel(change, Action.LOAD)
              .or(() -> node.gateway().placement().slot(engine.entry().id()).replacement());
      if (loading.isPresent()) {
        counts.merge(loading.get(), 1, Integer::sum);
      }
    }
    Set<String> requested =
        node.gateway().placement().modelRequests().keySet().stream()
            .map(ModelKey::model)
            .collect(Collectors.toUnmodifiableSet());
    double adapterReserveMb =
        spec.models().values().stream().mapToDouble(ModelSpec::adapterMb).max().orElse(0);
    return new ReplicaSelector(
        node,
        engines,
        spec,
        HashTreePMap.from(counts),
        HashTreePMap.from(serving),
        requested,
        adapterReserveMb,
        storeLoads);
  }

  /** Returns models that need another replica, in descending order of need. */
  List<ModelSpec> mostNeeded(double minNeedPerS, int count) {
    Map<ModelSpec, Double> needs = new HashMap<>();
    for (ModelSpec model : spec.models().values()) {
      double need = need(model);
      if (need > minNeedPerS && replicaCount(model.name()) < engines.size()) {
        needs.put(model, need);
      }
    }
    return needs.keySet().stream()
        .sorted(
            Comparator.comparingDouble((ModelSpec model) -> -needs.get(model))
                .thenComparing(ModelSpec::name))
        .limit(count)
        .toList();
  }

  /**
   * Returns an engine with free memory for another model. Engines with a copy of the weights come
   * first, then those with the least load.
   */
  Optional<EngineState> engineWithFreeMemory(ModelSpec model) {
    return engines.stream()
        .filter(engine -> canLoad(engine, model))
        .filter(engine -> hasFreeMemory(engine, model))
        .min(
            Comparator.comparing((EngineState engine) -> !hasCopy(engine, model))
                .thenComparingDouble(engine -> EngineSelector.load(node, engine))
                .thenComparing(engine -> engine.entry().id()));
  }

  /**
   * Returns the replica with the least loss on eviction, on an engine that can load the model
   * afterwards. Before the first call, the number of replicas is the only known sign of the demand
   * for a model, so replicas are evicted only for a model that a call waits for.
   *
   * @param gain factor by which the need for the model must exceed the loss from the evicted
   *     replica
   * @param idleMs time without calls after which the only replica of a model may be evicted, in
   *     milliseconds
   */
  Optional<Victim> victimFor(ModelSpec model, double gain, long idleMs) {
    if (!node.gateway().placement().demandKnown() && !isRequested(ModelKey.of(model.name()))) {
      return Optional.empty();
    }
    double need = need(model);
    Victim best = null;
    double bestLoss = Double.MAX_VALUE;
    for (EngineState engine : engines) {
      if (!canLoad(engine, model)) {
        continue;
      }
      double loadCost = hasCopy(engine, model) ? 1 : STORE_LOAD_COST;
      for (ModelKey key : engine.held()) {
        double loss = loss(key, idleMs) * loadCost;
        boolean fits = key.adapter().isEmpty() && fitsAfterEviction(engine, key, model);
        if (fits && loss * gain < need && loss < bestLoss) {
          best = new Victim(engine, key.model());
          bestLoss = loss;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns a second replica for a small model whose only replica leaves too little memory for a
   * large one, if another engine has free memory for the small model. Once the second replica is
   * loaded, the first one can be evicted.
   */
  Optional<Relocation> consolidation(ModelSpec model) {
    for (EngineState engine : engines) {
      if (!canLoad(engine, model)) {
        continue;
      }
      for (ModelKey key : engine.held()) {
        ModelSpec smallModel = key.adapter().isEmpty() ? spec.models().get(key.model()) : null;
        boolean onlyReplica = smallModel != null && replicaCount(key.model()) == 1;
        if (onlyReplica && fitsAfterEviction(engine, key, model)) {
          Optional<EngineState> freeEngine =
              engineWithFreeMemory(smallModel).filter(other -> !other.equals(engine));
          if (freeEngine.isPresent()) {
            return Optional.of(new Relocation(smallModel.name(), freeEngine.get()));
          }
        }
      }
    }
    return Optional.empty();
  }

  /** Returns why no load of a requested model was ordered. */
  PlacementObstacle obstacle(ModelSpec model, double gain, long idleMs) {
    if (replicaCount(model.name()) > 0) {
      return PlacementObstacle.ORDERED;
    }
    if (engines.stream().noneMatch(this::isFree)) {
      return PlacementObstacle.ENGINES_NOT_READY;
    }
    if (engines.stream().noneMatch(engine -> canLoad(engine, model))) {
      return PlacementObstacle.STORE_LIMIT;
    }
    boolean placeable =
        engineWithFreeMemory(model).isPresent() || victimFor(model, gain, idleMs).isPresent();
    return placeable ? PlacementObstacle.BEHIND_OTHERS : PlacementObstacle.NO_VICTIM;
  }

  /** Returns whether an engine has free memory for another model besides its present contents. */
  boolean hasFreeMemory(EngineState engine, ModelSpec model) {
    return usedMb(engine) + model.weightsMb() <= spec.weightsMb();
  }

  /**
   * Returns whether a model fits after the eviction of another one, which may be too small to free
   * enough memory.
   */
  private boolean fitsAfterEviction(EngineState engine, ModelKey victim, ModelSpec model) {
    ModelSpec evicted = spec.models().get(victim.model());
    double freedMb = evicted == null ? 0 : evicted.weightsMb();
    return usedMb(engine) - freedMb + model.weightsMb() <= spec.weightsMb();
  }

  private boolean canLoad(EngineState engine, ModelSpec model) {
    OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
    boolean loadable = storeLoads || hasCopy(engine, model);
    return isFree(engine) && loadable && !slot.contents().contains(ModelKey.of(model.name()));
  }

  /** Returns whether an engine has no order under way and none planned. */
  private boolean isFree(EngineState engine) {
    OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
    return engine.mayReceive(node.nowMs()) && slot.readyForOrder() && slot.replacement().isEmpty();
  }

  /** Returns whether an engine has a copy of the weights, which spares the weight store a load. */
  boolean hasCopy(EngineState engine, ModelSpec model) {
    OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
    return slot.listsCopy(engine.entry(), model.name());
  }

  private double usedMb(EngineState engine) {
    double used = 0;
    OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
    for (ModelKey key : slot.contents()) {
      ModelSpec model = spec.models().get(key.model());
      // A model that the configuration does not name is assumed to fill the engine.
      double unknownMb = spec.weightsMb();
      double modelMb = model == null ? unknownMb : model.weightsMb();
      double adapterMb = model == null ? 0 : model.adapterMb();
      used += key.adapter().isEmpty() ? modelMb : adapterMb;
    }
    return used + adapterReserveMb * Math.max(0, spec.adapterCapacity() - slot.adapterCount());
  }

  private double callsPerS(ModelKey key) {
    return node.gateway().placement().callsPerS(key, node.nowMs());
  }

  private int replicaCount(String model) {
    return replicaCounts.getOrDefault(model, 0);
  }

  private double need(ModelSpec model) {
    ModelKey key = ModelKey.of(model.name());
    double callsPerS = callsPerS(key);
    int count = replicaCount(model.name());
    if (count > 0) {
      return Math.max(callsPerS, adapterLoad(model.name())) / count;
    }
    return isRequested(key)
        ? UNSERVED_MODEL_PER_S + callsPerS
        : UNREQUESTED_MODEL_PER_S + callsPerS;
  }

  /**
   * Returns the load assumed for the adapters of a model that are in demand, in calls per second.
   * It accounts for the few adapter slots of each replica.
   */
  private double adapterLoad(String model) {
    long inDemand =
        node.gateway().placement().demand().keySet().stream()
            .filter(key -> key.adapter().isPresent() && key.model().equals(model))
            .filter(key -> callsPerS(key) > ADAPTER_IN_DEMAND_PER_S)
            .count();
    return FULL_ADAPTERS_PER_S * inDemand / Math.max(1, spec.adapterCapacity());
  }

  private boolean isRequested(ModelKey model) {
    return requestedModels.contains(model.model());
  }

  /**
   * Returns the load of each remaining replica after an eviction, in calls per second. Replicas
   * that are still being loaded serve no calls, so they do not stand in for the last one that does.
   */
  private double loss(ModelKey key, long idleMs) {
    Demand demand = node.gateway().placement().demandOf(key);
    int remaining = replicaCount(key.model()) - 1;
    boolean othersServe = servingCounts.getOrDefault(key.model(), 0) > 1;
    if (othersServe) {
      return Math.max(callsPerS(key), adapterLoad(key.model())) / remaining;
    }
    boolean idle = node.nowMs() - demand.lastCallAtMs() > idleMs;
    return idle ? UNREQUESTED_MODEL_PER_S : UNSERVED_MODEL_PER_S;
  }

  private static Optional<EngineOrder> modelOrder(NodeState node, EngineState engine) {
    OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
    Optional<EngineOrder> open =
        slot.openOrder().filter(order -> order.target().adapter().isEmpty());
    return slot.change().map(OrderSlot.Change::order).or(() -> open);
  }

  private static Optional<String> targetModel(Optional<EngineOrder> order, Action action) {
    return order.filter(o -> o.action() == action).map(o -> o.target().model());
  }
}
