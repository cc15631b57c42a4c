package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** A command that calls one instance. */
public abstract class InstanceCommand extends CliCommand {
  @Option(
      name = {"--instance"},
      title = "ADDR",
      description = "Operator address of the instance as ip:port")
  @Required
  private String instance;

  String address() {
    return Addresses.parse("--instance", instance);
  }

  OperatorService openInstance(CliContext context) {
    return context.operators().apply(address());
  }
}
