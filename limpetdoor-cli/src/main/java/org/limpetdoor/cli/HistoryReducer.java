package org.limpetdoor.cli;

import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.decision.ConfigurationDecision;
import org.limpetdoor.core.decision.Decision;

/** Folds records in the same way as instances do, and collects the results of publications. */
final class HistoryReducer implements Reducer<History, StoredRecord, Decision> {
  @Override
  public Transition<History, Decision> reduce(History history, StoredRecord stored) {
    Transition<AgreedState, Decision> folded = history.agreed().fold(stored);
    History next = new History(folded.state(), history.publications());
    for (Decision decision : folded.effects()) {
      if (decision instanceof ConfigurationDecision result) {
        next = next.withPublication(new History.Publication(stored.envelope().id(), result));
      }
    }
    return new Transition<>(next, folded.effects());
  }
}
