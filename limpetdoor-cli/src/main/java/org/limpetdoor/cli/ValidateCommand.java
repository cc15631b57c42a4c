package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.config.Configuration;

/** Checks a configuration document and reports all its problems. */
@Command(name = "validate", description = "Checks a configuration document")
@ExitCodes({ExitCode.INVALID_INPUT})
public final class ValidateCommand extends CliCommand {
  @Arguments(title = "FILE", description = "Configuration document")
  @Required
  private String file;

  @Override
  Report run(CliContext context) {
    Configuration content = Documents.readConfiguration(file).orThrow();
    Map<String, Object> counts = new LinkedHashMap<>();
    counts.put("contracts", content.contracts().size());
    counts.put("models", content.models().size());
    counts.put("adapters", content.adapters().size());
    counts.put("engines", content.engines().size());
    counts.put("services", content.services().size());
    return Report.ok(List.of(file + ": valid " + counts), counts);
  }
}
