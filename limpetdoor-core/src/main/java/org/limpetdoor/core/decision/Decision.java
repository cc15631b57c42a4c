package org.limpetdoor.core.decision;

import java.util.List;

/**
 * The typed reason of one decision. The log line, the metric and the operator's explanation are all
 * made from it, so that they cannot disagree.
 */
public sealed interface Decision
    permits AdmissionDecision,
        AgreementDecision,
        CallDecision,
        ConfigurationDecision,
        DrainDecision,
        EngineOrderDecision,
        GatewayDecision,
        LogStopDecision,
        PlacementDecision,
        QueueAgeAlarm,
        RoutingDecision {
  /** Returns the kind, the name of the event in log lines. */
  DecisionKind kind();

  /** Returns what the decision is about, for example a request identifier. */
  String subject();

  /** Returns the remaining fields in the order of the log line. */
  List<Field> fields();

  /**
   * One field of a log line.
   *
   * @param key name with its unit as suffix
   * @param value value as text
   */
  record Field(String key, String value) {
    /** Returns a field with the text of a value. */
    public static Field of(String key, Object value) {
      return new Field(key, String.valueOf(value));
    }
  }
}
