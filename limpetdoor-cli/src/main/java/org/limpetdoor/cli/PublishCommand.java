package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.OptionalLong;
import org.limpetdoor.core.config.Configuration;

/** Publishes a configuration document. */
@Command(name = "publish", description = "Publishes a configuration document")
public final class PublishCommand extends LogCommand {
  @Arguments(title = "FILE", description = "Configuration document")
  @Required
  private String file;

  @Option(
      name = {"--base"},
      title = "VERSION",
      description = "Version that the document was edited from; the version in force if absent")
  private Long base;

  @Option(
      name = {"--publisher"},
      title = "NAME",
      description = "Name of the operator; the name of the system user if absent")
  private String publisher = System.getProperty("user.name", "operator");

  @Override
  Report run(CliContext context) {
    Configuration content = Documents.configuration(file).orThrow();
    OptionalLong edited = base == null ? OptionalLong.empty() : OptionalLong.of(base);
    Publisher log = new Publisher(openLog(context), context.retryDelayMs());
    return log.publish(content, edited, publisher, context.appenders().get()).report();
  }
}
