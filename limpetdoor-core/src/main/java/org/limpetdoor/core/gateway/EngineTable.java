package org.limpetdoor.core.gateway;

import java.util.Collection;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The listed engines, indexed by identifier and by service.
 *
 * @param byId engines by identifier
 * @param byService engines by service and identifier
 */
record EngineTable(
    PMap<BackendId, EngineState> byId, PMap<String, PMap<BackendId, EngineState>> byService) {
  static final EngineTable EMPTY = new EngineTable(HashTreePMap.empty(), HashTreePMap.empty());

  Optional<EngineState> find(BackendId id) {
    return Optional.ofNullable(byId.get(id));
  }

  Collection<EngineState> ofService(String service) {
    return byService.getOrDefault(service, HashTreePMap.empty()).values();
  }

  EngineTable with(EngineState engine) {
    EngineTable without = without(engine.entry().id());
    String service = engine.entry().service();
    PMap<BackendId, EngineState> serviceEngines =
        without.byService.getOrDefault(service, HashTreePMap.empty());
    return new EngineTable(
        without.byId.plus(engine.entry().id(), engine),
        without.byService.plus(service, serviceEngines.plus(engine.entry().id(), engine)));
  }

  EngineTable without(BackendId id) {
    EngineState current = byId.get(id);
    if (current == null) {
      return this;
    }
    String service = current.entry().service();
    PMap<BackendId, EngineState> serviceEngines = byService.get(service).minus(id);
    return new EngineTable(byId.minus(id), byService.plus(service, serviceEngines));
  }

  /** Returns a copy with one engine changed, or this table if the engine is not listed. */
  EngineTable update(BackendId id, UnaryOperator<EngineState> change) {
    EngineState current = byId.get(id);
    return current == null ? this : with(change.apply(current));
  }
}
