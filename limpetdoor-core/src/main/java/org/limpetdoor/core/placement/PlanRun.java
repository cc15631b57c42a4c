package org.limpetdoor.core.placement;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Progress of one tick of the planner.
 *
 * @param result state and effects so far
 * @param engines engines that received an intent
 * @param loads number of loads in each part of the weight store's limit
 * @param unloadedModels models that lose a replica
 */
record PlanRun(
    Transition<NodeState, Effect> result,
    PSet<BackendId> engines,
    PMap<Integer, Integer> loads,
    PSet<ModelId> unloadedModels) {

  static PlanRun start(NodeState state) {
    return new PlanRun(
        Transition.of(state), HashTreePSet.empty(), HashTreePMap.empty(), HashTreePSet.empty());
  }

  /** Returns whether the shard of an engine may start a load now. */
  boolean mayLoad(BackendId engine) {
    int partIndex = LoadLimitParts.partIndexOf(result.state(), engine);
    Long nextMs = DemandEvents.planner(result.state()).nextLoadMs().get(Shards.of(engine));
    return nextMs != null
        && result.state().nowMs() >= nextMs
        && LoadLimitParts.availableLoads(result.state(), engine, Long.MAX_VALUE)
            > loads.getOrDefault(partIndex, 0);
  }

  PlanRun withLoad(Transition<NodeState, Effect> intent, BackendId engine) {
    NodeState state = intent.state();
    PlannerState planner = DemandEvents.planner(state);
    long nextMs = state.nowMs() + LoadLimitParts.loadIntervalMs(state);
    PlannerState updated =
        planner.withNextLoadMs(planner.nextLoadMs().plus(Shards.of(engine), nextMs));
    int partIndex = LoadLimitParts.partIndexOf(state, engine);
    Transition<NodeState, Effect> next =
        new Transition<>(DemandEvents.withPlanner(state, updated), result.effects());
    return new PlanRun(
        next.withAll(intent.effects()),
        engines.plus(engine),
        loads.plus(partIndex, loads.getOrDefault(partIndex, 0) + 1),
        unloadedModels);
  }

  PlanRun withUnload(Transition<NodeState, Effect> intent, BackendId engine, ModelId model) {
    Transition<NodeState, Effect> next =
        new Transition<>(intent.state(), result.effects()).withAll(intent.effects());
    return new PlanRun(next, engines.plus(engine), loads, unloadedModels.plus(model));
  }
}
