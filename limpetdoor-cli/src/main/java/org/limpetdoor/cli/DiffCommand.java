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
@ExitCodes({
  ExitCode.INVALID_INPUT,
  ExitCode.LOG_UNAVAILABLE,
  ExitCode.HISTORY_INCOMPLETE,
  ExitCode.LOG_REFUSED,
  ExitCode.LATER_VERSION_NEEDED
})
public final class DiffCommand extends LogCommand {
  @Arguments(title = "FILE", description = "Configuration document")
  @Required
  private String file;

  @Override
  Report run(CliContext context) {
    Configuration content = Documents.readConfiguration(file).orThrow();
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
    addEntries(lines, "contract", patch.contracts(), Contract::customer, base.contracts());
    addEntries(lines, "model", patch.models(), Model::id, base.models());
    addEntries(lines, "adapter", patch.adapters(), Adapter::id, base.adapters());
    addEntries(lines, "engine", patch.engines(), Engine::id, base.engines());
    addEntries(lines, "service", patch.services(), PlainService::id, base.services());
    patch.limits().ifPresent(limits -> lines.add("change limits " + limits));
    addRemovals(lines, "contract", patch.removals().contracts());
    addRemovals(lines, "model", patch.removals().models());
    addRemovals(lines, "adapter", patch.removals().adapters());
    addRemovals(lines, "engine", patch.removals().engines());
    addRemovals(lines, "service", patch.removals().services());
    return lines;
  }

  private static <K, V> void addEntries(
      List<String> lines, String section, List<V> entries, Function<V, K> name, Map<K, V> base) {
    for (V entry : entries) {
      K key = name.apply(entry);
      String action = base.containsKey(key) ? "change" : "add";
      lines.add(action + " " + section + " " + key);
    }
  }

  private static void addRemovals(List<String> lines, String section, List<?> names) {
    names.forEach(name -> lines.add("remove " + section + " " + name));
  }
}
