package org.limpetdoor.format.configuration;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.limpetdoor.core.config.Adapter;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.format.json.JsonValue;
import org.limpetdoor.format.json.JsonValue.ArrayValue;
import org.limpetdoor.format.json.JsonValue.ObjectValue;
import org.limpetdoor.format.json.JsonValue.TextValue;
import org.limpetdoor.format.json.Located;

/** The valid entries of a configuration document, with their locations. */
record Entries(
    JsonValue root,
    List<Located<Contract>> contracts,
    List<Located<Model>> models,
    List<Located<Adapter>> adapters,
    List<Located<Engine>> engines,
    List<Located<PlainService>> services,
    PlatformLimits limits) {

  /**
   * Returns the names that a section declares, including those of invalid entries, so that a
   * reference to an invalid entry is not reported as a second problem.
   */
  Set<String> declaredNames(String section) {
    Set<String> names = new HashSet<>();
    for (JsonValue item : items(section)) {
      if (item instanceof ObjectValue object
          && object.member("id").isPresent()
          && object.member("id").get().value() instanceof TextValue text) {
        names.add(text.text());
      }
    }
    return names;
  }

  /** Returns whether every entry of a section is valid, so that sums over it are meaningful. */
  boolean isComplete(String section, List<?> read) {
    return read.size() == items(section).size();
  }

  /** Returns the JSON value of a section, or the whole document if it is absent. */
  JsonValue section(String name) {
    return root instanceof ObjectValue object
        ? object.member(name).map(JsonValue.Member::value).orElse(root)
        : root;
  }

  Configuration toConfiguration() {
    return Configuration.EMPTY
        .withContracts(values(contracts))
        .withModels(values(models))
        .withAdapters(values(adapters))
        .withEngines(values(engines))
        .withServices(values(services))
        .withLimits(limits);
  }

  private List<JsonValue> items(String section) {
    return section(section) instanceof ArrayValue array ? array.items() : List.of();
  }

  private static <T> List<T> values(List<Located<T>> entries) {
    return entries.stream().map(Located::value).toList();
  }
}
