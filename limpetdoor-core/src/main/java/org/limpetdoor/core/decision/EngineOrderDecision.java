package org.limpetdoor.core.decision;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.limpetdoor.core.gateway.EngineOrder;
import org.limpetdoor.core.gateway.EngineOrderResult;

/**
 * An order that is sent to an engine, or its result.
 *
 * @param order the order
 * @param result the result, or empty when the order is sent
 */
public record EngineOrderDecision(EngineOrder order, Optional<EngineOrderResult> result)
    implements Decision {
  @Override
  public DecisionKind kind() {
    return DecisionKind.ENGINE_ORDER;
  }

  @Override
  public String subject() {
    return order.engine().value();
  }

  @Override
  public List<Field> fields() {
    return List.of(
        Field.of("order", order.number()),
        Field.of("action", order.action().name().toLowerCase(Locale.ROOT)),
        Field.of("target", order.target()),
        Field.of("source", order.source().name().toLowerCase(Locale.ROOT)),
        Field.of("fencing_number", order.fencingNumber()),
        Field.of("expected_orders", order.expectedOrders()),
        Field.of("reason", result.map(r -> r.name().toLowerCase(Locale.ROOT)).orElse("sent")));
  }
}
