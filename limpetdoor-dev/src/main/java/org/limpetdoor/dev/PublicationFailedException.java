package org.limpetdoor.dev;

import java.nio.file.Path;
import org.limpetdoor.cli.ExitCode;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.SourceLocation;

/** Thrown when the configuration of the development process cannot be published. */
public final class PublicationFailedException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  PublicationFailedException(Path configuration, ExitCode code) {
    super(
        "the configuration was not published: " + code,
        new SourceLocation(configuration.toString(), 0, 0));
  }
}
