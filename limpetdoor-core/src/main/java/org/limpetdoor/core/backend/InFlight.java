package org.limpetdoor.core.backend;

import org.limpetdoor.core.id.AttemptId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Attempts of this instance that were dispatched to one back end and have not ended.
 *
 * @param fingerprints fingerprint of each attempt
 * @param alone whether the only attempt is a crash suspect that must run alone
 */
public record InFlight(PMap<AttemptId, Long> fingerprints, boolean alone) {
  /** No attempts. */
  public static final InFlight NONE = new InFlight(HashTreePMap.empty(), false);

  /** Returns the number of attempts. */
  public int size() {
    return fingerprints.size();
  }

  InFlight with(AttemptId attempt, long fingerprint, boolean suspect) {
    return new InFlight(fingerprints.plus(attempt, fingerprint), suspect);
  }

  InFlight without(AttemptId attempt) {
    return new InFlight(fingerprints.minus(attempt), false);
  }
}
