package org.limpetdoor.core.request;

import java.util.Comparator;
import org.limpetdoor.core.id.RequestId;

/**
 * Entry of a request in a queue, ordered by arrival.
 *
 * @param sequence sequence number of the arrival at this instance
 * @param arrivedAtMs time of arrival, in monotonic milliseconds
 * @param request identifier of the request
 */
record QueueEntry(long sequence, long arrivedAtMs, RequestId request)
    implements Comparable<QueueEntry> {
  private static final Comparator<QueueEntry> ORDER =
      Comparator.comparingLong(QueueEntry::sequence);

  @Override
  public int compareTo(QueueEntry other) {
    return ORDER.compare(this, other);
  }
}
