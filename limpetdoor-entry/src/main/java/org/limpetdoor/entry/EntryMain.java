package org.limpetdoor.entry;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Files;
import java.nio.file.Path;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.format.settings.InstanceSettings;
import org.limpetdoor.format.settings.SettingsReader;
import org.limpetdoor.runtime.decision.LogLine;

/** Runs one instance until it has drained after a shutdown request. */
public final class EntryMain {
  private static final Logger LOG = System.getLogger(EntryMain.class.getName());
  private static final int USAGE_ERROR = 2;

  private EntryMain() {}

  /**
   * Starts an instance.
   *
   * @param args path of the settings file
   */
  public static void main(String[] args) {
    if (args.length != 1) {
      System.err.println("usage: limpetdoor-entry SETTINGS_FILE");
      System.exit(USAGE_ERROR);
    }
    try {
      System.exit(run(readSettings(Path.of(args[0]))));
    } catch (LimpetdoorException | IOException e) {
      System.err.println(e.getMessage());
      System.exit(USAGE_ERROR);
    }
  }

  private static InstanceSettings readSettings(Path file) throws IOException {
    return SettingsReader.read(file.toString(), Files.readString(file)).orThrow();
  }

  private static int run(InstanceSettings settings) {
    try (EntryServer server = EntryServer.start(settings)) {
      Thread hook = new Thread(() -> server.drain().join(), "shutdown");
      Runtime.getRuntime().addShutdownHook(hook);
      DrainResult result = server.drained().join();
      LOG.log(Level.INFO, LogLine.event("instance_stopped").with("result", result).toString());
      return server.exitCode(result);
    }
  }
}
