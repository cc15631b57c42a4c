package org.limpetdoor.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.EngineAccount;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.decision.PlacementReason;
import org.limpetdoor.core.decision.PlanBasis;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Plans loads and unloads on the engines of held shards. One tick takes time proportional to the
 * number of models plus, for each model that lacks replicas, the number of engines of held shards.
 */
public final class Planner {
  private Planner() {}

  /** Plans once for all models. */
  public static Transition<NodeState, Effect> tick(NodeState state) {
    if (!LeaseEvents.followsLog(state)) {
      return Transition.of(state);
    }
    NodeState observed = withFirstLoadTimes(DemandEvents.withObservations(state));
    if (LeaseEvents.heldShards(observed).isEmpty()) {
      return Transition.of(observed);
    }
    PlacementView view = PlacementView.of(observed);
    List<Shortage> shortages = Shortage.all(view);
    NodeState updated = withShortages(observed, shortages);
    return hasUnreadIntent(updated) ? Transition.of(updated) : plan(updated, view, shortages);
  }

  private static Transition<NodeState, Effect> plan(
      NodeState state, PlacementView view, List<Shortage> shortages) {
    List<Integer> shards = state.agreed().ledger().engines().keySet().stream().sorted().toList();
    PlanRun run = PlanRun.start(state);
    for (Shortage shortage : shortages) {
      long ageMs = ageMs(state, shortage);
      int remaining = shortage.missing();
      for (int shard : LeaseEvents.heldShards(state)) {
        int position = shards.indexOf(shard);
        if (remaining > 0 && position >= 0 && shortage.mayAct(position, shards.size(), ageMs)) {
          PlanRun next = planInShard(run, view, shortage, shard);
          remaining -= next.equals(run) ? 0 : 1;
          run = next;
        }
      }
    }
    return run.result();
  }

  private static PlanRun planInShard(
      PlanRun run, PlacementView view, Shortage shortage, int shard) {
    Comparator<BackendId> byFreeMemory =
        Comparator.comparing((BackendId e) -> !isInZoneOfReplica(view, shortage, e))
            .thenComparing(view::freeMib)
            .thenComparing(Comparator.reverseOrder());
    List<BackendId> engines =
        view.state().agreed().ledger().enginesOf(shard).stream()
            .filter(engine -> isCandidate(run, view, shortage, engine))
            .sorted(byFreeMemory.reversed())
            .toList();
    int neededMib = shortage.supply().model().memoryMib();
    Optional<BackendId> fitting =
        engines.stream().filter(engine -> view.freeMib(engine) >= neededMib).findFirst();
    return fitting
        .map(engine -> load(run, view, shortage, engine))
        .orElseGet(() -> evict(run, view, engines, neededMib));
  }

  private static boolean isCandidate(
      PlanRun run, PlacementView view, Shortage shortage, BackendId engine) {
    EngineAccount account = view.state().agreed().ledger().account(engine);
    boolean wrongZone =
        shortage.requiresOtherZone(ageMs(run.result().state(), shortage))
            && isInZoneOfReplica(view, shortage, engine);
    return !wrongZone
        && !view.unavailable().contains(engine)
        && !run.engines().contains(engine)
        && account.pending().isEmpty()
        && account.unsized().isEmpty()
        && !account.bookings().containsKey(shortage.supply().model().id())
        && run.mayLoad(engine);
  }

  private static PlanRun load(
      PlanRun run, PlacementView view, Shortage shortage, BackendId engine) {
    Model model = shortage.supply().model();
    PlanBasis basis = shortage.supply().basis(view.freeMib(engine));
    return run.withLoad(
        OrderEvents.submitIntent(
            run.result().state(),
            engine,
            model.id(),
            model.memoryMib(),
            PlacementAction.LOAD,
            shortage.reason(),
            Optional.of(basis)),
        engine);
  }

  /** Unloads one surplus replica whose memory lets the model fit. */
  private static PlanRun evict(
      PlanRun run, PlacementView view, List<BackendId> engines, int neededMib) {
    for (BackendId engine : engines) {
      EngineAccount account = view.state().agreed().ledger().account(engine);
      Optional<ModelId> victim =
          account.bookings().keySet().stream()
              .filter(m -> view.freeMib(engine) + account.bookings().get(m) >= neededMib)
              .filter(m -> !run.unloadedModels().contains(m) && view.isSurplus(m, engine))
              .min(Comparator.comparing((ModelId m) -> peak(view, m)).thenComparing(m -> m));
      if (victim.isPresent()) {
        return unload(run, view, engine, victim.get());
      }
    }
    return run;
  }

  private static PlanRun unload(PlanRun run, PlacementView view, BackendId engine, ModelId model) {
    Optional<PlanBasis> basis =
        Optional.ofNullable(view.state().configuration().models().get(model))
            .map(configured -> view.supplyOf(configured).basis(view.freeMib(engine)));
    return run.withUnload(
        OrderEvents.submitIntent(
            run.result().state(),
            engine,
            model,
            0,
            PlacementAction.UNLOAD,
            PlacementReason.SURPLUS,
            basis),
        engine,
        model);
  }

  private static boolean isInZoneOfReplica(
      PlacementView view, Shortage shortage, BackendId engine) {
    return shortage.supply().zones().contains(view.zoneOf(engine));
  }

  private static double peak(PlacementView view, ModelId model) {
    return DemandEvents.planner(view.state()).trendOf(model).peak();
  }

  /**
   * Returns whether an intent was not read back yet. The ledger lacks such intents, so planning
   * waits for them.
   */
  private static boolean hasUnreadIntent(NodeState state) {
    return OrderSteps.tracker(state).submittedMs().values().stream()
        .anyMatch(ms -> state.nowMs() - ms < OrderSteps.SEND_WINDOW_MS);
  }

  /**
   * Delays the first load of a shard that was just taken over, because its previous holder may just
   * have started one.
   */
  private static NodeState withFirstLoadTimes(NodeState state) {
    PlannerState planner = DemandEvents.planner(state);
    PMap<Integer, Long> next = HashTreePMap.empty();
    for (int shard : LeaseEvents.heldShards(state)) {
      long firstMs = state.nowMs() + LoadLimitParts.loadIntervalMs(state);
      next = next.plus(shard, planner.nextLoadMs().getOrDefault(shard, firstMs));
    }
    return DemandEvents.withPlanner(state, planner.withNextLoadMs(next));
  }

  private static NodeState withShortages(NodeState state, List<Shortage> shortages) {
    PlannerState planner = DemandEvents.planner(state);
    PMap<ModelId, Long> since = HashTreePMap.empty();
    for (Shortage shortage : shortages) {
      ModelId model = shortage.supply().model().id();
      since = since.plus(model, planner.shortageSinceMs().getOrDefault(model, state.nowMs()));
    }
    return DemandEvents.withPlanner(state, planner.withShortageSinceMs(since));
  }

  private static long ageMs(NodeState state, Shortage shortage) {
    ModelId model = shortage.supply().model().id();
    long sinceMs = DemandEvents.planner(state).shortageSinceMs().getOrDefault(model, state.nowMs());
    return state.nowMs() - sinceMs;
  }
}
