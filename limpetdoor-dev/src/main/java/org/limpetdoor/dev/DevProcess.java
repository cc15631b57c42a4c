package org.limpetdoor.dev;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.limpetdoor.cli.CliMain;
import org.limpetdoor.cli.ExitCode;
import org.limpetdoor.entry.EntryServer;
import org.limpetdoor.format.settings.InstanceSettings;
import org.limpetdoor.format.settings.SettingsReader;
import org.limpetdoor.standin.RunningStandin;
import org.limpetdoor.standin.StandinSettingsFile;
import org.limpetdoor.standin.Standins;

/** An entry instance and the stand-ins of its external systems, which run in this process. */
public final class DevProcess implements AutoCloseable {
  private static final String ENTRY_FILE = "entry-1.json";
  private static final String CONFIGURATION_FILE = "configuration.json";

  private final List<RunningStandin> standins;
  private final EntryServer entry;

  private DevProcess(List<RunningStandin> standins, EntryServer entry) {
    this.standins = standins;
    this.entry = entry;
  }

  /**
   * Starts the stand-ins, publishes the configuration and starts the entry instance.
   *
   * @param directory directory with {@code entry-1.json}, {@code configuration.json} and a settings
   *     file for each stand-in
   * @throws IOException if a file cannot be read
   * @throws PublicationFailedException if the configuration is not valid or cannot be published
   */
  public static DevProcess start(Path directory) throws IOException {
    Path entryFile = directory.resolve(ENTRY_FILE);
    InstanceSettings settings =
        SettingsReader.read(entryFile.toString(), Files.readString(entryFile)).orThrow();
    List<RunningStandin> standins = new ArrayList<>();
    try {
      for (Path file : standinFiles(directory)) {
        standins.add(Standins.start(StandinSettingsFile.read(file)));
      }
      publish(directory.resolve(CONFIGURATION_FILE), settings.logAddress().toString());
      return new DevProcess(standins, EntryServer.start(settings));
    } catch (RuntimeException | IOException e) {
      standins.forEach(RunningStandin::close);
      throw e;
    }
  }

  /** Returns usage instructions with an example request. */
  public String instructions() {
    return String.join(
        System.lineSeparator(),
        "",
        "limpetdoor is running. Try:",
        "",
        "  curl -N http://" + entry.callerAddress() + "/v1/chat/completions \\",
        "    -H 'Authorization: Bearer bakery-key' -H 'Content-Type: application/json' \\",
        "    -d '{\"model\":\"laying-assistant\",\"stream\":true,\"max_tokens\":8,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"When do ducks lay?\"}]}'",
        "",
        "State: http://" + entry.operatorAddress() + "/status. Stop with Ctrl-C.");
  }

  /** Waits until the entry instance has drained. Termination of the process starts the drain. */
  public void awaitDrained() {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> entry.drain().join(), "shutdown"));
    entry.drained().join();
  }

  @Override
  public void close() {
    entry.close();
    standins.forEach(RunningStandin::close);
  }

  private static List<Path> standinFiles(Path directory) throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files
          .filter(file -> file.toString().endsWith(".json"))
          .filter(file -> !file.endsWith(ENTRY_FILE) && !file.endsWith(CONFIGURATION_FILE))
          .sorted()
          .toList();
    }
  }

  private static void publish(Path configuration, String logAddress) {
    ExitCode code =
        CliMain.run(
            DevMain.emptyInput(),
            System.out,
            System.err,
            "publish",
            configuration.toString(),
            "--log",
            logAddress,
            "--publisher",
            "limpetdoor-dev");
    if (code.status() != 0) {
      throw new PublicationFailedException(configuration, code);
    }
  }
}
