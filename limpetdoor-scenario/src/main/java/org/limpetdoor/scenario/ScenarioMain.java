package org.limpetdoor.scenario;

import io.cucumber.core.cli.Main;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs feature files: {@code limpetdoor-scenario FILE...}. */
public final class ScenarioMain {
  private static final int USAGE_EXIT = 2;

  private ScenarioMain() {}

  /** Runs the files; exits with 0 if all passed, 1 if some failed and 2 on wrong usage. */
  public static void main(String[] files) {
    System.exit(run(files));
  }

  private static int run(String[] files) {
    if (files.length == 0) {
      System.err.println("usage: limpetdoor-scenario FILE...");
      return USAGE_EXIT;
    }
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "--glue",
                "org.limpetdoor.scenario.steps",
                "--plugin",
                FailureReport.class.getName()));
    for (String file : files) {
      if (!Files.isReadable(Path.of(file))) {
        System.err.println(file + ": cannot be read; expected a feature file");
        return USAGE_EXIT;
      }
      arguments.add(Path.of(file).toAbsolutePath().toString());
    }
    try {
      return Main.run(arguments.toArray(String[]::new), ScenarioMain.class.getClassLoader());
    } catch (RuntimeException e) {
      // Cucumber reports files that it cannot parse this way; the message names file and line.
      System.err.println(e.getMessage());
      return USAGE_EXIT;
    }
  }
}
