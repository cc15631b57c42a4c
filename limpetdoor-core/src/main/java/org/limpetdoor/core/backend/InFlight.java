package org.limpetdoor.core.backend;

import org.limpetdoor.core.id.AttemptId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Attempts that this instance has dispatched to one back end and that have not ended.
 *
 * @param fingerprints fingerprint of each attempt
 * @param isolated whether the only attempt is a crash suspect that must run in isolation
 */
public record InFlight(PMap<AttemptId, Long> fingerprints, boolean isolated) {
  /** No attempts. */
  public static final InFlight NONE = new InFlight(HashTreePMap.empty(), false);

  /** Returns the number of attempts. */
  public int size() {
    return fingerprints.size();
  }

  InFlight with(AttemptId attempt, long fingerprint, boolean isolatedRun) {
    return new InFlight(fingerprints.plus(attempt, fingerprint), isolatedRun);
  }

  InFlight without(AttemptId attempt) {
    return new InFlight(fingerprints.minus(attempt), false);
  }
}
