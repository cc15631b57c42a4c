package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.ranges.IntegerRange;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.Function;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.runtime.log.LogService;

/** A command that publishes a configuration and may wait until it is in force. */
public abstract class PublishingCommand extends LogCommand {
  // A configuration is in force everywhere within 4 s; a longer wait indicates a fault.
  private static final int DEFAULT_TIMEOUT_S = 10;
  private static final int MAX_TIMEOUT_S = 600;
  private static final long MS_PER_SECOND = 1_000;

  @Option(
      name = {"--base"},
      title = "VERSION",
      description = "Version that the change is based on; the version in force if absent")
  private Long base;

  @Option(
      name = {"--publisher"},
      title = "NAME",
      description = "Name of the operator; the name of the system user if absent")
  private String publisher = System.getProperty("user.name", "operator");

  @Option(
      name = {"--wait"},
      title = "ADDR",
      description =
          "Operator address of an instance as ip:port; waits until it has the version in force;"
              + " may be repeated")
  private List<String> waitFor = new ArrayList<>();

  @Option(
      name = {"--timeout-s"},
      title = "SECONDS",
      description = "Maximum wait in seconds, from 1 to 600; 10 if absent")
  @IntegerRange(min = 1, max = MAX_TIMEOUT_S)
  private int timeoutSeconds = DEFAULT_TIMEOUT_S;

  /** Publishes the configuration that the function returns for the opened log. */
  Report publish(CliContext context, Function<LogService, Configuration> content) {
    List<String> addresses = waitFor.stream().map(a -> Addresses.parse("--wait", a)).toList();
    OptionalLong baseVersion = base == null ? OptionalLong.empty() : OptionalLong.of(base);
    LogService log = openLog(context);
    Configuration configuration = content.apply(log);
    Publisher logPublisher = new Publisher(log, context.retryDelayMs());
    Publication result =
        logPublisher.publish(configuration, baseVersion, publisher, context.appenders().get());
    if (addresses.isEmpty() || result.contentVersion().isEmpty()) {
      return result.report();
    }
    long version = result.contentVersion().getAsLong();
    context.progress().accept("waiting for version " + version);
    return new InForcePoller(context, addresses)
        .await(version, timeoutSeconds * MS_PER_SECOND)
        .addedTo(result.report());
  }
}
