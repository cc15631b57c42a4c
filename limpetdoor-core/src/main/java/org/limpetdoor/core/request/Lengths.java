package org.limpetdoor.core.request;

import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Output lengths learned from completed requests.
 *
 * @param meanLogs decayed mean of the logarithm of the length, by customer and model
 */
record Lengths(PMap<Key, Double> meanLogs) {
  static final Lengths NONE = new Lengths(HashTreePMap.empty());

  /** About the last 20 requests count. */
  private static final double STEP = 0.05;

  /** Headroom over the typical length, so that ordinary variation is not taken for long work. */
  private static final double HEADROOM = 1.5;

  /** Customer and model. */
  record Key(CustomerId customer, ModelId model) {}

  /** Returns the predicted length, at most the caller's bound; the bound if nothing is known. */
  int predict(Key key, int maxTokens) {
    Double meanLog = meanLogs.get(key);
    return meanLog == null ? maxTokens : (int) Math.min(maxTokens, Math.exp(meanLog) * HEADROOM);
  }

  /** Logarithms keep a few stragglers from making everything look long. */
  Lengths with(Key key, int tokens) {
    double log = Math.log(Math.max(1, tokens));
    Double known = meanLogs.get(key);
    double next = known == null ? log : known + STEP * (log - known);
    return new Lengths(meanLogs.plus(key, next));
  }
}
