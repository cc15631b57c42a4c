package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.EngineOrderDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.InspectEngine;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.SendEngineOrder;
import org.limpetdoor.core.gateway.EngineOrder.Action;
import org.limpetdoor.core.gateway.EngineOrder.Source;
import org.limpetdoor.core.gateway.ServiceSpec.EngineSpec;
import org.limpetdoor.core.gateway.ServiceSpec.ModelSpec;

/**
 * Decides, at the holder of the placement duty, which models and adapters engines load or unload.
 */
final class PlacementPlanner {
  /**
   * Maximum number of accumulated load tokens; together with the refill rate it keeps the loads in
   * every window within the limit of the weight store.
   */
  private static final double MAX_LOAD_TOKENS = 3;

  /**
   * Number of concurrent loads that a weight store serves at full speed, divided by the number of
   * loads per second that it allows; in seconds. The settings hold only the rate, so the limit of
   * concurrent loads is computed from it.
   */
  private static final double LOAD_CONCURRENCY_S = 1.9;

  /** Maximum number of replicas that one plan changes; the next plan follows within 250 ms. */
  private static final int MAX_CHANGES = 4;

  /**
   * Time since its load or its last call after which the only replica of a model may be evicted, in
   * milliseconds. Callers that were refused until the load return within this time.
   */
  private static final long MODEL_IDLE_MS = 2_000;

  /** Load of each replica above which another replica is worth loading, in calls per second. */
  private static final double BUSY_REPLICA_PER_S = 5;

  /** Factor by which the need for a new replica must exceed the loss from the evicted one. */
  private static final double SWAP_GAIN = 1.6;

  private PlacementPlanner() {}

  /** Sends the orders that are due. An instance that does not hold the duty sends none. */
  static Transition<NodeState, Effect> plan(NodeState node) {
    GatewayState state = node.gateway();
    if (!DutyEvents.maySendOrders(node) || state.table().isEmpty()) {
      return Transition.of(node);
    }
    Transition<NodeState, Effect> result = Transition.of(node);
    for (ServiceSpec service : state.table().get().services().values()) {
      if (service.engine().isPresent()) {
        EngineSpec spec = service.engine().get();
        result =
            result
                .then(next -> inspectEngines(next, service.name()))
                .then(next -> AdapterPlanner.planAll(next, service.name(), spec))
                .then(next -> planModels(next, service.name(), spec));
      }
    }
    return result;
  }

  /** Sends the orders that a model or adapter that was just requested needs. */
  static Transition<NodeState, Effect> planRequested(NodeState node, String service, ModelKey key) {
    Optional<EngineSpec> spec =
        node.gateway()
            .table()
            .map(table -> table.services().get(service))
            .flatMap(ServiceSpec::engine);
    if (!DutyEvents.maySendOrders(node) || spec.isEmpty()) {
      return Transition.of(node);
    }
    return key.adapter().isPresent()
        ? AdapterPlanner.plan(node, service, spec.get(), key)
        : planModels(node, service, spec.get());
  }

  /** Returns why a requested model or adapter was not ordered, or nothing if an engine holds it. */
  static Optional<PlacementObstacle> obstacle(
      NodeState node, String service, EngineSpec spec, ModelKey key) {
    if (ModelRequests.isLoaded(node.gateway(), service, key)) {
      return Optional.empty();
    }
    if (key.adapter().isPresent()) {
      return AdapterPlanner.decide(node, service, spec, key)
              instanceof AdapterPlanner.Step.Blocked b
          ? Optional.of(b.obstacle())
          : Optional.of(PlacementObstacle.BEHIND_OTHERS);
    }
    ReplicaSelector selector =
        ReplicaSelector.of(node, service, spec, mayLoadFromStore(node, service, spec));
    return Optional.ofNullable(spec.models().get(key.model()))
        .map(model -> selector.obstacle(model, SWAP_GAIN, MODEL_IDLE_MS));
  }

  private static Transition<NodeState, Effect> inspectEngines(NodeState node, String service) {
    Transition<NodeState, Effect> result = Transition.of(node);
    for (EngineState engine : node.gateway().engines().ofService(service)) {
      OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
      if (engine.mayReceive(node.nowMs()) && slot.inspectionDue(node.nowMs())) {
        Placement placement =
            result
                .state()
                .gateway()
                .placement()
                .withSlot(engine.entry().id(), slot.withInspectionSent(node.nowMs()));
        result =
            result.then(
                next ->
                    Transition.of(
                        next.withGateway(next.gateway().withPlacement(placement)),
                        new InspectEngine(
                            engine.entry().id(),
                            engine.entry().startedAtMs(),
                            engine.entry().address())));
      }
    }
    return result;
  }

  static OrderSlot slot(NodeState node, EngineState engine) {
    return node.gateway().placement().slot(engine.entry().id());
  }

  private static Transition<NodeState, Effect> planModels(
      NodeState node, String service, EngineSpec spec) {
    Transition<NodeState, Effect> result = loadReplacements(node, service, spec);
    for (int i = 0; i < MAX_CHANGES; i++) {
      Transition<NodeState, Effect> previous = result;
      result = previous.then(next -> planReplica(next, service, spec));
      if (result.effects().size() == previous.effects().size()) {
        return result;
      }
    }
    return result;
  }

  /**
   * Adds a replica of the model with the greatest need among those for which an engine is found.
   */
  private static Transition<NodeState, Effect> planReplica(
      NodeState node, String service, EngineSpec spec) {
    ReplicaSelector selector =
        ReplicaSelector.of(node, service, spec, mayLoadFromStore(node, service, spec));
    for (ModelSpec model : selector.mostNeeded(BUSY_REPLICA_PER_S, MAX_CHANGES)) {
      Transition<NodeState, Effect> result = planReplica(node, selector, model);
      if (!result.effects().isEmpty()) {
        return result;
      }
    }
    return Transition.of(node);
  }

  private static Transition<NodeState, Effect> planReplica(
      NodeState node, ReplicaSelector selector, ModelSpec model) {
    Optional<EngineState> freeEngine = selector.engineWithFreeMemory(model);
    if (freeEngine.isPresent()) {
      return sendOrder(node, freeEngine.get(), Action.LOAD, ModelKey.of(model.name()));
    }
    return selector
        .victimFor(model, SWAP_GAIN, MODEL_IDLE_MS)
        .map(victim -> evict(node, victim, model))
        .orElseGet(() -> consolidate(node, selector, model));
  }

  private static Transition<NodeState, Effect> consolidate(
      NodeState node, ReplicaSelector selector, ModelSpec model) {
    return selector
        .consolidation(model)
        .map(
            relocation ->
                sendOrder(node, relocation.target(), Action.LOAD, ModelKey.of(relocation.model())))
        .orElse(Transition.of(node));
  }

  /**
   * Loads the models for which others were evicted. If the memory is not free, because the unload
   * order was refused or lost, or if the engine is leaving, the model is left to the next plan.
   */
  private static Transition<NodeState, Effect> loadReplacements(
      NodeState node, String service, EngineSpec spec) {
    ReplicaSelector selector = ReplicaSelector.of(node, service, spec, true);
    Transition<NodeState, Effect> result = Transition.of(node);
    for (EngineState engine : node.gateway().engines().ofService(service)) {
      OrderSlot slot = slot(node, engine);
      if (!slot.readyForOrder() || slot.replacement().isEmpty()) {
        continue;
      }
      Optional<ModelSpec> model = slot.replacement().map(spec.models()::get);
      boolean fits =
          engine.usable() && model.filter(m -> selector.hasFreeMemory(engine, m)).isPresent();
      if (!fits) {
        result = result.then(next -> withReplacement(next, engine, Optional.empty()));
      } else if (engine.mayReceive(node.nowMs())
          && (selector.hasCopy(engine, model.get())
              || result.state().gateway().placement().loadTokens() >= 1)) {
        ModelKey key = ModelKey.of(slot.replacement().get());
        result =
            result
                .then(next -> withReplacement(next, engine, Optional.empty()))
                .then(next -> sendOrder(next, engine, Action.LOAD, key));
      }
    }
    return result;
  }

  private static Transition<NodeState, Effect> evict(
      NodeState node, ReplicaSelector.Victim victim, ModelSpec replacement) {
    return withReplacement(node, victim.engine(), Optional.of(replacement.name()))
        .then(next -> sendOrder(next, victim.engine(), Action.UNLOAD, ModelKey.of(victim.model())));
  }

  private static Transition<NodeState, Effect> withReplacement(
      NodeState node, EngineState engine, Optional<String> model) {
    GatewayState state = node.gateway();
    OrderSlot slot = slot(node, engine).withReplacement(model);
    return Transition.of(
        node.withGateway(
            state.withPlacement(state.placement().withSlot(engine.entry().id(), slot))));
  }

  /** Returns whether another load from the weight store may start or be prepared. */
  private static boolean mayLoadFromStore(NodeState node, String service, EngineSpec spec) {
    long loading = 0;
    for (EngineState engine : node.gateway().engines().ofService(service)) {
      loading += slot(node, engine).loadsFromStore(engine.entry()) ? 1 : 0;
    }
    long maxLoading = Math.max(1, (long) (spec.loadsPerS() * LOAD_CONCURRENCY_S));
    return loading < maxLoading && node.gateway().placement().loadTokens() >= 1;
  }

  static Transition<NodeState, Effect> sendOrder(
      NodeState node, EngineState engine, Action action, ModelKey target) {
    GatewayState state = node.gateway();
    Placement placement = state.placement();
    OrderSlot slot = placement.slot(engine.entry().id());
    Source source = source(slot, engine, action, target);
    EngineOrder order =
        new EngineOrder(
            placement.nextOrder(),
            engine.entry().id(),
            action,
            target,
            state.duty().fencingNumber(),
            slot.ordersAccepted(),
            source);
    Placement counted =
        source == Source.STORE
            ? placement.withLoadTokens(placement.loadTokens() - 1, placement.refilledAtMs())
            : placement;
    Placement withUse =
        action == Action.LOAD ? counted.withRecentUse(target, node.nowMs()) : counted;
    Placement sent =
        withUse.withNextOrder().withSlot(engine.entry().id(), slot.withOpenOrder(order));
    return Transition.<NodeState, Effect>of(
            node.withGateway(state.withPlacement(sent)),
            new RecordDecision(new EngineOrderDecision(order, Optional.empty())))
        .with(new SendEngineOrder(order, engine.entry().startedAtMs(), engine.entry().address()));
  }

  private static Source source(OrderSlot slot, EngineState engine, Action action, ModelKey target) {
    if (action == Action.UNLOAD || target.adapter().isPresent()) {
      return Source.NONE;
    }
    return slot.listsCopy(engine.entry(), target.model()) ? Source.COPY : Source.STORE;
  }

  /** Adds the load tokens for the time since the last refill. */
  static NodeState refillLoadTokens(NodeState node) {
    GatewayState state = node.gateway();
    double loadsPerS =
        state.table().stream()
            .flatMap(table -> table.services().values().stream())
            .flatMap(service -> service.engine().stream())
            .mapToDouble(EngineSpec::loadsPerS)
            .max()
            .orElse(0);
    Placement placement = state.placement();
    long elapsedMs = node.nowMs() - placement.refilledAtMs();
    double tokens =
        Math.min(MAX_LOAD_TOKENS, placement.loadTokens() + loadsPerS * elapsedMs / 1_000);
    return node.withGateway(state.withPlacement(placement.withLoadTokens(tokens, node.nowMs())));
  }
}
