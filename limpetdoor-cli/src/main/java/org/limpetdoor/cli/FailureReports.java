package org.limpetdoor.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.format.json.InvalidDocumentException;
import org.limpetdoor.format.json.Problem;
import org.limpetdoor.format.json.ValueTypes;
import org.limpetdoor.runtime.log.LogFailure;
import org.limpetdoor.runtime.log.LogServiceException;

/** Converts exceptions of commands to reports. */
final class FailureReports {
  private FailureReports() {}

  static Report of(RuntimeException failure) {
    if (failure instanceof InvalidDocumentException invalid) {
      return problemReport(invalid.problems());
    }
    if (failure instanceof CliException cliFailure) {
      return Report.failed(cliFailure.exitCode(), cliFailure.getMessage());
    }
    if (failure instanceof InstanceException instance) {
      return new Report(instance.failure().exitCode(), List.of(instance.line()), instance.fields());
    }
    if (failure instanceof LogServiceException log) {
      String message = log.getMessage() + " (" + ValueTypes.lowerCaseName(log.failure()) + ")";
      boolean refused = log.failure() == LogFailure.REFUSED;
      return Report.failed(refused ? ExitCode.LOG_REFUSED : ExitCode.LOG_UNAVAILABLE, message);
    }
    return Report.failed(ExitCode.INTERNAL, failure.toString());
  }

  private static Report problemReport(List<Problem> problems) {
    return new Report(
        ExitCode.INVALID_INPUT,
        problems.stream().map(Problem::toString).toList(),
        Map.of("problems", problems.stream().map(FailureReports::fields).toList()));
  }

  private static Map<String, Object> fields(Problem problem) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("kind", ValueTypes.lowerCaseName(problem.kind()));
    fields.put("source", problem.location().source());
    fields.put("line", problem.location().line());
    fields.put("column", problem.location().column());
    fields.put("path", problem.path());
    fields.put("found", problem.found());
    fields.put("accepted", problem.accepted());
    return fields;
  }
}
