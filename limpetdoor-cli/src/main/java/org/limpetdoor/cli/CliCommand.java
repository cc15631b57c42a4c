package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Option;

/** A command with the options that all commands share. */
public abstract class CliCommand {
  @Option(
      name = {"--json"},
      description = "Writes the result as one JSON object")
  private boolean json;

  // Handled before parsing; declared here so that the help lists it.
  @Option(
      name = {"--help"},
      description = "Describes the command")
  private boolean help;

  boolean isJson() {
    return json;
  }

  /**
   * Runs the command.
   *
   * @throws org.limpetdoor.core.LimpetdoorException if the command fails
   */
  abstract Report run(CliContext context);
}
