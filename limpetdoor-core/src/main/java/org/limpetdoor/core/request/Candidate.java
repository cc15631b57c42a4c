package org.limpetdoor.core.request;

import org.limpetdoor.core.config.Backend;
import org.limpetdoor.core.id.ZoneId;

/**
 * A back end that this instance uses, with precomputed values for routing.
 *
 * @param backend the back end
 * @param hash hash of the identifier of the back end
 * @param remote whether the back end is in another zone than this instance
 */
record Candidate(Backend backend, long hash, boolean remote) {
  static Candidate of(Backend backend, ZoneId ownZone) {
    return new Candidate(
        backend, Rendezvous.hash(backend.id().value()), !backend.zone().equals(ownZone));
  }
}
