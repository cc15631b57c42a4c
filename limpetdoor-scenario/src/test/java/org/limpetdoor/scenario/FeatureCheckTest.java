package org.limpetdoor.scenario;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against scenarios that pass because no line of them is parsed as a step. */
final class FeatureCheckTest {
  @Test
  void unknownLinesAndMissingStepsAreReported() {
    List<String> lines =
        List.of("Feature: f", "  about it", "  Scenario: s", "    Wen a thing happens", "  # x");
    assertThat(FeatureCheck.problems("f.feature", lines))
        .containsExactly(
            "f.feature:4: 'Wen a thing happens' is not a step;"
                + " expected Given, When, Then, And or But",
            "f.feature:3: no steps follow");
  }

  @Test
  void allFeatureFilesHaveOnlySteps() throws IOException {
    try (Stream<Path> files = Files.list(Path.of("src/test/resources/features"))) {
      for (Path file : files.toList()) {
        assertThat(FeatureCheck.problems(file.toString(), Files.readAllLines(file))).isEmpty();
      }
    }
  }
}
