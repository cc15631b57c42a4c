package org.limpetdoor.core.request;

import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Estimates of output lengths from completed requests.
 *
 * @param meanLogLengths exponential moving average of the logarithm of the length, in tokens, by
 *     customer and model
 */
record OutputLengths(PMap<Key, Double> meanLogLengths) {
  static final OutputLengths NONE = new OutputLengths(HashTreePMap.empty());

  /** Averages over about the last 20 requests. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** Factor over the typical length, so that ordinary variation is not classified as long work. */
  private static final double HEADROOM = 1.5;

  /** Identifies an estimate by customer and model. */
  record Key(CustomerId customer, ModelId model) {}

  /**
   * Returns the predicted length in tokens, at most the caller's bound, or the bound if there is no
   * sample.
   */
  int predict(Key key, int maxTokens) {
    Double meanLog = meanLogLengths.get(key);
    return meanLog == null ? maxTokens : (int) Math.min(maxTokens, Math.exp(meanLog) * HEADROOM);
  }

  /**
   * Returns the estimates with another sample. The average is over logarithms, so that a few very
   * long outputs do not dominate it.
   */
  OutputLengths withSample(Key key, int tokens) {
    double log = Math.log(Math.max(1, tokens));
    Double previous = meanLogLengths.get(key);
    double next = previous == null ? log : previous + SMOOTHING_FACTOR * (log - previous);
    return new OutputLengths(meanLogLengths.plus(key, next));
  }
}
