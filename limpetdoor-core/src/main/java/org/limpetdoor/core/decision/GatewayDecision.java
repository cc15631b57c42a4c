package org.limpetdoor.core.decision;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.limpetdoor.core.event.RoutesRead;
import org.limpetdoor.core.gateway.EngineEntry;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.FleetRole;

/**
 * A change of the configuration, dependencies, engines or placement duty of an instance that
 * forwards calls.
 *
 * @param kind kind of the change
 * @param subject subject of the change, for example an engine
 * @param fields further fields, in the order of the log line
 */
public record GatewayDecision(DecisionKind kind, String subject, List<Field> fields)
    implements Decision {
  /** Copies the fields. */
  public GatewayDecision {
    fields = List.copyOf(fields);
  }

  /** Returns the decision that records a change to another version of the routes. */
  public static GatewayDecision routes(long replaced, long version, RoutesRead.Source source) {
    return new GatewayDecision(
        DecisionKind.ROUTES,
        Long.toString(version),
        List.of(
            Field.of("replaced", replaced),
            Field.of("source", source.name().toLowerCase(Locale.ROOT))));
  }

  /** Returns the decision that records that the store became reachable or unreachable. */
  public static GatewayDecision storeContact(boolean reachable) {
    String state = reachable ? "reachable" : "unreachable";
    return new GatewayDecision(DecisionKind.DEPENDENCY, "store", List.of(Field.of("state", state)));
  }

  /**
   * Returns the decision that records a later era of the store.
   *
   * @param replaced era that was known before; 0 also if none was
   */
  public static GatewayDecision storeEra(long replaced, long era, RoutesRead.Source source) {
    return new GatewayDecision(
        DecisionKind.STORE_ERA,
        Long.toString(era),
        List.of(
            Field.of("replaced", replaced),
            Field.of("source", source.name().toLowerCase(Locale.ROOT))));
  }

  /** Returns the decision that records that an engine was added, restarted or is leaving. */
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

  /** Returns the decision that records that an engine stated that it is shutting down. */
  public static GatewayDecision engineLeaving(BackendId id) {
    return new GatewayDecision(
        DecisionKind.ENGINE, id.value(), List.of(Field.of("state", "leaving")));
  }

  /** Returns the decision that records that an engine accepts no requests for a while. */
  public static GatewayDecision engineClosed(BackendId id, long closedMs) {
    return new GatewayDecision(
        DecisionKind.ENGINE,
        id.value(),
        List.of(Field.of("state", "closed"), Field.of("closed_ms", closedMs)));
  }

  /**
   * Returns the decision that records that calls with a content are refused for a while.
   *
   * @param content hash of the content: a prompt part or a whole request
   * @param losses number of engines that were lost in sequence while they ran such calls
   * @param bannedMs time for which such calls are refused, in milliseconds
   */
  public static GatewayDecision contentBanned(long content, int losses, long bannedMs) {
    return new GatewayDecision(
        DecisionKind.CONTENT_BANNED,
        Long.toHexString(content),
        List.of(Field.of("losses", losses), Field.of("banned_ms", bannedMs)));
  }

  /** Returns the decision that records that an engine is no longer listed. */
  public static GatewayDecision engineGone(BackendId id) {
    return new GatewayDecision(DecisionKind.ENGINE, id.value(), List.of(Field.of("state", "gone")));
  }

  /**
   * Returns the decision that records that the placement duty was granted to this instance or
   * ended.
   */
  public static GatewayDecision duty(boolean held, long fencingNumber) {
    return new GatewayDecision(
        DecisionKind.DUTY,
        "placement",
        List.of(
            Field.of("state", held ? "held" : "released"),
            Field.of("fencing_number", fencingNumber)));
  }

  /** Returns the decision that records the role of this instance, and the hub of a spoke. */
  public static GatewayDecision fleetRole(FleetRole role, Optional<InstanceId> hub) {
    return new GatewayDecision(
        DecisionKind.FLEET_ROLE,
        role.name().toLowerCase(Locale.ROOT),
        List.of(Field.of("hub", hub.map(InstanceId::value).orElse("none"))));
  }
}
