package org.limpetdoor.core.request;

import java.util.Comparator;
import org.limpetdoor.core.id.RequestId;

/**
 * Place of a request in a queue.
 *
 * @param sequence order of arrival at this instance
 * @param arrivedMs time of arrival, in monotonic milliseconds
 * @param request the request
 */
record Waiting(long sequence, long arrivedMs, RequestId request) implements Comparable<Waiting> {
  private static final Comparator<Waiting> ORDER = Comparator.comparingLong(Waiting::sequence);

  @Override
  public int compareTo(Waiting other) {
    return ORDER.compare(this, other);
  }
}
