package org.limpetdoor.core.gateway;

import org.limpetdoor.core.effect.FollowStore;

/**
 * What this instance knows of the store and of the age of its contents.
 *
 * @param reachable whether the store answers this instance, or the hub that reads it
 * @param recoveredAtMs time at which the store last started answering, in monotonic milliseconds
 * @param era latest known era of the store
 * @param eraSinceMs time at which this instance learned of the era, in monotonic milliseconds; 0 in
 *     era 0
 * @param listPosition end of the list of engines that was read
 * @param changedPosition end of the last range in which the list of engines changed
 * @param factsAsOfMs time as of which routes and engines are known, in monotonic milliseconds
 * @param intervalMs interval at which this instance reads the list of engines, in milliseconds, or
 *     {@link FollowStore#STOPPED}
 * @param requestedAtMs time of the last request for facts to a peer, in monotonic milliseconds
 */
record StoreView(
    boolean reachable,
    long recoveredAtMs,
    long era,
    long eraSinceMs,
    StorePosition listPosition,
    StorePosition changedPosition,
    long factsAsOfMs,
    long intervalMs,
    long requestedAtMs) {
  /** View of an instance that has just started. */
  static final StoreView INITIAL =
      new StoreView(
          false, 0, 0, 0, StorePosition.NONE, StorePosition.NONE, 0, FollowStore.STOPPED, 0);

  /** Interval of requests for facts to a peer, in milliseconds. */
  private static final long REQUEST_INTERVAL_MS = 500;

  boolean followed() {
    return intervalMs != FollowStore.STOPPED;
  }

  boolean requestDue(long nowMs) {
    return requestedAtMs == 0 || nowMs - requestedAtMs >= REQUEST_INTERVAL_MS;
  }

  /** Returns whether the store had been restored so recently that entries could be missing. */
  boolean isRelisting(long atMs, long relistMs) {
    return era > 0 && atMs >= eraSinceMs && atMs - eraSinceMs < relistMs;
  }

  StoreView withContact(boolean nowReachable, long nowMs) {
    long recovered = nowReachable && !reachable ? nowMs : recoveredAtMs;
    return new StoreView(
        nowReachable,
        recovered,
        era,
        eraSinceMs,
        listPosition,
        changedPosition,
        factsAsOfMs,
        intervalMs,
        requestedAtMs);
  }

  StoreView withEra(long value, long nowMs) {
    return new StoreView(
        reachable,
        recoveredAtMs,
        value,
        nowMs,
        listPosition,
        changedPosition,
        factsAsOfMs,
        intervalMs,
        requestedAtMs);
  }

  StoreView withListPosition(StorePosition value) {
    return new StoreView(
        reachable,
        recoveredAtMs,
        era,
        eraSinceMs,
        value,
        changedPosition,
        factsAsOfMs,
        intervalMs,
        requestedAtMs);
  }

  StoreView withChangedPosition(StorePosition value) {
    return new StoreView(
        reachable,
        recoveredAtMs,
        era,
        eraSinceMs,
        listPosition,
        value,
        factsAsOfMs,
        intervalMs,
        requestedAtMs);
  }

  /** Records that routes and engines are known as of a time, unless a later time is known. */
  StoreView withFactsAsOfMs(long value) {
    return new StoreView(
        reachable,
        recoveredAtMs,
        era,
        eraSinceMs,
        listPosition,
        changedPosition,
        Math.max(factsAsOfMs, value),
        intervalMs,
        requestedAtMs);
  }

  StoreView withIntervalMs(long value) {
    return new StoreView(
        reachable,
        recoveredAtMs,
        era,
        eraSinceMs,
        listPosition,
        changedPosition,
        factsAsOfMs,
        value,
        requestedAtMs);
  }

  StoreView withRequestedAtMs(long value) {
    return new StoreView(
        reachable,
        recoveredAtMs,
        era,
        eraSinceMs,
        listPosition,
        changedPosition,
        factsAsOfMs,
        intervalMs,
        value);
  }
}
