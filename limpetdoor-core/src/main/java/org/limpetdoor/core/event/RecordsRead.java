package org.limpetdoor.core.event;

import java.util.List;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.agreed.StoredRecord;

/**
 * Records of the platform log were read, in the order of their offsets.
 *
 * @param atMs when, in monotonic milliseconds
 * @param records the records
 */
public record RecordsRead(long atMs, List<StoredRecord> records) implements Event {
  /** Copies the records. */
  public RecordsRead {
    records = List.copyOf(records);
  }

  @Override
  public EventKind kind() {
    return EventKind.RECORDS_READ;
  }
}
