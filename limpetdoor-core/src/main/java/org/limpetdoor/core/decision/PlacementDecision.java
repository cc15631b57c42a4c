package org.limpetdoor.core.decision;

import java.util.List;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;

/**
 * Says why the holder of a lease does something about an engine.
 *
 * @param engine the engine
 * @param model the model
 * @param intentId the intent
 * @param reason what is done and why
 */
public record PlacementDecision(
    BackendId engine, ModelId model, String intentId, PlacementReason reason) implements Decision {
  @Override
  public DecisionKind kind() {
    return DecisionKind.PLACEMENT;
  }

  @Override
  public String subject() {
    return engine.value();
  }

  @Override
  public List<Field> fields() {
    return List.of(
        Field.of("model", model),
        Field.of("intent", intentId),
        Field.of("result", reason.result()),
        Field.of("reason", reason.label()));
  }
}
