package org.limpetdoor.core.agreed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * Records that this instance appends to the log. At most one append is in flight. Records that wait
 * meanwhile are batched into the next one, because the log accepts only several hundred appends per
 * second from the whole fleet.
 *
 * @param lastSequence sequence number of the last append, 0 before the first
 * @param inFlight the append that is not confirmed
 * @param waiting records for the next appends
 */
public record Outbox(long lastSequence, Optional<InFlight> inFlight, PVector<LogRecord> waiting) {
  /** An empty outbox. */
  public static final Outbox EMPTY = new Outbox(0, Optional.empty(), TreePVector.empty());

  /** Maximum number of records in one append. The renewals of all 64 shards fit into one. */
  static final int MAX_BATCH_RECORDS = 64;

  /** Maximum number of waiting records, to bound the memory used during an outage of the log. */
  static final int MAX_WAITING_RECORDS = 4096;

  /**
   * An append that is not confirmed.
   *
   * @param envelope what is appended; a repeat carries the same identifier
   * @param attempts number of times it was sent, from 1
   */
  public record InFlight(Envelope envelope, int attempts) {}

  /** Returns whether another record can be added. */
  public boolean hasCapacity() {
    return waiting.size() < MAX_WAITING_RECORDS;
  }

  /**
   * Returns a copy with one more waiting record. Nothing is added if the outbox is full or an equal
   * record is waiting.
   */
  public Outbox plus(LogRecord content) {
    if (!hasCapacity() || waiting.contains(content)) {
      return this;
    }
    return new Outbox(lastSequence, inFlight, waiting.plus(content));
  }

  /** Returns whether a record waits or is in flight. */
  public boolean contains(LogRecord content) {
    return waiting.contains(content)
        || inFlight
            .filter(sent -> records(sent.envelope().content()).contains(content))
            .isPresent();
  }

  /** Returns whether a snapshot waits or is in flight. */
  public boolean hasSnapshot() {
    return waiting.stream().anyMatch(LogRecord.SnapshotTaken.class::isInstance)
        || inFlight
            .filter(sent -> sent.envelope().content() instanceof LogRecord.SnapshotTaken)
            .isPresent();
  }

  /** Returns the records of an append. */
  public static List<LogRecord> records(LogRecord content) {
    return content instanceof LogRecord.Batch batch ? batch.records() : List.of(content);
  }

  /** Returns a copy in which the next records are in flight, if there are any and none are now. */
  Outbox withNextInFlight(String appender) {
    if (inFlight.isPresent() || waiting.isEmpty()) {
      return this;
    }
    List<LogRecord> batch = nextBatch();
    LogRecord content = batch.size() == 1 ? batch.get(0) : new LogRecord.Batch(batch);
    Envelope envelope = new Envelope(new AppendId(appender, lastSequence + 1), content);
    PVector<LogRecord> remaining = waiting;
    for (int i = 0; i < batch.size(); i++) {
      remaining = remaining.minus(0);
    }
    return new Outbox(lastSequence + 1, Optional.of(new InFlight(envelope, 1)), remaining);
  }

  Outbox withRetry() {
    Optional<InFlight> retried = inFlight.map(f -> new InFlight(f.envelope(), f.attempts() + 1));
    return new Outbox(lastSequence, retried, waiting);
  }

  Outbox withoutInFlight() {
    return new Outbox(lastSequence, Optional.empty(), waiting);
  }

  boolean isInFlight(AppendId id) {
    return inFlight.filter(sent -> sent.envelope().id().equals(id)).isPresent();
  }

  /**
   * Returns the records of the next append. A snapshot is appended on its own, because it is as
   * large as all other records together.
   */
  private List<LogRecord> nextBatch() {
    List<LogRecord> batch = new ArrayList<>();
    for (LogRecord content : waiting) {
      boolean isSnapshot = content instanceof LogRecord.SnapshotTaken;
      if (batch.size() == MAX_BATCH_RECORDS || (isSnapshot && !batch.isEmpty())) {
        return batch;
      }
      batch.add(content);
      if (isSnapshot) {
        return batch;
      }
    }
    return batch;
  }
}
