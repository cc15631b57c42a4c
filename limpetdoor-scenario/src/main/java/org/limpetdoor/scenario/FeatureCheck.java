package org.limpetdoor.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Finds scenarios that would pass without checking anything. Gherkin treats unknown lines between a
 * scenario's name and its first step as a description, so a mistyped keyword there is not reported.
 */
public final class FeatureCheck {
  private static final Pattern STEP_BLOCK =
      Pattern.compile("(Scenario|Scenario Outline|Scenario Template|Example|Background)\\s*:.*");

  private static final Pattern OTHER_BLOCK =
      Pattern.compile("(Feature|Rule|Examples|Scenarios)\\s*:.*");
  private static final Pattern STEP = Pattern.compile("(Given|When|Then|And|But|\\*)\\s.*");
  private static final Pattern IGNORED = Pattern.compile("(#.*|@.*|)");

  private final String file;
  private final List<String> problems = new ArrayList<>();
  private int blockWithoutStepsLine;

  private FeatureCheck(String file) {
    this.file = file;
  }

  /** Returns one line as {@code file:line: problem} for each problem. */
  public static List<String> problems(String file, List<String> lines) {
    FeatureCheck check = new FeatureCheck(file);
    for (int i = 0; i < lines.size(); i++) {
      check.checkLine(i + 1, lines.get(i).strip());
    }
    check.closeBlock();
    return check.problems;
  }

  private void checkLine(int number, String line) {
    if (STEP_BLOCK.matcher(line).matches()) {
      closeBlock();
      blockWithoutStepsLine = number;
    } else if (OTHER_BLOCK.matcher(line).matches()) {
      closeBlock();
    } else if (STEP.matcher(line).matches()) {
      blockWithoutStepsLine = 0;
    } else if (blockWithoutStepsLine > 0 && !IGNORED.matcher(line).matches()) {
      problems.add(
          "%s:%d: '%s' is not a step; expected Given, When, Then, And or But"
              .formatted(file, number, line));
    }
  }

  private void closeBlock() {
    if (blockWithoutStepsLine > 0) {
      problems.add("%s:%d: no steps follow".formatted(file, blockWithoutStepsLine));
    }
    blockWithoutStepsLine = 0;
  }
}
