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
    return readOn(History.EMPTY);
  }

  /** Returns the given history extended to the end of the log. */
  History readOn(History known) {
    History history = known;
    while (true) {
      long from = history.agreed().nextOffset();
      LogService.Page page = retry.call(() -> log.read(from, PAGE_RECORDS, 0));
      requireRetained(from, page);
      for (LogService.RawRecord raw : page.records()) {
        StoredRecord stored = LogRecords.decode(raw);
        history = reducer.reduce(history, stored).state();
      }
      if (history.agreed().nextOffset() == from) {
        return history;
      }
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
