package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Pattern;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.settings.InstanceSettings;
import org.limpetdoor.runtime.log.LogService;

/** A command that uses the log service. */
public abstract class LogCommand extends CliCommand {
  @Option(
      name = {"--log"},
      title = "ADDR",
      description = "Address of the log service as ip:port")
  @Required
  private String log;

  @Option(
      name = {"--stream"},
      title = "NAME",
      description = "Stream that holds the agreed records; limpetdoor if absent")
  @Pattern(
      pattern = "\\A[A-Za-z0-9._-]+\\z",
      description = "Letters, digits or the characters . _ -")
  private String stream = InstanceSettings.DEFAULT_LOG_STREAM;

  LogService openLog(CliContext context) {
    try {
      return context.logs().apply(HostPort.parse(log).toString(), stream);
    } catch (HostPort.InvalidAddressException e) {
      throw new CliException(ExitCode.USAGE, "--log: " + e.getMessage(), e);
    }
  }
}
