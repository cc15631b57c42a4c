package org.limpetdoor.core.request;

import java.util.List;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Paces of the engines of one model, and their medians. If all engines are slow together, so are
 * the medians, and none loses weight.
 *
 * @param paces paces by engine
 * @param medianFirstMs median time to first token, for each unit of prompt, or 0 if unmeasured
 * @param medianBetweenMs median time between tokens, in milliseconds, or 0 if unmeasured
 * @param mediansAtMs when the medians were computed, in monotonic milliseconds
 */
record ModelPace(
    PMap<BackendId, Pace> paces, double medianFirstMs, double medianBetweenMs, long mediansAtMs) {
  static final ModelPace UNMEASURED = new ModelPace(HashTreePMap.empty(), 0, 0, 0);

  /** Bounds the cost of the medians for models with many requests. */
  private static final long MEDIAN_INTERVAL_MS = 100;

  /** Engines without a sample for so long are forgotten, for example after their removal. */
  private static final long FORGET_MS = 60_000;

  double slowRatio(BackendId engine, long nowMs) {
    Pace pace = paces.get(engine);
    return pace == null ? 1 : pace.slowRatio(medianFirstMs, medianBetweenMs, nowMs);
  }

  ModelPace update(BackendId engine, UnaryOperator<Pace> change, long nowMs) {
    Pace pace = change.apply(paces.getOrDefault(engine, Pace.UNMEASURED));
    PMap<BackendId, Pace> next = paces.plus(engine, pace);
    return nowMs - mediansAtMs < MEDIAN_INTERVAL_MS
        ? new ModelPace(next, medianFirstMs, medianBetweenMs, mediansAtMs)
        : of(next, nowMs);
  }

  private static ModelPace of(PMap<BackendId, Pace> paces, long nowMs) {
    List<BackendId> old =
        paces.entrySet().stream()
            .filter(entry -> nowMs - entry.getValue().lastSampleMs() > FORGET_MS)
            .map(entry -> entry.getKey())
            .toList();
    PMap<BackendId, Pace> kept = paces.minusAll(old);
    return new ModelPace(
        kept, median(kept, Pace::firstToken), median(kept, Pace::betweenTokens), nowMs);
  }

  /** Returns the lower median, so that the slower one of two engines differs from it. */
  private static double median(PMap<BackendId, Pace> paces, Function<Pace, Pace.Average> average) {
    double[] sorted =
        paces.values().stream()
            .map(average)
            .filter(Pace.Average::measured)
            .mapToDouble(Pace.Average::valueMs)
            .sorted()
            .toArray();
    return sorted.length == 0 ? 0 : sorted[(sorted.length - 1) / 2];
  }
}
