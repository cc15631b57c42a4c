package org.limpetdoor.runtime.log;

import java.util.List;
import org.limpetdoor.core.agreed.LogReader;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.event.RecordsRead;

/**
 * One answered read of the log.
 *
 * @param records the records, in the order of their offsets
 * @param requestedAtMs when the read was asked for, in monotonic milliseconds
 * @param reachesEnd whether the answer reaches the end of the log
 */
public record LogRead(List<StoredRecord> records, long requestedAtMs, boolean reachesEnd) {
  /** Copies the records. */
  public LogRead {
    records = List.copyOf(records);
  }

  /** Returns the event that tells the reducer of the read. */
  public RecordsRead event(long atMs) {
    return new RecordsRead(atMs, records, reachesEnd ? requestedAtMs : LogReader.NEVER);
  }
}
