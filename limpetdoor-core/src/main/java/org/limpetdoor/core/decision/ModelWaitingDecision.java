package org.limpetdoor.core.decision;

import java.util.List;
import java.util.Locale;
import org.limpetdoor.core.gateway.ModelKey;
import org.limpetdoor.core.gateway.PlacementObstacle;

/**
 * A model or adapter that calls have requested for some time and no engine holds.
 *
 * @param model the model or adapter
 * @param service service whose engines should hold it
 * @param obstacle why it was not ordered
 * @param waitingMs time since it was first requested, in milliseconds
 * @param baseEngines number of usable engines that hold the base model
 */
public record ModelWaitingDecision(
    ModelKey model, String service, PlacementObstacle obstacle, long waitingMs, int baseEngines)
    implements Decision {
  @Override
  public DecisionKind kind() {
    return DecisionKind.MODEL_WAITING;
  }

  @Override
  public String subject() {
    return model.toString();
  }

  @Override
  public List<Field> fields() {
    return List.of(
        Field.of("service", service),
        Field.of("reason", obstacle.name().toLowerCase(Locale.ROOT)),
        Field.of("waiting_ms", waitingMs),
        Field.of("base_engines", baseEngines));
  }
}
