package org.limpetdoor.format.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.format.json.Problem;
import org.limpetdoor.format.json.ProblemKind;
import org.limpetdoor.format.json.ReadResult;

final class ConfigurationReaderTest {
  private static final String MODEL =
      "{\"id\": \"m\", \"version\": \"1\", \"memoryMib\": 10, \"longWorkTokens\": 5}";

  /** Guards against a reader that stops at the first problem. */
  @Test
  void reportsAllProblemsInOnePassWithLocationAndAcceptedForm() {
    List<Problem> problems =
        problems(
            """
            {
              // one engine with four problems
              "engines": [
                {"id": "e", "zone": "z", "address": "nowhere", "slots": 0,
                 "memoryGib": 8, "fencing": "checked", "colour": "red"}
              ],
              "models": 7
            }
            """);
    assertThat(problems.stream().map(Problem::kind))
        .containsExactly(
            ProblemKind.WRONG_FORM,
            ProblemKind.OUT_OF_RANGE,
            ProblemKind.WRONG_UNIT,
            ProblemKind.UNKNOWN_FIELD,
            ProblemKind.WRONG_TYPE)
        .inOrder();
    assertProblem(problems.get(0), 4, 41, "engines[0].address", "127.0.0.1:18080");
    assertProblem(problems.get(1), 4, 61, "engines[0].slots", "from 1 to");
    assertProblem(problems.get(2), 5, 6, "engines[0].memoryGib", "memoryMib");
    assertProblem(problems.get(3), 5, 44, "engines[0].colour", "one of id, zone");
    assertProblem(problems.get(4), 7, 13, "models", "an array");
    assertThat(problems.get(1).toString()).startsWith("test:4:61: engines[0].slots: found");
  }

  /** Guards against a field with the wrong unit that is silently ignored. */
  @Test
  void suggestsTheFieldWithTheRightUnit() {
    Problem problem = onlyProblem("{\"limits\": {\"maxOrderDelaySeconds\": 30}}");
    assertThat(problem.kind()).isEqualTo(ProblemKind.WRONG_UNIT);
    assertProblem(problem, 1, 13, "limits.maxOrderDelaySeconds", "maxOrderDelayMs");
  }

  @Test
  void reportsMissingFieldsAtTheObject() {
    Problem problem = onlyProblem("{\"adapters\": [{\"id\": \"a\", \"memoryMib\": 1}]}");
    assertThat(problem.kind()).isEqualTo(ProblemKind.MISSING_FIELD);
    assertProblem(problem, 1, 15, "adapters[0].model", "a value");
  }

  @Test
  void reportsFieldsThatAppearTwice() {
    Problem problem = onlyProblem("{\"models\": [],\n \"models\": []}");
    assertThat(problem.kind()).isEqualTo(ProblemKind.DUPLICATE_FIELD);
    assertProblem(problem, 2, 2, "models", "each field once");
  }

  @Test
  void reportsTextThatIsNotJson() {
    Problem problem = onlyProblem("{\"models\": [,]}");
    assertThat(problem.kind()).isEqualTo(ProblemKind.SYNTAX);
    assertThat(problem.location().line()).isEqualTo(1);
  }

  /** Guards against a document whose nesting overflows the stack. */
  @Test
  void rejectsDeepNesting() {
    assertThat(onlyProblem("[".repeat(100_000)).kind()).isEqualTo(ProblemKind.SYNTAX);
  }

  /** Guards against a model and an adapter that callers cannot distinguish by name. */
  @Test
  void reportsDuplicateNamesAcrossModelsAndAdapters() {
    Problem problem =
        onlyProblem(
            """
            {"models": [{"id": "m", "version": "1", "memoryMib": 10, "longWorkTokens": 5}],
             "engines": [{"id": "e", "zone": "z", "address": "127.0.0.1:1", "slots": 1,
                          "memoryMib": 10, "fencing": "checked"}],
             "adapters": [{"id": "m", "model": "m", "memoryMib": 1}]}
            """);
    assertThat(problem.kind()).isEqualTo(ProblemKind.DUPLICATE_NAME);
    assertProblem(problem, 4, 22, "adapters[0].id", "used once");
  }

  @Test
  void reportsReferencesToUnknownModels() {
    Problem problem =
        onlyProblem(
            """
            {"engines": [{"id": "e", "zone": "z", "address": "127.0.0.1:1", "slots": 1,
                          "memoryMib": 10, "fencing": "checked",
                          "initialModels": ["ghost"]}]}
            """);
    assertThat(problem.kind()).isEqualTo(ProblemKind.UNKNOWN_REFERENCE);
    assertProblem(problem, 3, 33, "engines[0].initialModels[0]", "entry of models");
  }

  /** Guards against reporting each reference to an invalid entry as another problem. */
  @Test
  void referencesToInvalidEntriesAreNotReported() {
    Problem problem =
        onlyProblem(
            """
            {"models": [{"id": "m", "version": "1", "memoryMib": 0, "longWorkTokens": 5}],
             "adapters": [{"id": "a", "model": "m", "memoryMib": 1}]}
            """);
    assertProblem(problem, 1, 54, "models[0].memoryMib", "from 1 to");
  }

  /** Guards against initial models that need more memory than their engine has. */
  @Test
  void reportsInitialModelsThatDoNotFit() {
    List<Problem> problems =
        problems(
            "{\"models\": ["
                + MODEL
                + "],\n\"engines\": [{\"id\": \"e\", \"zone\": \"z\", \"address\": \"127.0.0.1:1\","
                + " \"slots\": 1, \"memoryMib\": 9, \"fencing\": \"checked\",\n"
                + "\"initialModels\": [\"m\"]}]}");
    Problem problem = problems.get(problems.size() - 1);
    assertThat(problem.kind()).isEqualTo(ProblemKind.IMPOSSIBLE_SUM);
    assertProblem(problem, 3, 18, "engines[0].initialModels", "the engine, 9");
  }

  /** Guards against minimum replica counts that no placement can reach. */
  @Test
  void reportsMinimumReplicasThatDoNotFitTheEngines() {
    List<Problem> problems = problems("{\"models\": [" + MODEL + "]}");
    assertThat(problems.stream().map(Problem::path))
        .containsExactly("models", "models[0].minReplicas")
        .inOrder();
  }

  /** Guards against guaranteed shares that add up to more than the capacity. */
  @Test
  void reportsGuaranteedSharesOverOne() {
    String contract =
        """
        {"customer": "%s", "keyDigests": [], "firstTokenObjectiveMs": 1, "guaranteedShare": 0.6,
         "arrival": {"requestsPerSecond": 1, "burstRequests": 1, "tokensPerSecond": 1,
                     "burstTokens": 1},
         "queue": {"maxRequests": 1, "maxTokens": 1}}
        """;
    String both = String.format(contract, "a") + "," + String.format(contract, "b");
    Problem problem = onlyProblem("{\"contracts\": [" + both + "]}");
    assertThat(problem.kind()).isEqualTo(ProblemKind.IMPOSSIBLE_SUM);
    assertProblem(problem, 1, 15, "contracts", "at most 1.0");
  }

  private static void assertProblem(
      Problem problem, int line, int column, String path, String accepted) {
    assertThat(problem.location().source()).isEqualTo("test");
    assertThat(problem.location().line()).isEqualTo(line);
    assertThat(problem.location().column()).isEqualTo(column);
    assertThat(problem.path()).isEqualTo(path);
    assertThat(problem.accepted()).contains(accepted);
  }

  private static Problem onlyProblem(String text) {
    List<Problem> problems = problems(text);
    assertThat(problems).hasSize(1);
    return problems.get(0);
  }

  private static List<Problem> problems(String text) {
    ReadResult<Configuration> result = ConfigurationReader.read("test", text);
    assertThat(result).isInstanceOf(ReadResult.Invalid.class);
    return ((ReadResult.Invalid<Configuration>) result).problems();
  }
}
