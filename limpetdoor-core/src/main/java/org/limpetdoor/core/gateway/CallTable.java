package org.limpetdoor.core.gateway;

import java.util.Map;
import java.util.function.Predicate;
import org.limpetdoor.core.gateway.sharing.ShareLedger;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * The open calls.
 *
 * @param open open calls by number
 * @param waiting numbers of the calls that wait for an engine
 * @param absentSinceMs models that calls found absent, with the time at which the first call did,
 *     in monotonic milliseconds
 * @param shares observations that the sharing of capacity among accounts depends on
 */
record CallTable(
    PMap<Long, Call> open,
    TreePSet<Long> waiting,
    PMap<ModelKey, Long> absentSinceMs,
    ShareLedger shares) {
  static final CallTable EMPTY =
      new CallTable(
          HashTreePMap.empty(), TreePSet.empty(), HashTreePMap.empty(), ShareLedger.EMPTY);

  /**
   * Time for which a model is recorded as absent, in milliseconds. A later call starts a new
   * estimate.
   */
  private static final long ABSENCE_RETENTION_MS = 10_000;

  /** Returns a copy that records a model as absent, unless it is recorded already. */
  CallTable withAbsent(ModelKey model, long nowMs) {
    return absentSinceMs.containsKey(model)
        ? this
        : new CallTable(open, waiting, absentSinceMs.plus(model, nowMs), shares);
  }

  /** Returns a copy without the models that are loaded now, or were found absent long ago. */
  CallTable withoutAbsent(Predicate<ModelKey> loaded, long nowMs) {
    PMap<ModelKey, Long> remaining = absentSinceMs;
    for (Map.Entry<ModelKey, Long> entry : absentSinceMs.entrySet()) {
      boolean outdated = nowMs - entry.getValue() > ABSENCE_RETENTION_MS;
      remaining =
          outdated || loaded.test(entry.getKey()) ? remaining.minus(entry.getKey()) : remaining;
    }
    return new CallTable(open, waiting, remaining, shares);
  }

  CallTable with(Call call) {
    return new CallTable(open.plus(call.spec().id(), call), waiting, absentSinceMs, shares);
  }

  CallTable without(long id) {
    return new CallTable(open.minus(id), waiting.minus(id), absentSinceMs, shares);
  }

  CallTable withWaiting(long id) {
    return new CallTable(open, waiting.plus(id), absentSinceMs, shares);
  }

  CallTable withoutWaiting(long id) {
    return new CallTable(open, waiting.minus(id), absentSinceMs, shares);
  }

  CallTable withShares(ShareLedger value) {
    return new CallTable(open, waiting, absentSinceMs, value);
  }

  /** Returns how long the oldest waiting call has waited, in milliseconds; 0 if none waits. */
  long oldestWaitMs(long nowMs) {
    return waiting.isEmpty() ? 0 : nowMs - open.get(waiting.first()).arrivedAtMs();
  }
}
