package org.limpetdoor.cli;

import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.decision.ConfigurationDecision;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The history of publications in the log up to an offset.
 *
 * @param agreed state folded from the records
 * @param publications publications with their results, in log order
 */
record History(AgreedState agreed, PVector<Publication> publications) {
  static final History EMPTY = new History(AgreedState.INITIAL, TreePVector.empty());

  /**
   * A publication and its result.
   *
   * @param id append identifier of the publication
   * @param decision result of the publication
   */
  record Publication(AppendId id, ConfigurationDecision decision) {}

  History withPublication(Publication publication) {
    return new History(agreed, publications.plus(publication));
  }

  long version() {
    return agreed.configurationVersion();
  }

  Configuration configuration() {
    return agreed.configuration();
  }
}
