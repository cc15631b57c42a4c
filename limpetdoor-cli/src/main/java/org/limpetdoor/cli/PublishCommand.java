package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.limpetdoor.core.config.Configuration;

/** Publishes a configuration document. */
@Command(name = "publish", description = "Publishes a configuration document")
@ExitCodes({
  ExitCode.INVALID_INPUT,
  ExitCode.CONFLICT,
  ExitCode.LOG_UNAVAILABLE,
  ExitCode.OUTCOME_UNKNOWN,
  ExitCode.HISTORY_INCOMPLETE,
  ExitCode.LOG_REFUSED,
  ExitCode.LATER_VERSION_NEEDED,
  ExitCode.NOT_IN_FORCE
})
public final class PublishCommand extends PublishingCommand {
  @Arguments(title = "FILE", description = "Configuration document")
  @Required
  private String file;

  @Override
  Report run(CliContext context) {
    Configuration content = Documents.readConfiguration(file).orThrow();
    return publish(context, log -> content);
  }
}
