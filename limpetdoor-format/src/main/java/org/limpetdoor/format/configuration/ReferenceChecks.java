package org.limpetdoor.format.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.format.json.JsonValue;
import org.limpetdoor.format.json.JsonValue.ArrayValue;
import org.limpetdoor.format.json.Located;
import org.limpetdoor.format.json.ProblemKind;
import org.limpetdoor.format.json.Problems;

/** Checks that names are unique and that references name existing entries. */
final class ReferenceChecks {
  private final Entries entries;
  private final Problems problems;

  private ReferenceChecks(Entries entries, Problems problems) {
    this.entries = entries;
    this.problems = problems;
  }

  static void check(Entries entries, Problems problems) {
    ReferenceChecks checks = new ReferenceChecks(entries, problems);
    checks.checkContracts();
    checks.checkModels();
    checks.checkBackends();
  }

  private void checkContracts() {
    checkUnique(
        entries.contracts(), "customer", contract -> contract.customer().value(), new HashSet<>());
    Set<KeyDigest> seen = new HashSet<>();
    for (Located<Contract> contract : entries.contracts()) {
      List<KeyDigest> digests = contract.value().keyDigests();
      for (int i = 0; i < digests.size(); i++) {
        if (!seen.add(digests.get(i))) {
          addDuplicate(
              item(contract.field("keyDigests"), i),
              contract.path() + ".keyDigests[" + i + "]",
              digests.get(i).hex(),
              "a key digest that belongs to one customer");
        }
      }
    }
  }

  private void checkModels() {
    // Callers name models and adapters in the same field, so they share one namespace.
    Set<String> seen = new HashSet<>();
    checkUnique(entries.models(), "id", model -> model.id().value(), seen);
    checkUnique(entries.adapters(), "id", adapter -> adapter.id().value(), seen);
    Set<String> models = entries.declaredNames("models");
    for (var adapter : entries.adapters()) {
      String model = adapter.value().model().value();
      checkModelReference(models, model, adapter.field("model"), adapter.path() + ".model");
    }
    for (Located<Engine> engine : entries.engines()) {
      List<String> names =
          engine.value().initialModels().stream().map(model -> model.value()).toList();
      Set<String> initialModels = new HashSet<>();
      for (int i = 0; i < names.size(); i++) {
        JsonValue source = item(engine.field("initialModels"), i);
        String path = engine.path() + ".initialModels[" + i + "]";
        checkModelReference(models, names.get(i), source, path);
        if (!initialModels.add(names.get(i))) {
          addDuplicate(source, path, names.get(i), "each model once");
        }
      }
    }
  }

  private void checkBackends() {
    Set<String> backends = new HashSet<>();
    checkUnique(entries.engines(), "id", engine -> engine.id().value(), backends);
    checkUnique(entries.services(), "id", service -> service.id().value(), new HashSet<>());
    for (Located<PlainService> service : entries.services()) {
      var endpoints = service.value().endpoints();
      for (int i = 0; i < endpoints.size(); i++) {
        String id = endpoints.get(i).id().value();
        if (!backends.add(id)) {
          addDuplicate(
              item(service.field("endpoints"), i),
              service.path() + ".endpoints[" + i + "].id",
              id,
              "a name that no other engine or endpoint has");
        }
      }
    }
  }

  private <T> void checkUnique(
      List<Located<T>> section, String field, Function<T, String> name, Set<String> seen) {
    for (Located<T> entry : section) {
      String value = name.apply(entry.value());
      if (!seen.add(value)) {
        addDuplicate(
            entry.field(field), entry.path() + "." + field, value, "a name that is used once");
      }
    }
  }

  private void addDuplicate(JsonValue source, String path, String name, String accepted) {
    problems.add(ProblemKind.DUPLICATE_NAME, source.location(), path, name, accepted);
  }

  private void checkModelReference(Set<String> models, String name, JsonValue source, String path) {
    if (!models.contains(name)) {
      problems.add(
          ProblemKind.UNKNOWN_REFERENCE,
          source.location(),
          path,
          name,
          "the id of an entry of models");
    }
  }

  private static JsonValue item(JsonValue list, int index) {
    boolean hasItem = list instanceof ArrayValue array && index < array.items().size();
    return hasItem ? ((ArrayValue) list).items().get(index) : list;
  }
}
