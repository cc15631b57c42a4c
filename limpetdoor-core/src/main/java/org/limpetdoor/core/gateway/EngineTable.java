package org.limpetdoor.core.gateway;

import java.util.Collection;
import java.util.Map;
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
 * @param stated what engines have stated about their availability, also those that are not listed:
 *     an entry may lapse and come back
 */
record EngineTable(
    PMap<BackendId, EngineState> byId,
    PMap<String, PMap<BackendId, EngineState>> byService,
    PMap<BackendId, StatedAvailability> stated) {
  static final EngineTable EMPTY =
      new EngineTable(HashTreePMap.empty(), HashTreePMap.empty(), HashTreePMap.empty());

  /**
   * Time for which statements of engines that are not listed are retained, in milliseconds. Engines
   * that leave exit long before.
   */
  private static final long STATED_RETENTION_MS = 3_600_000;

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
        without.byService.plus(service, serviceEngines.plus(engine.entry().id(), engine)),
        without.stated);
  }

  /** Applies an entry. What the same start of the engine has stated before still holds. */
  EngineTable withEntry(EngineEntry entry) {
    EngineState current = byId.get(entry.id());
    EngineState next = current == null ? EngineState.of(entry) : current.withEntry(entry);
    StatedAvailability known = stated.get(entry.id());
    return with(known == null ? next : next.withStated(known));
  }

  /**
   * Applies what one start of an engine states.
   *
   * @param startedAtMs start of the engine, in Unix milliseconds; an earlier one is ignored
   * @param nowMs current time, in monotonic milliseconds
   */
  EngineTable withNotice(BackendId id, long startedAtMs, EngineNotice notice, long nowMs) {
    StatedAvailability known = stated.getOrDefault(id, StatedAvailability.unknown(startedAtMs));
    if (known.startedAtMs() > startedAtMs) {
      return this;
    }
    StatedAvailability base =
        known.startedAtMs() == startedAtMs ? known : StatedAvailability.unknown(startedAtMs);
    StatedAvailability next = base.with(notice, nowMs);
    PMap<BackendId, StatedAvailability> retained =
        stated.containsKey(id) ? stated : withoutOutdated(nowMs);
    return new EngineTable(byId, byService, retained.plus(id, next))
        .update(id, engine -> engine.withStated(next));
  }

  /** Returns what a start of an engine has stated. */
  StatedAvailability stated(BackendId id, long startedAtMs) {
    StatedAvailability known = stated.get(id);
    return known != null && known.startedAtMs() == startedAtMs
        ? known
        : StatedAvailability.unknown(startedAtMs);
  }

  private PMap<BackendId, StatedAvailability> withoutOutdated(long nowMs) {
    PMap<BackendId, StatedAvailability> retained = stated;
    for (Map.Entry<BackendId, StatedAvailability> entry : stated.entrySet()) {
      boolean outdated = nowMs - entry.getValue().statedAtMs() > STATED_RETENTION_MS;
      boolean listed = byId.containsKey(entry.getKey());
      retained = outdated && !listed ? retained.minus(entry.getKey()) : retained;
    }
    return retained;
  }

  EngineTable without(BackendId id) {
    EngineState current = byId.get(id);
    if (current == null) {
      return this;
    }
    String service = current.entry().service();
    PMap<BackendId, EngineState> serviceEngines = byService.get(service).minus(id);
    return new EngineTable(byId.minus(id), byService.plus(service, serviceEngines), stated);
  }

  /** Returns a copy with one engine changed, or this table if the engine is not listed. */
  EngineTable update(BackendId id, UnaryOperator<EngineState> change) {
    EngineState current = byId.get(id);
    return current == null ? this : with(change.apply(current));
  }
}
