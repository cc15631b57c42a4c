package org.limpetdoor.core.gateway;

import java.util.function.UnaryOperator;
import org.limpetdoor.core.Timed;
import org.pcollections.PSet;

/**
 * What this instance knows of an engine.
 *
 * @param entry its last entry in the list
 * @param holding models and adapters that it holds
 * @param load calls of this instance at the engine
 * @param health how it has served them
 * @param pace how fast its streams flow
 * @param unlistedAtMs when its entry was removed while the store may have lost entries, or {@link
 *     Timed#NEVER_MS}
 */
record EngineState(
    EngineEntry entry,
    LoadedModels holding,
    Load load,
    EngineHealth health,
    EnginePace pace,
    long unlistedAtMs) {

  /**
   * Calls of this instance at an engine.
   *
   * @param inFlight calls that have not ended
   * @param unreadTokens prompt tokens of those that the engine has not answered yet
   */
  record Load(int inFlight, long unreadTokens) {
    static final Load NONE = new Load(0, 0);

    Load sent(Call call) {
      return new Load(inFlight + 1, unreadTokens + call.spec().promptTokens());
    }

    Load started(Call call) {
      return new Load(inFlight, Math.max(0, unreadTokens - call.spec().promptTokens()));
    }

    Load ended(Call call, boolean started) {
      Load read = started ? this : started(call);
      return new Load(Math.max(0, read.inFlight - 1), read.unreadTokens);
    }
  }

  static EngineState of(EngineEntry entry) {
    LoadedModels holding = LoadedModels.of(entry.held(), entry.ordersAccepted());
    return new EngineState(
        entry, holding, Load.NONE, EngineHealth.UNKNOWN, EnginePace.UNKNOWN, Timed.NEVER_MS);
  }

  /** Follows a new entry. Another start of the engine forgets all that was known. */
  EngineState withEntry(EngineEntry next) {
    if (next.startedAtMs() < entry.startedAtMs()) {
      return this;
    }
    if (next.startedAtMs() > entry.startedAtMs()) {
      return of(next).withLoad(unused -> load);
    }
    return new EngineState(next, holding.withListEntry(next), load, health, pace, Timed.NEVER_MS);
  }

  EngineState withHolding(UnaryOperator<LoadedModels> change) {
    return new EngineState(entry, change.apply(holding), load, health, pace, unlistedAtMs);
  }

  EngineState withLoad(UnaryOperator<Load> change) {
    return new EngineState(entry, holding, change.apply(load), health, pace, unlistedAtMs);
  }

  EngineState withHealth(UnaryOperator<EngineHealth> change) {
    return new EngineState(entry, holding, load, change.apply(health), pace, unlistedAtMs);
  }

  EngineState withPace(EnginePace value) {
    return new EngineState(entry, holding, load, health, value, unlistedAtMs);
  }

  EngineState withUnlistedAtMs(long value) {
    return new EngineState(entry, holding, load, health, pace, value);
  }

  EngineState withDraining() {
    return new EngineState(entry.withDraining(), holding, load, health, pace, unlistedAtMs);
  }

  boolean usable() {
    return !entry.draining();
  }

  boolean holds(ModelKey key) {
    return holding.held().contains(key);
  }

  PSet<ModelKey> held() {
    return holding.held();
  }
}
