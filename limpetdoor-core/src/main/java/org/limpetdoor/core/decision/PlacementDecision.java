package org.limpetdoor.core.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;

/**
 * Decision of a lease holder about the placement of a model on an engine.
 *
 * @param engine the engine
 * @param model the model
 * @param intentId identifier of the intent
 * @param reason the action and its reason
 * @param basis input of the planner, if the decision is a plan
 */
public record PlacementDecision(
    BackendId engine,
    ModelId model,
    String intentId,
    PlacementReason reason,
    Optional<PlanBasis> basis)
    implements Decision {
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
    List<Field> fields = new ArrayList<>();
    fields.add(Field.of("model", model));
    fields.add(Field.of("intent", intentId));
    fields.add(Field.of("result", reason.result()));
    fields.add(Field.of("reason", reason.label()));
    basis.ifPresent(plan -> fields.addAll(plan.fields()));
    return List.copyOf(fields);
  }
}
