package org.limpetdoor.core.gateway;

import java.util.List;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Attempts that ended while their engines were silent, by engine. An engine whose machine is gone
 * closes no connection and looks like a slow one; which of them it is shows when it leaves the list
 * of engines without notice, or responds again.
 *
 * @param byEngine attempts since the last response of each engine
 */
record SilentAttempts(PMap<BackendId, PVector<SilentAttempt>> byEngine) {
  static final SilentAttempts NONE = new SilentAttempts(HashTreePMap.empty());

  /** Bounds the memory; an engine runs some tens of calls of an instance when it crashes. */
  private static final int MAX_ATTEMPTS = 200;

  /**
   * An attempt without a response.
   *
   * @param contents contents that may have crashed the engine
   * @param loss the loss of the engine, if it has crashed
   */
  record SilentAttempt(List<Long> contents, EngineLoss loss) {
    /** Copies the list. */
    SilentAttempt {
      contents = List.copyOf(contents);
    }
  }

  List<SilentAttempt> at(BackendId engine) {
    return byEngine.getOrDefault(engine, TreePVector.empty());
  }

  /** Adds an attempt, unless it is known already. */
  SilentAttempts with(BackendId engine, SilentAttempt attempt) {
    PVector<SilentAttempt> known = byEngine.getOrDefault(engine, TreePVector.empty());
    boolean added =
        known.size() < MAX_ATTEMPTS
            && known.stream().noneMatch(other -> other.loss().sameAttemptAs(attempt.loss()));
    return added ? new SilentAttempts(byEngine.plus(engine, known.plus(attempt))) : this;
  }

  SilentAttempts without(BackendId engine) {
    return byEngine.containsKey(engine) ? new SilentAttempts(byEngine.minus(engine)) : this;
  }
}
