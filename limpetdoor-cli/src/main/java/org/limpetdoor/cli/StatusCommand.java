package org.limpetdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Shows the state of instances. */
@Command(name = "status", description = "Shows the state of instances")
@ExitCodes({ExitCode.INSTANCE_UNAVAILABLE, ExitCode.INSTANCE_REFUSED})
public final class StatusCommand extends CliCommand {
  private static final long TIMEOUT_MS = 5_000;

  @Option(
      name = {"--instance"},
      title = "ADDR",
      description = "Operator address of an instance as ip:port; may be repeated")
  @Required
  private List<String> instances = new ArrayList<>();

  /** Reports the state or failure of each instance; the first failure sets the exit code. */
  @Override
  Report run(CliContext context) {
    List<String> addresses =
        instances.stream().map(text -> Addresses.parse("--instance", text)).toList();
    ExitCode exitCode = ExitCode.OK;
    List<String> lines = new ArrayList<>();
    List<JsonNode> statuses = new ArrayList<>();
    List<Map<String, Object>> failures = new ArrayList<>();
    for (String address : addresses) {
      try {
        JsonNode status = context.operators().apply(address).status(TIMEOUT_MS);
        statuses.add(status);
        lines.addAll(StatusLines.of(address, status));
      } catch (InstanceException e) {
        exitCode = exitCode == ExitCode.OK ? e.failure().exitCode() : exitCode;
        failures.add(e.fields());
        lines.add(e.line());
      }
    }
    return new Report(exitCode, lines, Map.of("instances", statuses, "failures", failures));
  }
}
