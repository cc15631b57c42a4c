package org.limpetdoor.core.request;

import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Output lengths learned from completed requests.
 *
 * @param meanLogLengths decayed mean of the logarithm of the length, by customer and model
 */
record OutputLengths(PMap<Key, Double> meanLogLengths) {
  static final OutputLengths NONE = new OutputLengths(HashTreePMap.empty());

  /** About the last 20 requests count. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** Headroom over the typical length, so that ordinary variation is not taken for long work. */
  private static final double HEADROOM = 1.5;

  /** Customer and model. */
  record Key(CustomerId customer, ModelId model) {}

  /** Returns the predicted length, at most the caller's bound; the bound if nothing is known. */
  int predict(Key key, int maxTokens) {
    Double meanLog = meanLogLengths.get(key);
    return meanLog == null ? maxTokens : (int) Math.min(maxTokens, Math.exp(meanLog) * HEADROOM);
  }

  /** Logarithms keep a few stragglers from making everything look long. */
  OutputLengths withSample(Key key, int tokens) {
    double log = Math.log(Math.max(1, tokens));
    Double previous = meanLogLengths.get(key);
    double next = previous == null ? log : previous + SMOOTHING_FACTOR * (log - previous);
    return new OutputLengths(meanLogLengths.plus(key, next));
  }
}
