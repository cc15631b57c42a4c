package org.limpetdoor.core.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.GatewayDecision;
import org.limpetdoor.core.effect.ApplyCallerLimits;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.event.EnginesRead;
import org.limpetdoor.core.event.RoutesRead;
import org.limpetdoor.core.event.StoreContactChanged;
import org.limpetdoor.core.id.BackendId;

/** Reduces reports of the platform's store: configuration, engines, and whether it answers. */
public final class StoreEvents {
  private StoreEvents() {}

  /** Puts a newer version of the configuration in force; older versions are ignored. */
  public static Transition<NodeState, Effect> routesRead(NodeState node, RoutesRead event) {
    GatewayState state = node.gateway();
    RouteTable table = event.table();
    if (table.version() <= state.version()) {
      return Transition.of(node);
    }
    GatewayDecision decision =
        GatewayDecision.routes(state.version(), table.version(), event.source());
    return Transition.<NodeState, Effect>of(
            node.withGateway(
                state
                    .withTable(table)
                    .withUsage(state.usage().withAccounts(table.accounts(), node.nowMs()))),
            new ApplyCallerLimits(table.limits()))
        .with(new RecordDecision(decision))
        .then(FactsEvents::passOnRoutes)
        .then(WaitingCalls::serve);
  }

  /** Applies entries and removals of the list of engines that this instance read itself. */
  public static Transition<NodeState, Effect> enginesRead(NodeState node, EnginesRead event) {
    if (isOfEarlierEra(node, event.list())) {
      return Transition.of(node);
    }
    StoreView store = node.gateway().store().withFactsAsOfMs(node.nowMs());
    return applyList(
        node.withGateway(node.gateway().withStore(store)), event.list(), RoutesRead.Source.STORE);
  }

  /**
   * Applies changes of the list of engines, unless they are already known, and passes on what has
   * changed. Entries that only confirm that an engine is live are not passed on.
   *
   * <p>A complete list of a peer still names the engines whose entries the store may have lost, so
   * others are gone, whether or not the store answers this instance. Only after a change of era may
   * any list lack live engines.
   */
  static Transition<NodeState, Effect> applyList(
      NodeState node, EngineListing list, RoutesRead.Source source) {
    return EraEvents.learned(node, list.era(), source)
        .then(next -> applyKnownEra(next, list, source));
  }

  private static boolean isOfEarlierEra(NodeState node, EngineListing list) {
    return EraOrder.of(list.era(), node.gateway().store().era()) == EraOrder.EARLIER;
  }

  private static Transition<NodeState, Effect> applyKnownEra(
      NodeState node, EngineListing list, RoutesRead.Source source) {
    StoreView store = node.gateway().store();
    if (isOfEarlierEra(node, list) || list.isContainedIn(store.listPosition())) {
      return Transition.of(node);
    }
    EngineListing changes = changes(node, list);
    StoreView next = store.withListPosition(list.end());
    if (list.isEmpty()) {
      return Transition.of(node.withGateway(node.gateway().withStore(next)));
    }
    Transition<NodeState, Effect> result = applyEntries(node, list, source);
    if (changes.isEmpty()) {
      return result.then(
          applied -> Transition.of(applied.withGateway(applied.gateway().withStore(next))));
    }
    return result
        .then(
            applied ->
                Transition.of(
                    applied.withGateway(
                        applied.gateway().withStore(next.withChangedPosition(list.end())))))
        .then(applied -> FactsEvents.passOnEngines(applied, changes))
        .then(applied -> WaitingCalls.serve(EngineOrders.completeListedChanges(applied)));
  }

  /**
   * Returns the part of a listing that changes the list. It starts where the last change ended, so
   * that receivers can tell whether they have missed one.
   */
  private static EngineListing changes(NodeState node, EngineListing list) {
    EngineTable engines = node.gateway().engines();
    List<EngineEntry> changed =
        list.entries().stream()
            .filter(
                entry ->
                    list.complete()
                        || engines
                            .find(entry.id())
                            .filter(
                                engine ->
                                    engine.entry().equals(entry)
                                        && engine.unlistedAtMs() == Timed.NEVER_MS)
                            .isEmpty())
            .toList();
    return new EngineListing(
        list.era(),
        list.complete() ? 0 : node.gateway().store().changedPosition().offset(),
        list.toOffset(),
        changed,
        list.removed(),
        list.complete());
  }

  private static Transition<NodeState, Effect> applyEntries(
      NodeState node, EngineListing list, RoutesRead.Source source) {
    Transition<NodeState, Effect> result = Transition.of(node);
    Set<BackendId> listed = new HashSet<>();
    for (EngineEntry entry : list.entries()) {
      listed.add(entry.id());
      result = result.then(next -> entryRead(next, entry));
    }
    for (BackendId id : list.removed()) {
      result = result.then(next -> removed(next, id));
    }
    if (list.complete()) {
      for (BackendId id : node.gateway().engines().byId().keySet()) {
        boolean gone = source == RoutesRead.Source.PEER && !isRelisting(node, node.nowMs());
        result =
            listed.contains(id)
                ? result
                : result.then(next -> gone ? drop(next, id) : removed(next, id));
      }
    }
    return result;
  }

  /** Records that the store started or stopped answering. */
  public static Transition<NodeState, Effect> contactChanged(
      NodeState node, StoreContactChanged event) {
    GatewayState state = node.gateway();
    if (state.storeReachable() == event.reachable()) {
      return Transition.of(node);
    }
    GatewayDecision decision = GatewayDecision.storeContact(event.reachable());
    return Transition.of(
        node.withGateway(
            state.withStore(state.store().withContact(event.reachable(), node.nowMs()))),
        new RecordDecision(decision));
  }

  /**
   * Removes engines that were not listed again in time after the store recovered. Those that were
   * missing after a restoration are gone also if the store doesn't answer this instance, because a
   * peer has read that they are missing.
   */
  static Transition<NodeState, Effect> dropUnlisted(NodeState node) {
    Transition<NodeState, Effect> result = Transition.of(node);
    for (EngineState engine : node.gateway().engines().byId().values()) {
      boolean unlisted = engine.unlistedAtMs() != Timed.NEVER_MS;
      boolean missingAfterRestoration =
          isRelisting(node, engine.unlistedAtMs()) && !isRelisting(node, node.nowMs());
      if (unlisted && (missingAfterRestoration || !mayBeListedAgain(node))) {
        BackendId id = engine.entry().id();
        result =
            result
                .then(next -> CrashEvents.engineLost(next, engine))
                .then(next -> Transition.of(without(next, id)));
      }
    }
    return result;
  }

  private static NodeState without(NodeState node, BackendId id) {
    GatewayState state = node.gateway();
    return node.withGateway(state.withEngines(state.engines().without(id)));
  }

  private static Transition<NodeState, Effect> entryRead(NodeState node, EngineEntry read) {
    GatewayState state = node.gateway();
    var existing = state.engines().find(read.id());
    EngineEntry entry = existing.map(engine -> withKnownDraining(node, engine, read)).orElse(read);
    NodeState updated = node.withGateway(state.withEngines(state.engines().withEntry(entry)));
    boolean changed =
        existing.isEmpty()
            || existing.get().entry().draining() != entry.draining()
            || existing.get().entry().startedAtMs() != entry.startedAtMs();
    if (!changed) {
      return Transition.of(updated);
    }
    boolean restarted =
        existing.isPresent() && existing.get().entry().startedAtMs() != entry.startedAtMs();
    NodeState cleared =
        restarted
            ? updated.withGateway(
                updated
                    .gateway()
                    .withPlacement(updated.gateway().placement().withoutSlot(entry.id())))
            : updated;
    Transition<NodeState, Effect> result =
        Transition.of(cleared, new RecordDecision(GatewayDecision.engine(entry)));
    return restarted ? result.then(next -> CrashEvents.engineLost(next, existing.get())) : result;
  }

  /**
   * Returns an entry that says that the engine drains if that is known. After a restoration of the
   * store, an entry may be older than what is known; an engine that drains does so until its end.
   */
  private static EngineEntry withKnownDraining(
      NodeState node, EngineState engine, EngineEntry entry) {
    boolean sameStart = engine.entry().startedAtMs() == entry.startedAtMs();
    boolean older = isRelisting(node, node.nowMs()) && sameStart && engine.entry().draining();
    return older ? entry.withDraining() : entry;
  }

  private static Transition<NodeState, Effect> removed(NodeState node, BackendId id) {
    GatewayState state = node.gateway();
    if (state.engines().find(id).isEmpty()) {
      return Transition.of(node);
    }
    if (mayBeListedAgain(node)) {
      EngineTable kept =
          state
              .engines()
              .update(
                  id,
                  engine ->
                      engine.unlistedAtMs() == Timed.NEVER_MS
                          ? engine.withUnlistedAtMs(node.nowMs())
                          : engine);
      return Transition.of(node.withGateway(state.withEngines(kept)));
    }
    return drop(node, id);
  }

  private static Transition<NodeState, Effect> drop(NodeState node, BackendId id) {
    return engineLost(node, id)
        .then(
            next ->
                Transition.of(
                    without(next, id), new RecordDecision(GatewayDecision.engineGone(id))));
  }

  private static Transition<NodeState, Effect> engineLost(NodeState node, BackendId id) {
    return node.gateway()
        .engines()
        .find(id)
        .map(engine -> CrashEvents.engineLost(node, engine))
        .orElse(Transition.of(node));
  }

  /**
   * Returns whether an engine with a removed entry may still be live: the store may drop entries of
   * live engines during an outage or a restoration, and they need time to be listed again.
   */
  private static boolean mayBeListedAgain(NodeState node) {
    GatewayState state = node.gateway();
    long sinceMs = node.nowMs() - state.store().recoveredAtMs();
    boolean hadOutage = state.store().recoveredAtMs() > 0;
    return !state.storeReachable()
        || isRelisting(node, node.nowMs())
        || (hadOutage && sinceMs < state.settings().relistMs());
  }

  private static boolean isRelisting(NodeState node, long atMs) {
    GatewayState state = node.gateway();
    return state.store().isRelisting(atMs, state.settings().relistMs());
  }
}
