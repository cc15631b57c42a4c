package org.limpetdoor.runtime.log;

import java.util.List;

/** One stream of the platform's append-only log. Calls block, so traffic threads make them. */
public interface LogService {
  /**
   * Appends a record.
   *
   * @return offset of the record
   * @throws LogServiceException if the log refused the record, or if its answer was lost and the
   *     record may have been appended (see {@link LogServiceException#failure()})
   */
  long append(byte[] body);

  /**
   * Reads records.
   *
   * @param from offset of the first record to read, at least 0
   * @param max largest number of records, at least 1
   * @param waitMs longest wait for a record if there is none, in milliseconds, at least 0
   * @throws LogServiceException if the log does not answer or answers in another form
   */
  Page read(long from, int max, int waitMs);

  /**
   * A record as the log keeps it.
   *
   * @param offset place in the log, from 0
   * @param body bytes of the record
   */
  // Records are told apart by offset, and a copy of each body would double the memory of a page.
  @SuppressWarnings("ArrayRecordComponent")
  record RawRecord(long offset, byte[] body) {}

  /**
   * Consecutive records.
   *
   * @param records records in order of offsets
   * @param nextOffset offset to read from next
   * @param firstOffset offset of the oldest record that the log still keeps
   */
  record Page(List<RawRecord> records, long nextOffset, long firstOffset) {
    /** Copies the list. */
    public Page {
      records = List.copyOf(records);
    }
  }
}
