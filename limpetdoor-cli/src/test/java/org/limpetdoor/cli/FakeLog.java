package org.limpetdoor.cli;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.limpetdoor.runtime.log.LogFailure;
import org.limpetdoor.runtime.log.LogService;
import org.limpetdoor.runtime.log.LogServiceException;

/** An in-memory log whose appends fail as scripted by a test. */
final class FakeLog implements LogService {
  private final List<byte[]> bodies = new ArrayList<>();
  private final Deque<Step> steps = new ArrayDeque<>();
  private long firstOffset;

  /** Scripted results of an append. */
  enum Step {
    /** The record is stored, but the response is lost. */
    LOSE_ANSWER(true, LogFailure.ANSWER_LOST),
    /** The request is lost on its way; to the client this looks like a lost response. */
    LOSE_REQUEST(false, LogFailure.ANSWER_LOST),
    /** No connection is established. */
    UNREACHABLE(false, LogFailure.UNREACHABLE);

    private final boolean storesRecord;
    private final LogFailure failure;

    Step(boolean storesRecord, LogFailure failure) {
      this.storesRecord = storesRecord;
      this.failure = failure;
    }
  }

  /** Sets the results of the next appends; later ones succeed. */
  void script(Step... next) {
    steps.addAll(List.of(next));
  }

  /** Appends a record of another client. */
  void add(byte[] body) {
    bodies.add(body);
  }

  void trimTo(long offset) {
    firstOffset = offset;
  }

  List<byte[]> bodies() {
    return bodies;
  }

  @Override
  public long append(byte[] body) {
    Step step = steps.poll();
    if (step == null || step.storesRecord) {
      bodies.add(body);
    }
    if (step != null) {
      throw new LogServiceException(step.failure, "fake", "scripted", null);
    }
    return bodies.size() - 1L;
  }

  @Override
  public Page read(long from, int max, int waitMs) {
    List<RawRecord> records = new ArrayList<>();
    for (int i = (int) Math.max(from, firstOffset);
        i < bodies.size() && records.size() < max;
        i++) {
      records.add(new RawRecord(i, bodies.get(i)));
    }
    return new Page(records, from + records.size(), firstOffset);
  }
}
