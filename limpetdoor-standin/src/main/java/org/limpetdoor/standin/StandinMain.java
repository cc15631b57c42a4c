package org.limpetdoor.standin;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** Runs one stand-in until the process is stopped. */
public final class StandinMain {
  private static final Logger LOG = System.getLogger(StandinMain.class.getName());
  private static final int EXIT_INVALID_INPUT = 2;

  private StandinMain() {}

  /**
   * Starts the stand-in that a settings file describes. Exits with status 2 if the input is
   * invalid.
   *
   * @param args the path of the settings file
   */
  public static void main(String[] args) throws InterruptedException {
    if (args.length != 1) {
      exit("expected one argument: the path of a settings file");
    }
    try {
      run(StandinSettingsFile.read(Path.of(args[0])));
    } catch (InvalidStandinSettingsException e) {
      exit(e.getMessage());
    }
  }

  private static void run(StandinSettings settings) throws InterruptedException {
    RunningStandin running = Standins.start(settings);
    Runtime.getRuntime().addShutdownHook(new Thread(running::close, "standin-shutdown"));
    LOG.log(
        Level.INFO,
        "event=standin_started role={0} address={1}",
        settings.role().settingsName(),
        running.address());
    new CountDownLatch(1).await();
  }

  private static void exit(String message) {
    System.err.println(message);
    System.exit(EXIT_INVALID_INPUT);
  }
}
