package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.MinOccurrences;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Explains a call from the log files of gateways. */
@Command(
    name = "explain-logs",
    description = "Explains a call from log files of gateways, the newest line first")
@ExitCodes({ExitCode.INVALID_INPUT, ExitCode.UNKNOWN_REQUEST})
public final class ExplainLogsCommand extends CliCommand {
  /** Number of lines between progress messages; reading them takes about a second. */
  private static final int PROGRESS_LINES = 500_000;

  @Arguments(
      title = {"CALL", "FILE"},
      description = "Identifier of the call, and the log files to read")
  @Required
  @MinOccurrences(occurrences = 2)
  private List<String> arguments = new ArrayList<>();

  @Override
  Report run(CliContext context) {
    String call = arguments.get(0);
    CallTimeline timeline = new CallTimeline(call);
    for (String file : arguments.subList(1, arguments.size())) {
      read(Path.of(file), timeline, context);
    }
    List<String> lines = timeline.lines();
    if (lines.isEmpty()) {
      return Report.failed(ExitCode.UNKNOWN_REQUEST, "no line names the call " + call);
    }
    return Report.ok(lines, Map.of("call", call, "lines", lines));
  }

  private static void read(Path file, CallTimeline timeline, CliContext context) {
    try (BufferedReader reader = Files.newBufferedReader(file)) {
      int count = 0;
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        timeline.add(file.getFileName().toString(), line);
        count++;
        if (count % PROGRESS_LINES == 0) {
          context.progress().accept("read " + count + " lines of " + file);
        }
      }
    } catch (IOException e) {
      throw new CliException(
          ExitCode.INVALID_INPUT, "cannot read " + file + ": " + e.getMessage(), e);
    }
  }
}
