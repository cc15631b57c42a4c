package org.limpetdoor.dev;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.limpetdoor.core.LimpetdoorException;

/** Runs an entry instance and all stand-ins in one process until it is stopped. */
public final class DevMain {
  private static final int EXIT_INVALID_INPUT = 2;

  private DevMain() {}

  /**
   * Starts all components, publishes the configuration and prints an example request.
   *
   * @param args the directory with the settings of all components
   */
  public static void main(String[] args) throws InterruptedException {
    if (args.length != 1) {
      exit("usage: limpetdoor-dev DIRECTORY");
    }
    Path directory = Path.of(args[0]);
    if (!Files.isDirectory(directory)) {
      exit(directory + ": not a directory; expected one like examples/dev");
    }
    try (DevProcess process = DevProcess.start(directory)) {
      System.out.println(process.instructions());
      process.awaitDrained();
    } catch (LimpetdoorException | IOException e) {
      exit(e.getMessage());
    }
  }

  private static void exit(String message) {
    System.err.println(message);
    System.exit(EXIT_INVALID_INPUT);
  }

  /** Returns an empty standard input for commands that read none. */
  static InputStream emptyInput() {
    return InputStream.nullInputStream();
  }
}
