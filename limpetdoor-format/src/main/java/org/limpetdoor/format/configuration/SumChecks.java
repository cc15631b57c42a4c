package org.limpetdoor.format.configuration;

import java.util.HashMap;
import java.util.Map;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.format.json.JsonValue;
import org.limpetdoor.format.json.Located;
import org.limpetdoor.format.json.ProblemKind;
import org.limpetdoor.format.json.Problems;

/**
 * Checks sums of values that are each in range: guaranteed shares and the memory that models need.
 * Sums over a section are checked only if all its entries are valid, because the sum would
 * otherwise be incomplete.
 */
final class SumChecks {
  // Ten shares of 0.1 do not add up to exactly 1 in binary floating point.
  private static final double SHARE_TOLERANCE = 1e-9;

  private final Entries entries;
  private final Problems problems;

  private SumChecks(Entries entries, Problems problems) {
    this.entries = entries;
    this.problems = problems;
  }

  static void check(Entries entries, Problems problems) {
    SumChecks checks = new SumChecks(entries, problems);
    if (entries.isComplete("contracts", entries.contracts())) {
      checks.checkShares();
    }
    boolean models = entries.isComplete("models", entries.models());
    boolean engines = entries.isComplete("engines", entries.engines());
    if (models && engines) {
      checks.checkInitialModels();
      checks.checkReplicas();
    }
  }

  private void checkShares() {
    double sum =
        entries.contracts().stream().mapToDouble(each -> each.value().guaranteedShare()).sum();
    if (sum > 1 + SHARE_TOLERANCE) {
      addImpossibleSum(
          entries.section("contracts"),
          "contracts",
          "the guaranteedShare values add up to " + sum,
          "at most 1.0");
    }
  }

  private void checkInitialModels() {
    Map<ModelId, Model> models = new HashMap<>();
    entries.models().forEach(model -> models.put(model.value().id(), model.value()));
    for (Located<Engine> engine : entries.engines()) {
      long requiredMib =
          engine.value().initialModels().stream()
              .filter(models::containsKey)
              .mapToLong(id -> models.get(id).memoryMib())
              .sum();
      if (requiredMib > engine.value().memoryMib()) {
        addImpossibleSum(
            engine.field("initialModels"),
            engine.path() + ".initialModels",
            "the models need " + requiredMib + " MiB",
            "at most the memoryMib of the engine, " + engine.value().memoryMib());
      }
    }
  }

  private void checkReplicas() {
    long requiredMib = 0;
    for (Located<Model> entry : entries.models()) {
      Model model = entry.value();
      requiredMib += (long) model.memoryMib() * model.minReplicas();
      checkReplicaEngines(entry);
    }
    long availableMib =
        entries.engines().stream().mapToLong(each -> each.value().memoryMib()).sum();
    if (requiredMib > availableMib) {
      addImpossibleSum(
          entries.section("models"),
          "models",
          "the minReplicas of all models need " + requiredMib + " MiB",
          "at most the memory of all engines, " + availableMib + " MiB");
    }
  }

  private void checkReplicaEngines(Located<Model> entry) {
    Model model = entry.value();
    long engineCount =
        entries.engines().stream()
            .filter(engine -> engine.value().memoryMib() >= model.memoryMib())
            .count();
    if (model.minReplicas() > engineCount) {
      addImpossibleSum(
          entry.field("minReplicas"),
          entry.path() + ".minReplicas",
          model.minReplicas() + " replicas of " + model.memoryMib() + " MiB",
          "at most one on each engine with enough memory, " + engineCount);
    }
  }

  private void addImpossibleSum(JsonValue source, String path, String found, String accepted) {
    problems.add(ProblemKind.IMPOSSIBLE_SUM, source.location(), path, found, accepted);
  }
}
