package org.limpetdoor.cli;

import java.util.List;
import java.util.Map;

/**
 * The result of a command.
 *
 * @param exitCode exit code of the command
 * @param lines result as text lines
 * @param fields result as a JSON object, to which the field {@code result} is added
 */
record Report(ExitCode exitCode, List<String> lines, Map<String, Object> fields) {
  Report {
    lines = List.copyOf(lines);
  }

  static Report ok(List<String> lines, Map<String, Object> fields) {
    return new Report(ExitCode.OK, lines, fields);
  }

  static Report failed(ExitCode exitCode, String message) {
    return new Report(exitCode, List.of(message), Map.of("message", message));
  }
}
