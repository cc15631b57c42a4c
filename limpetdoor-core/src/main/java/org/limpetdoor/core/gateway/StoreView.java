package org.limpetdoor.core.gateway;

import org.limpetdoor.core.effect.FollowStore;

/**
 * What this instance knows of the store and of the age of its contents.
 *
 * @param reachable whether the store answers this instance, or the hub that reads it
 * @param recoveredAtMs time at which the store last started answering, in monotonic milliseconds
 * @param listOffset end offset of the list of engines, or -1 before the first one
 * @param changedOffset end offset of the last range in which the list of engines changed, or -1
 * @param factsAsOfMs time as of which routes and engines are known, in monotonic milliseconds
 * @param intervalMs interval at which this instance reads the list of engines, in milliseconds, or
 *     {@link FollowStore#STOPPED}
 * @param requestedAtMs time of the last request for facts to a peer, in monotonic milliseconds
 */
record StoreView(
    boolean reachable,
    long recoveredAtMs,
    long listOffset,
    long changedOffset,
    long factsAsOfMs,
    long intervalMs,
    long requestedAtMs) {
  /** View of an instance that has just started. */
  static final StoreView INITIAL = new StoreView(false, 0, -1, -1, 0, FollowStore.STOPPED, 0);

  /** Interval of requests for facts to a peer, in milliseconds. */
  private static final long REQUEST_INTERVAL_MS = 500;

  boolean followed() {
    return intervalMs != FollowStore.STOPPED;
  }

  boolean requestDue(long nowMs) {
    return requestedAtMs == 0 || nowMs - requestedAtMs >= REQUEST_INTERVAL_MS;
  }

  StoreView withContact(boolean nowReachable, long nowMs) {
    long recovered = nowReachable && !reachable ? nowMs : recoveredAtMs;
    return new StoreView(
        nowReachable, recovered, listOffset, changedOffset, factsAsOfMs, intervalMs, requestedAtMs);
  }

  StoreView withListOffset(long value) {
    return new StoreView(
        reachable, recoveredAtMs, value, changedOffset, factsAsOfMs, intervalMs, requestedAtMs);
  }

  StoreView withChangedOffset(long value) {
    return new StoreView(
        reachable, recoveredAtMs, listOffset, value, factsAsOfMs, intervalMs, requestedAtMs);
  }

  /** Records that routes and engines are known as of a time, unless a later time is known. */
  StoreView withFactsAsOfMs(long value) {
    return new StoreView(
        reachable,
        recoveredAtMs,
        listOffset,
        changedOffset,
        Math.max(factsAsOfMs, value),
        intervalMs,
        requestedAtMs);
  }

  StoreView withIntervalMs(long value) {
    return new StoreView(
        reachable, recoveredAtMs, listOffset, changedOffset, factsAsOfMs, value, requestedAtMs);
  }

  StoreView withRequestedAtMs(long value) {
    return new StoreView(
        reachable, recoveredAtMs, listOffset, changedOffset, factsAsOfMs, intervalMs, value);
  }
}
