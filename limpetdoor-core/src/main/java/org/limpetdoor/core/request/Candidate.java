package org.limpetdoor.core.request;

import org.limpetdoor.core.config.Backend;
import org.limpetdoor.core.id.ZoneId;

/**
 * A back end that this instance uses, with what routing needs of it precomputed.
 *
 * @param backend the back end
 * @param hash hash of its identifier
 * @param remote whether it is in another zone than this instance
 */
record Candidate(Backend backend, long hash, boolean remote) {
  static Candidate of(Backend backend, ZoneId ownZone) {
    return new Candidate(
        backend, Rendezvous.hash(backend.id().value()), !backend.zone().equals(ownZone));
  }
}
