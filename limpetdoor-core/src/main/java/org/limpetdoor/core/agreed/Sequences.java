package org.limpetdoor.core.agreed;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;

/**
 * Last append of each appender, to detect repeated appends.
 *
 * @param byAppender last append of each appender
 * @param byOffset the same appenders in the order of their last append
 */
public record Sequences(PMap<String, LastAppend> byAppender, TreePMap<Long, String> byOffset) {
  /** No appends. */
  public static final Sequences EMPTY = new Sequences(HashTreePMap.empty(), TreePMap.empty());

  /**
   * Maximum number of recorded appenders. 420 instances with 730 restarts a day fill 4096 entries
   * in five days; an append is repeated within minutes.
   */
  static final int MAX_APPENDERS = 4096;

  /**
   * The last append of an appender.
   *
   * @param sequence its sequence number
   * @param offset its offset in the log
   */
  public record LastAppend(long sequence, long offset) {}

  /** Returns whether an append was folded before. */
  public boolean contains(AppendId id) {
    LastAppend last = byAppender.get(id.appender());
    return last != null && last.sequence() >= id.sequence();
  }

  /**
   * Returns a copy with an append. If there are too many appenders, the one with the oldest append
   * is evicted.
   */
  public Sequences plus(AppendId id, long offset) {
    LastAppend last = byAppender.get(id.appender());
    TreePMap<Long, String> order = last == null ? byOffset : byOffset.minus(last.offset());
    PMap<String, LastAppend> map =
        byAppender.plus(id.appender(), new LastAppend(id.sequence(), offset));
    Sequences next = new Sequences(map, order.plus(offset, id.appender()));
    return map.size() > MAX_APPENDERS ? next.withoutOldest() : next;
  }

  private Sequences withoutOldest() {
    long oldest = byOffset.firstKey();
    return new Sequences(byAppender.minus(byOffset.get(oldest)), byOffset.minus(oldest));
  }
}
