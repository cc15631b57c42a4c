package org.limpetdoor.bench.experiment;

import java.util.List;
import java.util.Locale;

/** Mean and standard deviation of a figure over seeds. */
record Sample(double mean, double deviation) {
  static Sample of(List<Double> values) {
    double mean = values.stream().mapToDouble(v -> v).average().orElse(0);
    double squares = values.stream().mapToDouble(v -> (v - mean) * (v - mean)).sum();
    return new Sample(mean, Math.sqrt(squares / Math.max(1, values.size() - 1)));
  }

  /** Returns the 99th percentile, or 0 if there are no values. */
  static double p99(List<Long> values) {
    List<Long> sorted = values.stream().sorted().toList();
    return sorted.isEmpty() ? 0 : sorted.get((int) Math.ceil(sorted.size() * 0.99) - 1);
  }

  @Override
  public String toString() {
    String format = mean >= 100 ? "%.0f ± %.0f" : "%.3f ± %.3f";
    return String.format(Locale.ROOT, format, mean, deviation);
  }
}
