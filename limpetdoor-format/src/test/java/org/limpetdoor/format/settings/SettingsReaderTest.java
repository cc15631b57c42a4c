package org.limpetdoor.format.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.json.Problem;
import org.limpetdoor.format.json.ProblemKind;
import org.limpetdoor.format.json.ReadResult;

final class SettingsReaderTest {
  private static final String REQUIRED =
      """
      {
        "instance": "i", "zone": "z", "callerAddress": "127.0.0.1:1",
        "operatorAddress": "127.0.0.1:2", "logAddress": "[::1]:3"%s
      }
      """;

  /** Guards against defaults that differ between the reader and the factory method. */
  @Test
  void absentFieldsHaveDefaults() {
    assertThat(SettingsReader.read("test", String.format(REQUIRED, "")).orThrow())
        .isEqualTo(
            InstanceSettings.of(
                new InstanceId("i"),
                new ZoneId("z"),
                new HostPort("127.0.0.1", 1),
                new HostPort("127.0.0.1", 2),
                new HostPort("[::1]", 3)));
  }

  @Test
  void reportsWrongUnitsWithLocation() {
    Problem problem = problems(",\n\"drainTimeoutSeconds\": 3").get(0);
    assertThat(problem.kind()).isEqualTo(ProblemKind.WRONG_UNIT);
    assertThat(problem.accepted()).isEqualTo("drainTimeoutMs");
    assertThat(problem.toString()).startsWith("test:4:1: drainTimeoutSeconds: ");
  }

  /** Guards against invalid addresses that are detected only when the listener starts. */
  @Test
  void reportsAddressesThatAreNotIpAndPort() {
    for (String address : List.of("localhost:1", "127.0.0.1", "127.0.0.1:65536", "1.2.3:4")) {
      Problem problem = problems(",\n\"peerAddress\": \"" + address + "\"").get(0);
      assertThat(problem.kind()).isEqualTo(ProblemKind.WRONG_FORM);
      assertThat(problem.accepted()).isEqualTo(HostPort.ACCEPTED);
    }
  }

  /** Guards against an ambiguous secret reference. */
  @Test
  void reportsSecretsWithTwoSources() {
    String twoSources = ",\n\"peerSecret\": {\"file\": \"f\", \"environment\": \"E\"}";
    assertThat(problems(twoSources).get(0).path()).isEqualTo("peerSecret");
  }

  private static List<Problem> problems(String additionalFields) {
    ReadResult<InstanceSettings> result =
        SettingsReader.read("test", String.format(REQUIRED, additionalFields));
    assertThat(result).isInstanceOf(ReadResult.Invalid.class);
    return ((ReadResult.Invalid<InstanceSettings>) result).problems();
  }
}
