package org.limpetdoor.cli;

import com.github.rvesse.airline.annotations.Command;
import java.util.List;
import java.util.Map;

/** Starts a graceful shutdown of an instance. */
@Command(name = "drain", description = "Starts a graceful shutdown of an instance")
@ExitCodes({ExitCode.INSTANCE_UNAVAILABLE, ExitCode.INSTANCE_REFUSED})
public final class DrainCommand extends InstanceCommand {
  @Override
  Report run(CliContext context) {
    openInstance(context).drain();
    return Report.ok(
        List.of("instance " + address() + " is draining"),
        Map.of("instance", address(), "status", "draining"));
  }
}
