package org.limpetdoor.core.gateway;

import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * Contents that engines have answered lately. They are kept in two generations, so that old ones
 * are dropped without a time for each.
 *
 * @param recent contents answered since the last change of generations
 * @param earlier contents answered in the generation before
 * @param changedAtMs time of the last change of generations, in monotonic milliseconds
 */
record AnsweredContents(PSet<Long> recent, PSet<Long> earlier, long changedAtMs) {
  static final AnsweredContents NONE =
      new AnsweredContents(HashTreePSet.empty(), HashTreePSet.empty(), 0);

  /** Age of a generation, in milliseconds. */
  private static final long GENERATION_MS = 60_000;

  /** Size of a generation; two of them take about 1 MB. */
  private static final int MAX_CONTENTS = 4_096;

  boolean contains(long content) {
    return recent.contains(content) || earlier.contains(content);
  }

  AnsweredContents with(long content, long nowMs) {
    if (recent.contains(content)) {
      return this;
    }
    boolean ended = recent.size() >= MAX_CONTENTS || nowMs - changedAtMs > GENERATION_MS;
    return ended
        ? new AnsweredContents(HashTreePSet.singleton(content), recent, nowMs)
        : new AnsweredContents(recent.plus(content), earlier, changedAtMs);
  }
}
