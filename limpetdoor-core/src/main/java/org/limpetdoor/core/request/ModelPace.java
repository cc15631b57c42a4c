package org.limpetdoor.core.request;

import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Paces of the engines of one model, and their medians. Engines are compared with the medians, so
 * no engine is penalized if all of them are slow.
 *
 * @param paces paces by engine
 * @param medianFirstTokenMs median time to first token, in milliseconds for each token of the
 *     prompt and of the fixed cost, or 0 if unmeasured
 * @param medianTokenIntervalMs median time between tokens, in milliseconds, or 0 if unmeasured
 * @param mediansComputedAtMs time at which the medians were computed, in monotonic milliseconds
 */
record ModelPace(
    PMap<BackendId, Pace> paces,
    double medianFirstTokenMs,
    double medianTokenIntervalMs,
    long mediansComputedAtMs) {
  static final ModelPace UNMEASURED = new ModelPace(HashTreePMap.empty(), 0, 0, 0);

  /** Bounds the cost of computing the medians for models with many requests. */
  private static final long MEDIAN_INTERVAL_MS = 100;

  /** Engines without a sample for this time are dropped, for example after their removal. */
  private static final long SAMPLE_RETENTION_MS = 60_000;

  double slowRatio(BackendId engine, long nowMs) {
    Pace pace = paces.get(engine);
    return pace == null ? 1 : pace.slowRatio(medianFirstTokenMs, medianTokenIntervalMs, nowMs);
  }

  ModelPace update(BackendId engine, UnaryOperator<Pace> change, long nowMs) {
    Pace pace = change.apply(paces.getOrDefault(engine, Pace.UNMEASURED));
    PMap<BackendId, Pace> next = paces.plus(engine, pace);
    return nowMs - mediansComputedAtMs < MEDIAN_INTERVAL_MS
        ? new ModelPace(next, medianFirstTokenMs, medianTokenIntervalMs, mediansComputedAtMs)
        : of(next, nowMs);
  }

  private static ModelPace of(PMap<BackendId, Pace> paces, long nowMs) {
    List<BackendId> expired =
        paces.entrySet().stream()
            .filter(entry -> nowMs - entry.getValue().lastSampleAtMs() > SAMPLE_RETENTION_MS)
            .map(entry -> entry.getKey())
            .toList();
    PMap<BackendId, Pace> retained = paces.minusAll(expired);
    return new ModelPace(
        retained, median(retained, Pace::firstToken), median(retained, Pace::tokenInterval), nowMs);
  }

  /** Returns the lower median, so that the slower of two engines deviates from it. */
  private static double median(PMap<BackendId, Pace> paces, Function<Pace, Pace.Average> average) {
    double[] sorted =
        paces.values().stream()
            .map(average)
            .filter(Pace.Average::isMeasured)
            .mapToDouble(Pace.Average::valueMs)
            .sorted()
            .toArray();
    return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
  }
}
