package org.limpetdoor.core.event;

import java.util.List;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.agreed.LogReader;
import org.limpetdoor.core.agreed.StoredRecord;

/**
 * Records of the platform log were read.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param records the records, in the order of their offsets
 * @param completeAtMs time at which the read was requested, in monotonic milliseconds, if its
 *     answer reaches the end of the log; otherwise {@link LogReader#NEVER}. The limits depend on
 *     this time: a read that was requested before a pause of the process does not contain records
 *     that were appended during the pause.
 */
public record RecordsRead(long atMs, List<StoredRecord> records, long completeAtMs)
    implements Event {
  /** Copies the records. */
  public RecordsRead {
    records = List.copyOf(records);
  }

  /**
   * Creates the event for a read that was answered immediately. Only an empty answer is known to
   * reach the end of the log.
   */
  public RecordsRead(long atMs, List<StoredRecord> records) {
    this(atMs, records, records.isEmpty() ? atMs : LogReader.NEVER);
  }

  @Override
  public EventKind kind() {
    return EventKind.RECORDS_READ;
  }
}
