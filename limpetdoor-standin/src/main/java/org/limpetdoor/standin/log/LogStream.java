package org.limpetdoor.standin.log;

import java.util.Base64;
import java.util.List;
import java.util.stream.LongStream;
import org.limpetdoor.core.Timed;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * One stream of records.
 *
 * @param firstOffset offset of the first retained record
 * @param retained the retained records, in order of their offsets
 */
record LogStream(long firstOffset, PVector<StoredRecord> retained) {
  static final LogStream EMPTY = new LogStream(0, TreePVector.empty());

  long nextOffset() {
    return firstOffset + retained.size();
  }

  LogStream append(long nowMs, String body, LogSettings settings) {
    LogStream extended = new LogStream(firstOffset, retained.plus(new StoredRecord(nowMs, body)));
    int limit = settings.retainRecords();
    return limit > 0 && extended.retained.size() > limit ? extended.withoutFirst() : extended;
  }

  LogStream expire(long nowMs, long retainMs) {
    LogStream stream = this;
    while (!stream.retained.isEmpty() && stream.retained.get(0).atMs + retainMs <= nowMs) {
      stream = stream.withoutFirst();
    }
    return stream;
  }

  long nextExpiryMs(long retainMs) {
    return retained.isEmpty() ? Timed.NEVER_MS : retained.get(0).atMs + retainMs;
  }

  /**
   * Returns records from an offset on, or from the first retained record if the offset is older.
   */
  ReadResponse read(long from, int max) {
    long start = Math.max(from, firstOffset);
    long end = Math.min(nextOffset(), start + max);
    List<ReadRecord> records =
        LongStream.range(start, end)
            .mapToObj(
                offset -> new ReadRecord(offset, retained.get((int) (offset - firstOffset)).body))
            .toList();
    return new ReadResponse(records, nextOffset(), firstOffset);
  }

  private LogStream withoutFirst() {
    return new LogStream(firstOffset + 1, retained.minus(0));
  }

  static String encode(byte[] body) {
    return Base64.getEncoder().encodeToString(body);
  }

  /** A record with its append time in monotonic milliseconds and its body in base64. */
  record StoredRecord(long atMs, String body) {}

  /** A record of the read response, with its body in base64. */
  public record ReadRecord(long offset, String body) {}

  /** Body of the response to a read request. */
  public record ReadResponse(List<ReadRecord> records, long nextOffset, long firstOffset) {}
}
