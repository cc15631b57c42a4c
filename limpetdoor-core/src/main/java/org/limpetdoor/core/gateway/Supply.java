package org.limpetdoor.core.gateway;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.gateway.EngineOrder.Action;
import org.limpetdoor.core.gateway.Placement.Demand;
import org.limpetdoor.core.gateway.ServiceSpec.EngineSpec;
import org.limpetdoor.core.gateway.ServiceSpec.ModelSpec;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Replicas of the models of one service against the demand for them.
 *
 * @param node state of the instance
 * @param engines engines of the service
 * @param spec what its engines can hold
 * @param replicas engines that hold or load each model
 * @param storeLoads whether the weight store may serve another load now
 */
record Supply(
    NodeState node,
    Collection<EngineState> engines,
    EngineSpec spec,
    PMap<String, Integer> replicas,
    boolean storeLoads) {

  /** Load that a model counts as that calls wait for and no engine holds. */
  private static final double UNREACHABLE_PER_S = 1_000;

  /** Rate from which an adapter counts as asked for, in calls a second. */
  private static final double ADAPTER_ASKED_PER_S = 0.15;

  /** Load that a replica counts as when all its room for adapters is asked for. */
  private static final double FULL_ADAPTERS_PER_S = 8;

  /**
   * Factor by which the loss of a replica counts more if its successor comes from the weight store:
   * for the time of the load the engine serves neither, five times as long as from a copy.
   */
  private static final double STORE_LOAD_COST = 1.5;

  /** Load that a model counts as that no engine holds and nobody asks for. */
  private static final double ABSENT_PER_S = 6;

  /**
   * A replica that makes way.
   *
   * @param engine engine that holds it
   * @param model the model
   */
  record Victim(EngineState engine, String model) {}

  /**
   * A second replica that lets the first one make way.
   *
   * @param model the model
   * @param to engine that has room for it
   */
  record Move(String model, EngineState to) {}

  static Supply of(NodeState node, String service, EngineSpec spec, boolean storeLoads) {
    Collection<EngineState> engines = node.gateway().engines().ofService(service);
    Map<String, Integer> counts = new HashMap<>();
    for (EngineState engine : engines) {
      if (!engine.usable()) {
        continue;
      }
      Optional<EngineOrder> change = change(node, engine);
      Optional<String> dropped = model(change, Action.UNLOAD);
      for (ModelKey key : engine.held()) {
        boolean kept = key.adapter().isEmpty() && !dropped.filter(key.model()::equals).isPresent();
        if (kept) {
          counts.merge(key.model(), 1, Integer::sum);
        }
      }
      Optional<String> loaded =
          model(change, Action.LOAD)
              .or(() -> node.gateway().placement().slot(engine.entry().id()).successor());
      if (loaded.isPresent()) {
        counts.merge(loaded.get(), 1, Integer::sum);
      }
    }
    return new Supply(node, engines, spec, HashTreePMap.from(counts), storeLoads);
  }

  /** Returns models of which another replica is worth a load, the most needed ones first. */
  List<ModelSpec> mostNeeded(double busyPerS, int count) {
    Map<ModelSpec, Double> needs = new HashMap<>();
    for (ModelSpec model : spec.models().values()) {
      double need = need(model);
      if (need > busyPerS && replicas(model.name()) < engines.size()) {
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

  /** Returns an engine that has memory for another model; the least loaded one. */
  Optional<EngineState> roomFor(ModelSpec model) {
    return engines.stream()
        .filter(engine -> mayTake(engine, model))
        .filter(engine -> hasRoom(engine, model))
        .min(
            Comparator.comparing((EngineState engine) -> !hasCopy(engine, model))
                .thenComparingDouble(engine -> EngineSelector.load(node, engine))
                .thenComparing(engine -> engine.entry().id()));
  }

  /**
   * Returns the replica that is missed least, on an engine that can take the model afterwards.
   * Before the first call, the number of replicas is all that is known of the demand for a model,
   * so none makes way but for a model that a call waits for.
   *
   * @param gain factor by which the need of the model must exceed the load of a replica that is
   *     left
   * @param idleMs time without calls after which the only replica of a model may make way
   */
  Optional<Victim> victimFor(ModelSpec model, double gain, long idleMs) {
    if (!node.gateway().placement().demandKnown() && !isWanted(ModelKey.of(model.name()))) {
      return Optional.empty();
    }
    double need = need(model);
    Victim best = null;
    double bestLoss = Double.MAX_VALUE;
    for (EngineState engine : engines) {
      if (!mayTake(engine, model)) {
        continue;
      }
      double detour = hasCopy(engine, model) ? 1 : STORE_LOAD_COST;
      for (ModelKey key : engine.held()) {
        double loss = loss(key, idleMs) * detour;
        boolean fits = key.adapter().isEmpty() && fitsInsteadOf(engine, key, model);
        if (fits && loss * gain < need && loss < bestLoss) {
          best = new Victim(engine, key.model());
          bestLoss = loss;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns the only replica of a small model that keeps a large one from an engine while another
   * engine has room for it. With a second replica there, this one can make way.
   */
  Optional<Move> consolidation(ModelSpec model) {
    for (EngineState engine : engines) {
      if (!mayTake(engine, model)) {
        continue;
      }
      for (ModelKey key : engine.held()) {
        ModelSpec small = key.adapter().isEmpty() ? spec.models().get(key.model()) : null;
        boolean only = small != null && replicas(key.model()) == 1;
        if (only && fitsInsteadOf(engine, key, model)) {
          Optional<EngineState> room = roomFor(small).filter(other -> !other.equals(engine));
          if (room.isPresent()) {
            return Optional.of(new Move(small.name(), room.get()));
          }
        }
      }
    }
    return Optional.empty();
  }

  /** Returns whether an engine has memory for another model besides what takes room there. */
  boolean hasRoom(EngineState engine, ModelSpec model) {
    return usedMb(engine) + model.weightsMb() <= spec.weightsMb();
  }

  /** A small model that makes way does not give room for a large one. */
  private boolean fitsInsteadOf(EngineState engine, ModelKey victim, ModelSpec model) {
    ModelSpec leaving = spec.models().get(victim.model());
    double freedMb = leaving == null ? 0 : leaving.weightsMb();
    return usedMb(engine) - freedMb + model.weightsMb() <= spec.weightsMb();
  }

  private boolean mayTake(EngineState engine, ModelSpec model) {
    OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
    boolean free = engine.usable() && slot.free() && slot.successor().isEmpty();
    boolean loadable = storeLoads || hasCopy(engine, model);
    return free && loadable && !slot.contents().contains(ModelKey.of(model.name()));
  }

  /** Returns whether an engine has a copy of the weights, which spares the weight store a load. */
  boolean hasCopy(EngineState engine, ModelSpec model) {
    OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
    return slot.knowsCopy(engine.entry(), model.name());
  }

  private double usedMb(EngineState engine) {
    double used = 0;
    OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
    for (ModelKey key : slot.contents()) {
      ModelSpec model = spec.models().get(key.model());
      // A model that the configuration does not name is taken to fill the engine.
      double unknownMb = spec.weightsMb();
      double modelMb = model == null ? unknownMb : model.weightsMb();
      double adapterMb = model == null ? 0 : model.adapterMb();
      used += key.adapter().isEmpty() ? modelMb : adapterMb;
    }
    double adapterReserveMb =
        spec.models().values().stream().mapToDouble(ModelSpec::adapterMb).max().orElse(0);
    return used + adapterReserveMb * Math.max(0, spec.adapterCapacity() - slot.adapterCount());
  }

  private double perS(ModelKey key) {
    return node.gateway().placement().perS(key, node.nowMs());
  }

  private int replicas(String model) {
    return replicas.getOrDefault(model, 0);
  }

  private double need(ModelSpec model) {
    ModelKey key = ModelKey.of(model.name());
    double perS = perS(key);
    int count = replicas(model.name());
    if (count > 0) {
      return Math.max(perS, adapterLoad(model.name())) / count;
    }
    return isWanted(key) ? UNREACHABLE_PER_S + perS : ABSENT_PER_S + perS;
  }

  /** Calls that the adapters asked for count as, since each replica has room for a few only. */
  private double adapterLoad(String model) {
    long asked =
        node.gateway().placement().demand().keySet().stream()
            .filter(key -> key.adapter().isPresent() && key.model().equals(model))
            .filter(key -> perS(key) > ADAPTER_ASKED_PER_S)
            .count();
    return FULL_ADAPTERS_PER_S * asked / Math.max(1, spec.adapterCapacity());
  }

  private boolean isWanted(ModelKey model) {
    return node.gateway().placement().wants().keySet().stream()
        .anyMatch(want -> want.base().equals(model));
  }

  /** Calls a second that each replica gets that is left when one makes way. */
  private double loss(ModelKey key, long idleMs) {
    Demand demand = node.gateway().placement().demandOf(key);
    int left = replicas(key.model()) - 1;
    if (left > 0) {
      return Math.max(perS(key), adapterLoad(key.model())) / left;
    }
    boolean idle = node.nowMs() - demand.lastMs() > idleMs;
    return idle ? ABSENT_PER_S : UNREACHABLE_PER_S;
  }

  private static Optional<EngineOrder> change(NodeState node, EngineState engine) {
    OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
    Optional<EngineOrder> open = slot.open().filter(order -> order.target().adapter().isEmpty());
    return slot.change().map(OrderSlot.Change::order).or(() -> open);
  }

  private static Optional<String> model(Optional<EngineOrder> order, Action action) {
    return order.filter(o -> o.action() == action).map(o -> o.target().model());
  }
}
