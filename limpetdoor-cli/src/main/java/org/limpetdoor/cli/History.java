package org.limpetdoor.cli;

import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.decision.ConfigurationDecision;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What the log says about publications up to an offset.
 *
 * @param agreed the fold of the records
 * @param publications publications in order, with the result of each
 */
record History(AgreedState agreed, PVector<Publication> publications) {
  static final History EMPTY = new History(AgreedState.INITIAL, TreePVector.empty());

  /**
   * A publication and its result.
   *
   * @param id identifier of the append
   * @param decision result
   */
  record Publication(AppendId id, ConfigurationDecision decision) {}

  History plus(Publication publication) {
    return new History(agreed, publications.plus(publication));
  }

  long version() {
    return agreed.configurationVersion();
  }

  Configuration configuration() {
    return agreed.configuration();
  }
}
