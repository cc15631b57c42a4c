package org.limpetdoor.cli;

import java.util.List;
import java.util.Map;

/**
 * What a command has to say.
 *
 * @param exitCode result of the command
 * @param lines result for people
 * @param fields result for machines, written as one JSON object with the field {@code result} added
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
