package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.runtime.log.LogService;

/**
 * Publishes the content of an earlier version as a new version. Versions only increase, so that
 * instances need no rule for an older version that follows a newer one.
 */
@Command(
    name = "roll-forward",
    description = "Publishes the content of an earlier version as a new version")
@ExitCodes({
  ExitCode.CONFLICT,
  ExitCode.LOG_UNAVAILABLE,
  ExitCode.OUTCOME_UNKNOWN,
  ExitCode.HISTORY_INCOMPLETE,
  ExitCode.LOG_REFUSED,
  ExitCode.LATER_VERSION_NEEDED,
  ExitCode.NOT_IN_FORCE,
  ExitCode.UNKNOWN_VERSION
})
public final class RollForwardCommand extends PublishingCommand {
  @Arguments(title = "VERSION", description = "Earlier version, as listed by history")
  @Required
  private Long version;

  @Override
  Report run(CliContext context) {
    return publish(context, log -> contentOf(log, context.retryDelayMs()));
  }

  private Configuration contentOf(LogService log, int retryDelayMs) {
    History history = new HistoryLog(log, retryDelayMs).readThrough(version);
    if (version < 0 || history.version() != version) {
      String message = "version " + version + " was never in force";
      throw new CliException(ExitCode.UNKNOWN_VERSION, message, null);
    }
    return history.configuration();
  }
}
