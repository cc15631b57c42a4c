package org.limpetdoor.core.decision;

import java.util.List;

/**
 * The typed reason of one decision. Its log line, its metric and its explanation for operators are
 * all derived from this object, so that they cannot disagree.
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
        ModelWaitingDecision,
        PlacementDecision,
        QueueAgeAlarm,
        RoutingDecision {
  /** Returns the kind, which determines the event name in log lines. */
  DecisionKind kind();

  /** Returns the subject of the decision, for example a request identifier. */
  String subject();

  /** Returns the remaining fields in the order of the log line. */
  List<Field> fields();

  /**
   * One field of a log line.
   *
   * @param key name, with the unit as suffix
   * @param value value as text
   */
  record Field(String key, String value) {
    /** Returns a field with the text of a value. */
    public static Field of(String key, Object value) {
      return new Field(key, String.valueOf(value));
    }
  }
}
