package org.limpetdoor.core.decision;

import java.util.List;
import org.limpetdoor.core.agreed.FoldResult;

/**
 * Result of folding a record of the log into the agreed state.
 *
 * @param offset offset of the record
 * @param record kind of the record
 * @param about subject of the record, for example an intent
 * @param result whether the record was accepted, and the reason
 */
public record AgreementDecision(long offset, String record, String about, FoldResult result)
    implements Decision {
  @Override
  public DecisionKind kind() {
    return DecisionKind.AGREEMENT;
  }

  @Override
  public String subject() {
    return String.valueOf(offset);
  }

  @Override
  public List<Field> fields() {
    return List.of(
        Field.of("record", record),
        Field.of("about", about),
        Field.of("result", result.accepted() ? "accepted" : "rejected"),
        Field.of("reason", result.label()));
  }
}
