package org.limpetdoor.core.agreed;

import java.util.Optional;
import org.limpetdoor.core.agreed.LogRecord.SnapshotTaken;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Progress of this instance in reading the log.
 *
 * @param buffered records after a gap, in the order of their offsets. They are folded when a
 *     snapshot closes the gap, or when the missing records arrive.
 * @param lastReadMs time of the last read of the log, even if it returned no record, or {@link
 *     #NEVER}
 * @param lastSnapshotMs time at which a snapshot was last read, or the start of the instance
 * @param lastSnapshotOffset offset of that snapshot, or {@link #NEVER}
 */
public record LogReader(
    PVector<StoredRecord> buffered, long lastReadMs, long lastSnapshotMs, long lastSnapshotOffset) {
  /** Time or offset of something that has not happened. */
  public static final long NEVER = -1;

  /** A reader that has read nothing. */
  public static final LogReader INITIAL = new LogReader(TreePVector.empty(), NEVER, 0, NEVER);

  /** Returns whether records are missing between the fold and the records read last. */
  public boolean hasGap() {
    return !buffered.isEmpty();
  }

  /** Returns a copy that records a read of the log. */
  public LogReader withReadAt(long nowMs) {
    return new LogReader(buffered, nowMs, lastSnapshotMs, lastSnapshotOffset);
  }

  /** Returns a copy that records a snapshot. */
  public LogReader withSnapshot(long nowMs, long offset) {
    return new LogReader(buffered, lastReadMs, nowMs, offset);
  }

  LogReader withBuffered(PVector<StoredRecord> value) {
    return new LogReader(value, lastReadMs, lastSnapshotMs, lastSnapshotOffset);
  }

  /**
   * Returns a copy with one more buffered record. A further gap discards the records before it,
   * because they cannot be used without the missing ones.
   */
  LogReader buffer(StoredRecord stored) {
    if (buffered.isEmpty()) {
      return withBuffered(buffered.plus(stored));
    }
    long lastOffset = buffered.get(buffered.size() - 1).offset();
    if (stored.offset() <= lastOffset) {
      return this;
    }
    boolean adjacent = stored.offset() == lastOffset + 1;
    return withBuffered(adjacent ? buffered.plus(stored) : TreePVector.singleton(stored));
  }

  /**
   * Returns the state of a record if it is a snapshot that closes the gap before the buffered
   * records.
   */
  Optional<AgreedState> snapshotClosingGap(StoredRecord stored) {
    if (hasGap() && stored.envelope().content() instanceof SnapshotTaken snapshot) {
      boolean closes = snapshot.state().nextOffset() >= buffered.get(0).offset();
      return closes ? Optional.of(snapshot.state()) : Optional.empty();
    }
    return Optional.empty();
  }
}
