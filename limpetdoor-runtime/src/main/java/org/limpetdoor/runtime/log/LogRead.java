package org.limpetdoor.runtime.log;

import java.util.List;
import org.limpetdoor.core.agreed.LogReader;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.event.RecordsRead;

/**
 * The result of a successful read of the log.
 *
 * @param records records in the order of their offsets
 * @param requestedAtMs time at which the read was requested, in monotonic milliseconds
 * @param reachesEnd whether the read reached the end of the log
 */
public record LogRead(List<StoredRecord> records, long requestedAtMs, boolean reachesEnd) {
  /** Copies the records. */
  public LogRead {
    records = List.copyOf(records);
  }

  /** Returns the event that passes the read to the reducer. */
  public RecordsRead toEvent(long atMs) {
    return new RecordsRead(atMs, records, reachesEnd ? requestedAtMs : LogReader.NEVER);
  }
}
