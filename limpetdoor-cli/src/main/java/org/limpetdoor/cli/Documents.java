package org.limpetdoor.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.format.configuration.ConfigurationReader;
import org.limpetdoor.format.json.ReadResult;

/** Reads documents whose files are given on the command line. */
final class Documents {
  private Documents() {}

  static ReadResult<Configuration> readConfiguration(String file) {
    try {
      return ConfigurationReader.read(file, Files.readString(Path.of(file)));
    } catch (IOException | InvalidPathException e) {
      String message = file + ": cannot be read as a UTF-8 file: " + e;
      throw new CliException(ExitCode.INVALID_INPUT, message, e);
    }
  }
}
