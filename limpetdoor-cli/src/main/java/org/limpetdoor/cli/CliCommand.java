package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Option;

/** A command with the options that all commands share. */
public abstract class CliCommand {
  @Option(
      name = {"--json"},
      description = "Writes the result as one JSON object")
  private boolean json;

  boolean isJson() {
    return json;
  }

  /**
   * Runs the command.
   *
   * @throws org.limpetdoor.core.LimpetdoorException if it cannot do what it was asked to do
   */
  abstract Report run(CliContext context);
}
