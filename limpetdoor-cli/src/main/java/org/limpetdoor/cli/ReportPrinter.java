package org.limpetdoor.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.limpetdoor.format.json.ValueTypes;

/** Prints reports: JSON and successes to standard output, failures to standard error. */
final class ReportPrinter {
  private final ObjectMapper mapper = new ObjectMapper();
  private final PrintStream out;
  private final PrintStream err;

  ReportPrinter(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  ExitCode print(Report report, boolean json) {
    if (json) {
      out.println(toJson(report));
      return report.exitCode();
    }
    PrintStream stream = report.exitCode() == ExitCode.OK ? out : err;
    report.lines().forEach(stream::println);
    if (!report.exitCode().nextStep().isEmpty()) {
      stream.println("next: " + report.exitCode().nextStep());
    }
    return report.exitCode();
  }

  private String toJson(Report report) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("result", ValueTypes.lowerCaseName(report.exitCode()));
    fields.putAll(report.fields());
    if (!report.exitCode().nextStep().isEmpty()) {
      fields.put("nextStep", report.exitCode().nextStep());
    }
    try {
      return mapper.writeValueAsString(fields);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
