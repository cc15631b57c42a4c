package org.limpetdoor.core.decision;

import java.util.List;
import java.util.Locale;
import org.limpetdoor.core.event.RoutesRead;
import org.limpetdoor.core.gateway.EngineEntry;
import org.limpetdoor.core.id.BackendId;

/**
 * A change of what the instance believes of its surroundings.
 *
 * @param kind what changed
 * @param subject what it concerns
 * @param fields what decided it
 */
public record GatewayDecision(DecisionKind kind, String subject, List<Field> fields)
    implements Decision {
  /** Copies the fields. */
  public GatewayDecision {
    fields = List.copyOf(fields);
  }

  /** Another version of the routes is in force. */
  public static GatewayDecision routes(long before, long now, RoutesRead.Source source) {
    return new GatewayDecision(
        DecisionKind.ROUTES,
        Long.toString(now),
        List.of(
            Field.of("replaced", before),
            Field.of("source", source.name().toLowerCase(Locale.ROOT))));
  }

  /** The store began or ceased to answer. */
  public static GatewayDecision storeContact(boolean reachable) {
    String state = reachable ? "reachable" : "unreachable";
    return new GatewayDecision(DecisionKind.DEPENDENCY, "store", List.of(Field.of("state", state)));
  }

  /** An engine is new, started again or is leaving. */
  public static GatewayDecision engine(EngineEntry entry) {
    return new GatewayDecision(
        DecisionKind.ENGINE,
        entry.id().value(),
        List.of(
            Field.of("state", entry.draining() ? "draining" : "ready"),
            Field.of("service", entry.service()),
            Field.of("address", entry.address()),
            Field.of("started_at_ms", entry.startedAtMs()),
            Field.of("orders_accepted", entry.ordersAccepted())));
  }

  /** An engine is listed no more. */
  public static GatewayDecision engineGone(BackendId id) {
    return new GatewayDecision(DecisionKind.ENGINE, id.value(), List.of(Field.of("state", "gone")));
  }

  /** The placement duty was dealt to this instance or taken from it. */
  public static GatewayDecision duty(boolean held, long fencingNumber) {
    return new GatewayDecision(
        DecisionKind.DUTY,
        "placement",
        List.of(
            Field.of("state", held ? "held" : "released"),
            Field.of("fencing_number", fencingNumber)));
  }
}
