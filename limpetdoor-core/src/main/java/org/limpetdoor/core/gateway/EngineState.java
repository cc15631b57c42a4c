package org.limpetdoor.core.gateway;

import java.util.function.UnaryOperator;
import org.limpetdoor.core.Timed;
import org.pcollections.PSet;

/**
 * State of an engine as seen by this instance.
 *
 * @param entry latest entry of the engine in the list of engines
 * @param loadedModels models and adapters loaded on the engine
 * @param load calls of this instance at the engine
 * @param health health observed through these calls
 * @param pace pace observed through the streams of this instance
 * @param stated what the engine has stated about its availability
 * @param unlistedAtMs time at which the entry was removed while the store may have lost entries, in
 *     monotonic milliseconds, or {@link Timed#NEVER_MS}
 */
record EngineState(
    EngineEntry entry,
    LoadedModels loadedModels,
    Load load,
    EngineHealth health,
    EnginePace pace,
    StatedAvailability stated,
    long unlistedAtMs) {

  /**
   * Calls of this instance at an engine.
   *
   * @param inFlight number of calls that have not ended
   * @param pendingPromptTokens number of prompt tokens in calls whose first event has not been
   *     received, so the engine is assumed to be processing them
   */
  record Load(int inFlight, long pendingPromptTokens) {
    static final Load NONE = new Load(0, 0);

    Load withSent(Call call) {
      return new Load(inFlight + 1, pendingPromptTokens + call.spec().promptTokens());
    }

    Load withStarted(Call call) {
      return new Load(inFlight, Math.max(0, pendingPromptTokens - call.spec().promptTokens()));
    }

    Load withEnded(Call call, boolean started) {
      Load afterPrompt = started ? this : withStarted(call);
      return new Load(Math.max(0, afterPrompt.inFlight - 1), afterPrompt.pendingPromptTokens);
    }
  }

  static EngineState of(EngineEntry entry) {
    LoadedModels loadedModels = LoadedModels.of(entry.held(), entry.ordersAccepted());
    return new EngineState(
        entry,
        loadedModels,
        Load.NONE,
        EngineHealth.UNKNOWN,
        EnginePace.UNKNOWN,
        StatedAvailability.unknown(entry.startedAtMs()),
        Timed.NEVER_MS);
  }

  /**
   * Applies a new entry. If the engine has restarted, all state but the calls in flight is reset;
   * an entry of an earlier start is ignored.
   */
  EngineState withEntry(EngineEntry next) {
    if (next.startedAtMs() < entry.startedAtMs()) {
      return this;
    }
    if (next.startedAtMs() > entry.startedAtMs()) {
      return of(next).withLoad(unused -> load);
    }
    return new EngineState(
        next, loadedModels.withListEntry(next), load, health, pace, stated, Timed.NEVER_MS);
  }

  EngineState withLoadedModels(UnaryOperator<LoadedModels> change) {
    return new EngineState(
        entry, change.apply(loadedModels), load, health, pace, stated, unlistedAtMs);
  }

  EngineState withLoad(UnaryOperator<Load> change) {
    return new EngineState(
        entry, loadedModels, change.apply(load), health, pace, stated, unlistedAtMs);
  }

  EngineState withHealth(UnaryOperator<EngineHealth> change) {
    return new EngineState(
        entry, loadedModels, load, change.apply(health), pace, stated, unlistedAtMs);
  }

  EngineState withPace(EnginePace value) {
    return new EngineState(entry, loadedModels, load, health, value, stated, unlistedAtMs);
  }

  EngineState withUnlistedAtMs(long value) {
    return new EngineState(entry, loadedModels, load, health, pace, stated, value);
  }

  EngineState withDraining() {
    return new EngineState(
        entry.withDraining(), loadedModels, load, health, pace, stated, unlistedAtMs);
  }

  /** Applies what this start of the engine has stated; statements of other starts are ignored. */
  EngineState withStated(StatedAvailability value) {
    return value.startedAtMs() == entry.startedAtMs()
        ? new EngineState(entry, loadedModels, load, health, pace, value, unlistedAtMs)
        : this;
  }

  /** Returns whether the engine stays, according to its entry and its own statements. */
  boolean usable() {
    return !entry.draining() && !stated.leaving();
  }

  /**
   * Returns whether this instance may send requests of any kind to the engine now. An engine that
   * stays but accepts none for a while still counts as a replica.
   */
  boolean mayReceive(long nowMs) {
    return usable() && nowMs >= stated.closedUntilMs();
  }

  boolean holds(ModelKey key) {
    return loadedModels.held().contains(key);
  }

  PSet<ModelKey> held() {
    return loadedModels.held();
  }
}
