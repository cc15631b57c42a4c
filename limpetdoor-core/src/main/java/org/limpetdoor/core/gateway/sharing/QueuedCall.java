package org.limpetdoor.core.gateway.sharing;

/**
 * What the order of the waiting calls depends on.
 *
 * @param id number of the call, ascending in the order of arrival
 * @param account account of the caller, or a name that callers without an account share
 * @param begun whether the caller has received part of a response
 * @param priority priority; 0 is the most urgent
 * @param cost cost that the call will add to the use of its account; 0 if it is part of it already
 * @param work length of the call, in tokens
 * @param arrivedAtMs arrival time, in monotonic milliseconds
 */
public record QueuedCall(
    long id,
    String account,
    boolean begun,
    int priority,
    double cost,
    long work,
    long arrivedAtMs) {
  /**
   * Time by which a call that is longer by one token may be overtaken by later ones, in
   * milliseconds. Calls that differ by 1,000 tokens change places if they arrive within a quarter
   * of a second; without the bound, short calls would keep long ones from ever being served.
   */
  private static final double MS_PER_TOKEN = 0.25;

  /** Returns the key of the order within an account: short calls first, within bounds. */
  double dueMs() {
    return arrivedAtMs + work * MS_PER_TOKEN;
  }
}
