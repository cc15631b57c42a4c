package org.limpetdoor.runtime.log;

import java.util.List;

/**
 * One stream of the platform's append-only log. Calls block, so they must not be made on the
 * control thread.
 */
public interface LogService {
  /**
   * Appends a record.
   *
   * @return offset of the appended record
   * @throws LogServiceException if the call failed; {@link LogServiceException#failure()} tells
   *     whether the record may have been appended
   */
  long append(byte[] body);

  /**
   * Reads records.
   *
   * @param from offset of the first record to read, at least 0
   * @param max largest number of records to return, at least 1
   * @param waitMs longest time to wait for a record if there is none, in milliseconds, at least 0
   * @throws LogServiceException if the call failed
   */
  Page read(long from, int max, int waitMs);

  /**
   * An encoded record in the log.
   *
   * @param offset offset in the log, from 0
   * @param body encoded record
   */
  // Records are identified by offset, and copying the bodies would double the memory of a page.
  @SuppressWarnings("ArrayRecordComponent")
  record RawRecord(long offset, byte[] body) {}

  /**
   * A page of consecutive records.
   *
   * @param records records in the order of their offsets
   * @param nextOffset offset of the next record to read
   * @param firstOffset offset of the oldest record that the log retains
   */
  record Page(List<RawRecord> records, long nextOffset, long firstOffset) {
    /** Copies the list. */
    public Page {
      records = List.copyOf(records);
    }
  }
}
