package org.limpetdoor.runtime.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.runtime.decision.LogLine;

/** Reads the log on a thread of its own and hands the records on in order. */
public final class LogFollower implements AutoCloseable {
  /** Records of one read; bounds the time for which one event holds the control thread. */
  private static final int MAX_RECORDS = 200;

  /**
   * Longest wait of one read. Leases are neither renewed nor claimed after 5 s without a read, so a
   * quiet log must answer well before that.
   */
  private static final int WAIT_MS = 2_000;

  private static final long MIN_BACKOFF_MS = 100;

  /** Half of the 4 s within which a configuration is in force everywhere. */
  private static final long MAX_BACKOFF_MS = 2_000;

  private static final Logger LOG = System.getLogger(LogFollower.class.getName());

  private final LogService log;
  private final Consumer<List<StoredRecord>> records;
  private final ScheduledExecutorService thread;
  private volatile boolean hasRead;
  private volatile long nextOffset;
  private long backoffMs = MIN_BACKOFF_MS;

  /**
   * Creates a follower that begins at offset 0; {@link #start()} starts it.
   *
   * @param name name of the thread
   * @param log the log
   * @param records takes the records of each read; a read without records tells that the log
   *     answers
   */
  public LogFollower(String name, LogService log, Consumer<List<StoredRecord>> records) {
    this.log = log;
    this.records = records;
    this.thread = Executors.newSingleThreadScheduledExecutor(task -> daemon(task, name));
  }

  /** Starts to read. */
  public void start() {
    schedule(0);
  }

  /** Returns whether the log has answered at least once. */
  public boolean hasRead() {
    return hasRead;
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return nextOffset;
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }

  /** Any failure is followed by another read, since a follower that stops goes unnoticed. */
  private void readAndContinue() {
    try {
      read();
      backoffMs = MIN_BACKOFF_MS;
      schedule(0);
    } catch (RuntimeException e) {
      noteFailure(e);
      schedule(backoffMs);
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    }
  }

  private void read() {
    LogService.Page page = log.read(nextOffset, MAX_RECORDS, WAIT_MS);
    if (page.firstOffset() > nextOffset) {
      noteGap(page.firstOffset());
    }
    records.accept(page.records().stream().map(LogRecords::decode).toList());
    nextOffset = Math.max(nextOffset, page.nextOffset());
    hasRead = true;
  }

  private void schedule(long delayMs) {
    try {
      thread.schedule(this::readAndContinue, delayMs, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      LOG.log(Level.DEBUG, "event=log_follower_stopped next_offset=" + nextOffset);
    }
  }

  private void noteFailure(RuntimeException e) {
    if (thread.isShutdown()) {
      return;
    }
    LogLine line =
        LogLine.event("log_read_failed")
            .with("next_offset", nextOffset)
            .with("retry_after_ms", backoffMs)
            .with("reason", e.getMessage());
    LOG.log(Level.WARNING, line.toString());
  }

  private void noteGap(long firstOffset) {
    LogLine line =
        LogLine.event("log_records_gone")
            .with("next_offset", nextOffset)
            .with("first_offset", firstOffset);
    LOG.log(Level.WARNING, line.toString());
  }

  private static Thread daemon(Runnable task, String name) {
    Thread created = new Thread(task, name);
    created.setDaemon(true);
    return created;
  }
}
