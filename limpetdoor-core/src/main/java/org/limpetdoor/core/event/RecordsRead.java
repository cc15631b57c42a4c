package org.limpetdoor.core.event;

import java.util.List;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.agreed.LogReader;
import org.limpetdoor.core.agreed.StoredRecord;

/**
 * Records of the platform log were read, in the order of their offsets.
 *
 * @param atMs when, in monotonic milliseconds
 * @param records the records
 * @param completeAtMs when the read was asked for, if its answer reaches the end of the log;
 *     otherwise {@link LogReader#NEVER}. The limits depend on it: a read that was asked for before
 *     a pause of the process does not show what was appended during the pause.
 */
public record RecordsRead(long atMs, List<StoredRecord> records, long completeAtMs)
    implements Event {
  /** Copies the records. */
  public RecordsRead {
    records = List.copyOf(records);
  }

  /**
   * A read that was answered at once; only an empty answer is known to reach the end of the log.
   */
  public RecordsRead(long atMs, List<StoredRecord> records) {
    this(atMs, records, records.isEmpty() ? atMs : LogReader.NEVER);
  }

  @Override
  public EventKind kind() {
    return EventKind.RECORDS_READ;
  }
}
