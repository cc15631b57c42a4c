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
 * Course of one look of the planner.
 *
 * @param result state and effects so far
 * @param engines engines that got an intent
 * @param loads loads per part of the weight store's limit
 * @param unloaded models that lose a replica
 */
record PlanRun(
    Transition<NodeState, Effect> result,
    PSet<BackendId> engines,
    PMap<Integer, Integer> loads,
    PSet<ModelId> unloaded) {

  static PlanRun start(NodeState state) {
    return new PlanRun(
        Transition.of(state), HashTreePSet.empty(), HashTreePMap.empty(), HashTreePSet.empty());
  }

  /** Returns whether a shard may start a load now. */
  boolean mayLoad(BackendId engine) {
    int group = StoreShares.groupOf(result.state(), engine);
    Long nextMs = DemandEvents.planner(result.state()).nextLoadMs().get(Shards.of(engine));
    return nextMs != null
        && result.state().nowMs() >= nextMs
        && StoreShares.room(result.state(), engine, Long.MAX_VALUE) > loads.getOrDefault(group, 0);
  }

  PlanRun loaded(Transition<NodeState, Effect> intended, BackendId engine) {
    NodeState state = intended.state();
    PlannerState planner = DemandEvents.planner(state);
    long nextMs = state.nowMs() + StoreShares.loadIntervalMs(state);
    PlannerState noted =
        planner.withNextLoadMs(planner.nextLoadMs().plus(Shards.of(engine), nextMs));
    int group = StoreShares.groupOf(state, engine);
    Transition<NodeState, Effect> next =
        new Transition<>(DemandEvents.withPlanner(state, noted), result.effects());
    return new PlanRun(
        next.withAll(intended.effects()),
        engines.plus(engine),
        loads.plus(group, loads.getOrDefault(group, 0) + 1),
        unloaded);
  }

  PlanRun unloaded(Transition<NodeState, Effect> intended, BackendId engine, ModelId model) {
    Transition<NodeState, Effect> next =
        new Transition<>(intended.state(), result.effects()).withAll(intended.effects());
    return new PlanRun(next, engines.plus(engine), loads, unloaded.plus(model));
  }
}
