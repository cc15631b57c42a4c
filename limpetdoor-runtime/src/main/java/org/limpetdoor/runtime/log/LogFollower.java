package org.limpetdoor.runtime.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.limpetdoor.core.PollSchedule;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.runtime.decision.LogLine;

/** Reads the log on its own thread and passes the records to a consumer in order. */
public final class LogFollower implements AutoCloseable {
  /** Limits the time for which the event of one read occupies the control thread. */
  private static final int MAX_RECORDS_PER_READ = 200;

  /**
   * Long-poll timeout of one read. Leases are neither renewed nor claimed after 5 s without a
   * completed read, so a read of an idle log must complete well before that.
   */
  private static final int LONG_POLL_TIMEOUT_MS = 2_000;

  private static final Logger LOG = System.getLogger(LogFollower.class.getName());

  private final LogService log;
  private final MonotonicClock clock;
  private final Consumer<LogRead> readConsumer;
  private final ScheduledExecutorService executor;
  private volatile boolean hasRead;
  private volatile long nextOffset;
  private PollSchedule schedule = PollSchedule.of(LONG_POLL_TIMEOUT_MS, 0);

  /**
   * Creates a follower that begins at offset 0. {@link #start()} starts its thread.
   *
   * @param name name of the thread
   * @param log log to read
   * @param clock clock for the times of reads
   * @param readConsumer receives each read, also one without records, which shows that the log is
   *     reachable
   */
  public LogFollower(
      String name, LogService log, MonotonicClock clock, Consumer<LogRead> readConsumer) {
    this.log = log;
    this.clock = clock;
    this.readConsumer = readConsumer;
    this.executor = Executors.newSingleThreadScheduledExecutor(task -> newDaemonThread(task, name));
  }

  /** Starts reading. */
  public void start() {
    scheduleRead(0);
  }

  /** Returns whether at least one read has succeeded. */
  public boolean hasRead() {
    return hasRead;
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return nextOffset;
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  /** Reads again after any failure, because nothing would report a follower that had stopped. */
  private void readAndReschedule() {
    long requestedAtMs = clock.nowMs();
    try {
      read(requestedAtMs);
      schedule = schedule.afterSuccess();
      scheduleRead(schedule.nextDelayMs(0));
    } catch (RuntimeException e) {
      schedule = schedule.afterFailure();
      long delayMs = schedule.nextDelayMs(clock.nowMs() - requestedAtMs);
      logReadFailure(e, delayMs);
      scheduleRead(delayMs);
    }
  }

  private void read(long requestedAtMs) {
    LogService.Page page = log.read(nextOffset, MAX_RECORDS_PER_READ, (int) schedule.nextWaitMs());
    if (page.firstOffset() > nextOffset) {
      logMissingRecords(page.firstOffset());
    }
    List<StoredRecord> decoded = page.records().stream().map(LogRecords::decode).toList();
    boolean reachesEnd = page.records().size() < MAX_RECORDS_PER_READ;
    readConsumer.accept(new LogRead(decoded, requestedAtMs, reachesEnd));
    nextOffset = Math.max(nextOffset, page.nextOffset());
    hasRead = true;
  }

  private void scheduleRead(long delayMs) {
    try {
      executor.schedule(this::readAndReschedule, delayMs, TimeUnit.MILLISECONDS);
    } catch (RejectedExecutionException e) {
      LOG.log(Level.DEBUG, "event=log_follower_stopped next_offset=" + nextOffset);
    }
  }

  private void logReadFailure(RuntimeException e, long retryAfterMs) {
    if (executor.isShutdown()) {
      return;
    }
    LogLine line =
        LogLine.event("log_read_failed")
            .with("next_offset", nextOffset)
            .with("retry_after_ms", retryAfterMs)
            .with("reason", e.getMessage());
    LOG.log(Level.WARNING, line.toString());
  }

  private void logMissingRecords(long firstOffset) {
    LogLine line =
        LogLine.event("log_records_gone")
            .with("next_offset", nextOffset)
            .with("first_offset", firstOffset);
    LOG.log(Level.WARNING, line.toString());
  }

  private static Thread newDaemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }
}
