package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
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
import org.limpetdoor.core.gateway.Placement.Want;
import org.limpetdoor.core.gateway.ServiceSpec.EngineSpec;
import org.limpetdoor.core.gateway.ServiceSpec.ModelSpec;

/** Decides, at the holder of the placement duty, which models and adapters engines load or drop. */
final class Planning {
  /** Loads that may be saved up; with the rate it keeps every window under the store's bound. */
  private static final double MAX_LOAD_TOKENS = 3;

  /**
   * Time in which a weight store lets as many loads begin as it serves at full speed at once, in
   * seconds; the four deployments of the users lie between 1.7 and 2.1.
   */
  private static final double CONCURRENCY_S = 1.9;

  /** Replicas that are changed in one plan; the next plan follows within 250 ms. */
  private static final int MAX_CHANGES = 4;

  /** Time since its last call after which an adapter may make way for another one. */
  private static final long ADAPTER_IDLE_MS = 300;

  /** Time since its last call after which the only replica of a model may make way. */
  private static final long MODEL_IDLE_MS = 8_000;

  /** Calls a second for each replica from which another replica is worth a load. */
  private static final double BUSY_REPLICA_PER_S = 5;

  /** Factor by which the load of a replica must exceed that of the one that makes way. */
  private static final double SWAP_GAIN = 1.6;

  private Planning() {}

  /** Gives the orders that are due. An instance that does not hold the duty gives none. */
  static Transition<NodeState, Effect> plan(NodeState node) {
    GatewayState state = node.gateway();
    if (!DutyEvents.acts(node) || state.table().isEmpty()) {
      return Transition.of(node);
    }
    Transition<NodeState, Effect> result = Transition.of(node);
    for (ServiceSpec service : state.table().get().services().values()) {
      if (service.engine().isPresent()) {
        EngineSpec spec = service.engine().get();
        result =
            result
                .then(next -> inspect(next, service.name()))
                .then(next -> adapters(next, service.name(), spec))
                .then(next -> models(next, service.name(), spec));
      }
    }
    return result;
  }

  private static Transition<NodeState, Effect> inspect(NodeState node, String service) {
    Transition<NodeState, Effect> result = Transition.of(node);
    for (EngineState engine : node.gateway().engines().ofService(service)) {
      OrderSlot slot = node.gateway().placement().slot(engine.entry().id());
      if (engine.usable() && slot.inspectionDue(node.nowMs())) {
        Placement placement =
            result
                .state()
                .gateway()
                .placement()
                .withSlot(engine.entry().id(), slot.inspecting(node.nowMs()));
        result =
            result.then(
                next ->
                    Transition.of(
                        next.withGateway(next.gateway().withPlacement(placement)),
                        new InspectEngine(engine.entry().id(), engine.entry().address())));
      }
    }
    return result;
  }

  private static Transition<NodeState, Effect> adapters(
      NodeState node, String service, EngineSpec spec) {
    Transition<NodeState, Effect> result = Transition.of(node);
    for (Map.Entry<ModelKey, Want> want : node.gateway().placement().wants().entrySet()) {
      ModelKey key = want.getKey();
      if (want.getValue().service().equals(service) && key.adapter().isPresent()) {
        result = result.then(next -> adapter(next, service, spec, key));
      }
    }
    return result;
  }

  private static Transition<NodeState, Effect> adapter(
      NodeState node, String service, EngineSpec spec, ModelKey key) {
    GatewayState state = node.gateway();
    Placement placement = state.placement();
    if (Wants.held(state, service, key)) {
      return Transition.of(node.withGateway(state.withPlacement(placement.withoutWant(key))));
    }
    List<EngineState> holders = new ArrayList<>();
    for (EngineState engine : state.engines().ofService(service)) {
      OrderSlot slot = placement.slot(engine.entry().id());
      boolean underWay = slot.adapters().containsKey(key) || targets(slot, key);
      if (underWay) {
        return Transition.of(node);
      }
      boolean mayTake = slot.adapterCount() < spec.adapterCapacity() || slot.leaving().isEmpty();
      if (engine.usable() && engine.holds(key.base()) && slot.free() && mayTake) {
        holders.add(engine);
      }
    }
    Optional<EngineState> chosen =
        holders.stream()
            .min(
                Comparator.comparingDouble(
                    engine ->
                        slot(node, engine).adapterCount() / (double) spec.adapterCapacity()
                            + Chooser.load(node, engine)));
    if (chosen.isEmpty()) {
      return Transition.of(node);
    }
    EngineState engine = chosen.get();
    if (slot(node, engine).adapterCount() < spec.adapterCapacity()) {
      return order(node, engine, Action.LOAD, key);
    }
    return idleAdapter(node, engine)
        .map(idle -> order(node, engine, Action.UNLOAD, idle))
        .orElse(Transition.of(node));
  }

  private static boolean targets(OrderSlot slot, ModelKey key) {
    return slot.open().filter(order -> order.target().equals(key)).isPresent();
  }

  private static OrderSlot slot(NodeState node, EngineState engine) {
    return node.gateway().placement().slot(engine.entry().id());
  }

  /** Returns the adapter of an engine that was asked for least recently. */
  private static Optional<ModelKey> idleAdapter(NodeState node, EngineState engine) {
    Placement placement = node.gateway().placement();
    OrderSlot slot = slot(node, engine);
    return slot.contents().stream()
        .filter(key -> key.adapter().isPresent() && !slot.adapters().containsKey(key))
        .filter(key -> !slot.leaving().contains(key))
        .filter(key -> !inUse(node, key))
        .filter(key -> node.nowMs() - placement.demandOf(key).lastMs() > ADAPTER_IDLE_MS)
        .min(
            Comparator.comparingLong((ModelKey key) -> placement.demandOf(key).lastMs())
                .thenComparing(ModelKey::toString));
  }

  /** Returns whether this instance or a peer has calls of an adapter in flight. */
  private static boolean inUse(NodeState node, ModelKey adapter) {
    GatewayState state = node.gateway();
    return state.adaptersInUse().contains(adapter)
        || state.peers().values().stream()
            .anyMatch(
                peer ->
                    peer.usable(node.nowMs()) && peer.digest().adaptersInUse().contains(adapter));
  }

  private static Transition<NodeState, Effect> models(
      NodeState node, String service, EngineSpec spec) {
    Transition<NodeState, Effect> result = successors(node, service, spec);
    for (int i = 0; i < MAX_CHANGES; i++) {
      Transition<NodeState, Effect> before = result;
      result = before.then(next -> replica(next, service, spec));
      if (result.effects().size() == before.effects().size()) {
        return result;
      }
    }
    return result;
  }

  /** Adds a replica of the model that needs it most among those for which there is a way. */
  private static Transition<NodeState, Effect> replica(
      NodeState node, String service, EngineSpec spec) {
    Supply supply = Supply.of(node, service, spec, mayLoad(node, service, spec));
    for (ModelSpec model : supply.mostNeeded(BUSY_REPLICA_PER_S, MAX_CHANGES)) {
      Transition<NodeState, Effect> result = replica(node, supply, model);
      if (!result.effects().isEmpty()) {
        return result;
      }
    }
    return Transition.of(node);
  }

  private static Transition<NodeState, Effect> replica(
      NodeState node, Supply supply, ModelSpec model) {
    Optional<EngineState> room = supply.roomFor(model);
    if (room.isPresent()) {
      return order(node, room.get(), Action.LOAD, ModelKey.of(model.name()));
    }
    return supply
        .victimFor(model, SWAP_GAIN, MODEL_IDLE_MS)
        .map(victim -> makeRoom(node, victim, model))
        .orElseGet(() -> consolidate(node, supply, model));
  }

  private static Transition<NodeState, Effect> consolidate(
      NodeState node, Supply supply, ModelSpec model) {
    return supply
        .consolidation(model)
        .map(move -> order(node, move.to(), Action.LOAD, ModelKey.of(move.model())))
        .orElse(Transition.of(node));
  }

  /**
   * Loads the models for which room was made. If the room is not there, because the order to drop
   * was refused or lost, the model is left to the next plan.
   */
  private static Transition<NodeState, Effect> successors(
      NodeState node, String service, EngineSpec spec) {
    Supply supply = Supply.of(node, service, spec, true);
    Transition<NodeState, Effect> result = Transition.of(node);
    for (EngineState engine : node.gateway().engines().ofService(service)) {
      OrderSlot slot = slot(node, engine);
      if (!slot.free() || slot.successor().isEmpty()) {
        continue;
      }
      Optional<ModelSpec> model = slot.successor().map(spec.models()::get);
      boolean room = model.filter(m -> supply.hasRoom(engine, m)).isPresent();
      if (!room) {
        result = result.then(next -> withSuccessor(next, engine, Optional.empty()));
      } else if (supply.hasCopy(engine, model.get())
          || result.state().gateway().placement().loadTokens() >= 1) {
        ModelKey key = ModelKey.of(slot.successor().get());
        result =
            result
                .then(next -> withSuccessor(next, engine, Optional.empty()))
                .then(next -> order(next, engine, Action.LOAD, key));
      }
    }
    return result;
  }

  private static Transition<NodeState, Effect> makeRoom(
      NodeState node, Supply.Victim victim, ModelSpec successor) {
    return withSuccessor(node, victim.engine(), Optional.of(successor.name()))
        .then(next -> order(next, victim.engine(), Action.UNLOAD, ModelKey.of(victim.model())));
  }

  private static Transition<NodeState, Effect> withSuccessor(
      NodeState node, EngineState engine, Optional<String> model) {
    GatewayState state = node.gateway();
    OrderSlot slot = slot(node, engine).withSuccessor(model);
    return Transition.of(
        node.withGateway(
            state.withPlacement(state.placement().withSlot(engine.entry().id(), slot))));
  }

  /** Returns whether another load from the weight store may begin or be prepared. */
  private static boolean mayLoad(NodeState node, String service, EngineSpec spec) {
    long loading = 0;
    for (EngineState engine : node.gateway().engines().ofService(service)) {
      loading += slot(node, engine).loadsFromStore(engine.entry()) ? 1 : 0;
    }
    long atOnce = Math.max(1, (long) (spec.loadsPerS() * CONCURRENCY_S));
    return loading < atOnce && node.gateway().placement().loadTokens() >= 1;
  }

  private static Transition<NodeState, Effect> order(
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
    Placement touched = action == Action.LOAD ? counted.touched(target, node.nowMs()) : counted;
    Placement sent = touched.withNextOrder().withSlot(engine.entry().id(), slot.sent(order));
    return Transition.<NodeState, Effect>of(
            node.withGateway(state.withPlacement(sent)),
            new RecordDecision(new EngineOrderDecision(order, Optional.empty())))
        .with(new SendEngineOrder(order, engine.entry().address()));
  }

  private static Source source(OrderSlot slot, EngineState engine, Action action, ModelKey target) {
    if (action == Action.UNLOAD || target.adapter().isPresent()) {
      return Source.NONE;
    }
    return slot.knowsCopy(engine.entry(), target.model()) ? Source.COPY : Source.STORE;
  }

  /** Adds the loads that the store has allowed since the last time. */
  static NodeState refill(NodeState node) {
    GatewayState state = node.gateway();
    double perS =
        state.table().stream()
            .flatMap(table -> table.services().values().stream())
            .flatMap(service -> service.engine().stream())
            .mapToDouble(EngineSpec::loadsPerS)
            .max()
            .orElse(0);
    Placement placement = state.placement();
    long elapsedMs = node.nowMs() - placement.refilledAtMs();
    double tokens = Math.min(MAX_LOAD_TOKENS, placement.loadTokens() + perS * elapsedMs / 1_000);
    return node.withGateway(state.withPlacement(placement.withLoadTokens(tokens, node.nowMs())));
  }
}
