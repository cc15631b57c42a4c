package org.limpetdoor.bench.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Figures of one policy at one site over all seeds; the first figure is plotted. */
final class Figures {
  private final Map<String, List<Double>> values = new LinkedHashMap<>();

  void add(String name, double value) {
    values.computeIfAbsent(name, k -> new ArrayList<>()).add(value);
  }

  Map<String, Sample> samples() {
    Map<String, Sample> samples = new LinkedHashMap<>();
    values.forEach((name, list) -> samples.put(name, Sample.of(list)));
    return samples;
  }
}
