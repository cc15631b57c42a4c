package org.limpetdoor.core.decision;

import java.util.List;

/**
 * Decision to stop reading the log, because a record requires a later reader version.
 *
 * @param offset offset of the record
 * @param minReaderVersion lowest reader version that may fold the record
 * @param readerVersion reader version of this instance
 */
public record LogStopDecision(long offset, long minReaderVersion, long readerVersion)
    implements Decision {
  @Override
  public DecisionKind kind() {
    return DecisionKind.LOG_STOP;
  }

  @Override
  public String subject() {
    return String.valueOf(offset);
  }

  @Override
  public List<Field> fields() {
    return List.of(
        Field.of("reason", "later_reader_needed"),
        Field.of("min_reader_version", minReaderVersion),
        Field.of("reader_version", readerVersion));
  }
}
