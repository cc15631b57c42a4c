package org.limpetdoor.cli;

import com.fasterxml.jackson.databind.util.RawValue;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.limpetdoor.core.config.Adapter;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.format.configuration.ConfigurationWriter;

/** Compares a configuration document with the version in force. */
@Command(name = "diff", description = "Compares a document with the version in force")
public final class DiffCommand extends LogCommand {
  @Arguments(title = "FILE", description = "Configuration document")
  @Required
  private String file;

  @Override
  Report run(CliContext context) {
    Configuration content = Documents.configuration(file).orThrow();
    History history = new HistoryLog(openLog(context), context.retryDelayMs()).readAll();
    Configuration inForce = history.configuration();
    ConfigurationPatch patch = ConfigurationPatch.between(inForce, content);
    List<String> lines = new ArrayList<>();
    lines.add("version in force: " + history.version());
    lines.addAll(lines(patch, inForce));
    return Report.ok(
        lines,
        Map.of(
            "versionInForce", history.version(),
            "changed", !patch.isEmpty(),
            "patch", new RawValue(ConfigurationWriter.write(patch))));
  }

  private static List<String> lines(ConfigurationPatch patch, Configuration base) {
    List<String> lines = new ArrayList<>();
    put(lines, "contract", patch.contracts(), Contract::customer, base.contracts());
    put(lines, "model", patch.models(), Model::id, base.models());
    put(lines, "adapter", patch.adapters(), Adapter::id, base.adapters());
    put(lines, "engine", patch.engines(), Engine::id, base.engines());
    put(lines, "service", patch.services(), PlainService::id, base.services());
    patch.limits().ifPresent(limits -> lines.add("change limits " + limits));
    removed(lines, "contract", patch.removals().contracts());
    removed(lines, "model", patch.removals().models());
    removed(lines, "adapter", patch.removals().adapters());
    removed(lines, "engine", patch.removals().engines());
    removed(lines, "service", patch.removals().services());
    return lines;
  }

  private static <K, V> void put(
      List<String> lines, String section, List<V> entries, Function<V, K> name, Map<K, V> base) {
    for (V entry : entries) {
      K key = name.apply(entry);
      String verb = base.containsKey(key) ? "change" : "add";
      lines.add(verb + " " + section + " " + key);
    }
  }

  private static void removed(List<String> lines, String section, List<?> names) {
    names.forEach(name -> lines.add("remove " + section + " " + name));
  }
}
