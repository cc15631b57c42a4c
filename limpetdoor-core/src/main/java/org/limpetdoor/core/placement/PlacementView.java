package org.limpetdoor.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.agreed.EngineAccount;
import org.limpetdoor.core.agreed.EngineAccount.Intent;
import org.limpetdoor.core.agreed.MemoryLedger;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ZoneId;
import org.pcollections.TreePSet;

/**
 * The replicas at one tick of the planner. Creating a view takes time proportional to the number of
 * engines that are out of service. Computing a supply takes logarithmic time in the number of
 * replicas, as long as the first ones are in different zones.
 *
 * @param state state at the start of the tick
 * @param unavailable engines that are leaving or have been unreachable for some time
 * @param unavailableReplicas number of replicas of each model at unavailable engines
 */
record PlacementView(
    NodeState state, Set<BackendId> unavailable, Map<ModelId, Integer> unavailableReplicas) {
  /**
   * Time for which an engine must be unreachable before its models are placed again, in
   * milliseconds. Loads are expensive, and most engines are back within seconds.
   */
  static final long UNREACHABLE_GRACE_MS = 10_000;

  PlacementView {
    unavailable = Set.copyOf(unavailable);
    unavailableReplicas = Map.copyOf(unavailableReplicas);
  }

  static PlacementView of(NodeState state) {
    Set<BackendId> unavailable = unavailable(state);
    Map<ModelId, Integer> unavailableReplicas = new HashMap<>();
    for (BackendId engine : unavailable) {
      EngineAccount account = state.agreed().ledger().account(engine);
      account.bookings().keySet().stream()
          .filter(account::serves)
          .forEach(model -> unavailableReplicas.merge(model, 1, Integer::sum));
      account
          .pending()
          .filter(Intent::load)
          .ifPresent(i -> unavailableReplicas.merge(i.model(), 1, Integer::sum));
    }
    return new PlacementView(state, unavailable, unavailableReplicas);
  }

  ModelSupply supplyOf(Model model) {
    MemoryLedger ledger = state.agreed().ledger();
    TreePSet<BackendId> serving = ledger.servingOf(model.id());
    TreePSet<BackendId> loading = ledger.replicas().loadingOf(model.id());
    return new ModelSupply(
        model,
        serving.size(),
        loading.size(),
        unavailableReplicas.getOrDefault(model.id(), 0),
        zones(Stream.concat(serving.stream(), loading.stream())),
        serving.isEmpty() ? 1 : state.configuration().engines().get(serving.first()).slots(),
        DemandEvents.planner(state).trendOf(model.id()));
  }

  /** Returns whether a model may lose its replica at an engine. */
  boolean isSurplus(ModelId id, BackendId engine) {
    Model model = state.configuration().models().get(id);
    if (model == null) {
      return true;
    }
    ModelSupply supply = supplyOf(model);
    TreePSet<BackendId> remaining = state.agreed().ledger().servingOf(id).minus(engine);
    boolean spread = model.minReplicas() < 2 || zones(remaining.stream()).size() > 1;
    return spread && supply.belowDemand() == 0 && supply.hasSurplus();
  }

  ZoneId zoneOf(BackendId engine) {
    return state.configuration().engines().get(engine).zone();
  }

  long freeMib(BackendId engine) {
    long capacityMib = state.configuration().engines().get(engine).memoryMib();
    return capacityMib - state.agreed().ledger().account(engine).reservedMib();
  }

  private Set<ZoneId> zones(Stream<BackendId> engines) {
    return engines
        .filter(engine -> !unavailable.contains(engine))
        .map(this::zoneOf)
        .distinct()
        .limit(2)
        .collect(Collectors.toSet());
  }

  private static Set<BackendId> unavailable(NodeState state) {
    Set<BackendId> result = new HashSet<>();
    state.backends().states().forEach((id, b) -> addIf(b.leaving(), id, result));
    DemandEvents.planner(state)
        .unreachableSinceMs()
        .forEach((id, ms) -> addIf(state.nowMs() - ms >= UNREACHABLE_GRACE_MS, id, result));
    result.removeIf(id -> !state.agreed().ledger().isConfigured(id));
    return result;
  }

  private static void addIf(boolean condition, BackendId id, Set<BackendId> result) {
    if (condition) {
      result.add(id);
    }
  }
}
