package org.limpetdoor.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.limpetdoor.core.config.ConfigurationPatch.Removals;
import org.pcollections.PMap;

/** Computes and applies patches section by section. */
final class ConfigurationDiff {
  private ConfigurationDiff() {}

  static ConfigurationPatch between(Configuration from, Configuration to) {
    Optional<PlatformLimits> limits =
        from.limits().equals(to.limits()) ? Optional.empty() : Optional.of(to.limits());
    return new ConfigurationPatch(
        changed(from.contracts(), to.contracts()),
        changed(from.models(), to.models()),
        changed(from.adapters(), to.adapters()),
        changed(from.engines(), to.engines()),
        changed(from.services(), to.services()),
        limits,
        new Removals(
            missing(from.contracts(), to.contracts()),
            missing(from.models(), to.models()),
            missing(from.adapters(), to.adapters()),
            missing(from.engines(), to.engines()),
            missing(from.services(), to.services())));
  }

  static Configuration apply(ConfigurationPatch patch, Configuration base) {
    Removals removals = patch.removals();
    Configuration result = base;
    if (!patch.contracts().isEmpty() || !removals.contracts().isEmpty()) {
      result =
          result.withContracts(
              merge(base.contracts(), removals.contracts(), patch.contracts(), Contract::customer));
    }
    if (!patch.models().isEmpty() || !removals.models().isEmpty()) {
      result =
          result.withModels(merge(base.models(), removals.models(), patch.models(), Model::id));
    }
    if (!patch.adapters().isEmpty() || !removals.adapters().isEmpty()) {
      result =
          result.withAdapters(
              merge(base.adapters(), removals.adapters(), patch.adapters(), Adapter::id));
    }
    if (!patch.engines().isEmpty() || !removals.engines().isEmpty()) {
      result =
          result.withEngines(
              merge(base.engines(), removals.engines(), patch.engines(), Engine::id));
    }
    if (!patch.services().isEmpty() || !removals.services().isEmpty()) {
      result =
          result.withServices(
              merge(base.services(), removals.services(), patch.services(), PlainService::id));
    }
    return result.withLimits(patch.limits().orElse(result.limits()));
  }

  private static <K extends Comparable<K>, V> List<V> changed(PMap<K, V> from, PMap<K, V> to) {
    return to.entrySet().stream()
        .filter(entry -> !entry.getValue().equals(from.get(entry.getKey())))
        .sorted(Map.Entry.comparingByKey())
        .map(Map.Entry::getValue)
        .toList();
  }

  private static <K extends Comparable<K>, V> List<K> missing(PMap<K, V> from, PMap<K, V> to) {
    List<K> names = new ArrayList<>(from.keySet());
    names.removeAll(to.keySet());
    names.sort(Comparator.naturalOrder());
    return names;
  }

  private static <K, V> Collection<V> merge(
      PMap<K, V> base, List<K> removed, List<V> added, Function<V, K> key) {
    PMap<K, V> map = base.minusAll(removed);
    for (V value : added) {
      map = map.plus(key.apply(value), value);
    }
    return map.values();
  }
}
