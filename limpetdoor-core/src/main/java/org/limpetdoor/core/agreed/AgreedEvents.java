package org.limpetdoor.core.agreed;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.Decision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.event.RecordsRead;

/** Reduces events of the platform log. */
public final class AgreedEvents {
  private AgreedEvents() {}

  /** Folds the records that were read. */
  public static Transition<NodeState, Effect> recordsRead(NodeState state, RecordsRead event) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (StoredRecord stored : event.records()) {
      result = result.then(current -> foldOne(current, stored));
    }
    return result;
  }

  private static Transition<NodeState, Effect> foldOne(NodeState state, StoredRecord stored) {
    Transition<AgreedState, Decision> folded = state.agreed().fold(stored);
    NodeState next = state.withAgreed(folded.state());
    return new Transition<>(
        next, folded.effects().stream().<Effect>map(RecordDecision::new).toList());
  }
}
