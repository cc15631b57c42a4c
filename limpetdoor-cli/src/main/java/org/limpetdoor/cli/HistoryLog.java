package org.limpetdoor.cli;

import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.runtime.log.LogRecords;
import org.limpetdoor.runtime.log.LogService;

/** Reads the history of publications from the log. */
final class HistoryLog {
  private static final int PAGE_RECORDS = 500;
  private static final int MAX_READ_ATTEMPTS = 3;

  private final HistoryReducer reducer = new HistoryReducer();
  private final LogService log;
  private final Retry retry;

  HistoryLog(LogService log, int retryDelayMs) {
    this.log = log;
    this.retry = new Retry(MAX_READ_ATTEMPTS, retryDelayMs);
  }

  /** Returns the history up to the end of the log. */
  History readAll() {
    return readFurther(History.EMPTY);
  }

  /**
   * Returns the history up to and including an offset, or to the end of the log if it is shorter.
   */
  History readThrough(long offset) {
    return read(History.EMPTY, offset);
  }

  /** Returns the history extended to the end of the log. */
  History readFurther(History start) {
    return read(start, Long.MAX_VALUE);
  }

  private History read(History start, long lastOffset) {
    History history = start;
    while (true) {
      long from = history.agreed().nextOffset();
      LogService.Page page = retry.call(() -> log.read(from, PAGE_RECORDS, 0));
      requireRetained(from, page);
      for (LogService.RawRecord raw : page.records()) {
        if (raw.offset() > lastOffset) {
          return history;
        }
        StoredRecord stored = LogRecords.decode(raw);
        history = reducer.reduce(history, stored).state();
      }
      requireReadable(history);
      if (history.agreed().nextOffset() == from) {
        return history;
      }
    }
  }

  // A publication based on only part of the log would undo records that this version cannot read.
  private static void requireReadable(History history) {
    if (history.agreed().stopped()) {
      throw new CliException(
          ExitCode.LATER_VERSION_NEEDED,
          "the record at offset " + history.agreed().nextOffset() + " needs a later reader",
          null);
    }
  }

  private static void requireRetained(long from, LogService.Page page) {
    if (page.firstOffset() > from) {
      throw new CliException(
          ExitCode.HISTORY_INCOMPLETE,
          "the log holds records from offset "
              + page.firstOffset()
              + " only, needed are those from "
              + from,
          null);
    }
  }
}
