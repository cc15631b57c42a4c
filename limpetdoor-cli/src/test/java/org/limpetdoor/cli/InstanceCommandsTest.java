package org.limpetdoor.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class InstanceCommandsTest {
  private static final String EXAMPLE = "../examples/dev/configuration.json";
  private static final String LOG = "127.0.0.1:1";
  private static final String STATUS =
      """
      {"instance":"entry-1","zone":"georgia-a","ready":true,"draining":false,
       "configurationVersion":4,"nextOffset":9,"openRequests":2,
       "backends":{"engine-1":{"inFlight":2,"leaving":false}},
       "queues":{"bakery":{"requests":3,"oldestAgeMs":1200}},
       "limits":{"bakery":{"queuedRequests":3,"maxQueuedRequests":200}}}
      """;

  @TempDir private Path directory;
  private final FakeInstance instance = new FakeInstance();
  private final FakeLog log = new FakeLog();
  private final AtomicInteger appenders = new AtomicInteger();
  private final AtomicLong clockMs = new AtomicLong();
  private final List<String> progress = new ArrayList<>();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @AfterEach
  void stop() {
    instance.close();
  }

  /** Guards against a status without queue ages and the use of limits. */
  @Test
  void statusShowsQueueAgeAndLimitUse() {
    instance.withResponse("/status", 200, STATUS);
    assertThat(run("status", "--instance", instance.address())).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8)).contains("configuration version 4, next offset 9");
    assertThat(out.toString(UTF_8)).contains("queue bakery requests=3 oldestAgeMs=1200");
    assertThat(out.toString(UTF_8)).contains("limits bakery queuedRequests=3");
  }

  /** Guards against a failed instance that hides the others or is reported as success. */
  @Test
  void statusReportsTheInstanceThatLosesTheConnection() {
    try (FakeInstance lost = new FakeInstance()) {
      instance.withResponse("/status", 200, STATUS);
      JsonNode result =
          json(
              ExitCode.INSTANCE_UNAVAILABLE,
              "status",
              "--instance",
              lost.address(),
              "--instance",
              instance.address());
      assertThat(result.path("instances")).hasSize(1);
      JsonNode failure = result.path("failures").path(0);
      assertThat(failure.path("instance").asText()).isEqualTo(lost.address());
      assertThat(failure.path("failure").asText()).isEqualTo("answer_lost");
      assertThat(result.path("nextStep").asText()).contains("repeat");
    }
  }

  /** Guards against reporting a closed port as an invalid response. */
  @Test
  void closedPortsAreUnreachable() {
    String closedAddress;
    try (FakeInstance stopped = new FakeInstance()) {
      closedAddress = stopped.address();
    }
    JsonNode result = json(ExitCode.INSTANCE_UNAVAILABLE, "drain", "--instance", closedAddress);
    assertThat(result.path("failure").asText()).isEqualTo("unreachable");
  }

  /** Guards against accepting the response of another server as the state of an instance. */
  @Test
  void responsesOfOtherServersAreRejected() {
    instance
        .withResponse("/status", 200, "{}")
        .withResponse("/drain", 404, "")
        .withResponse("/explain/r", 404, "{}");
    String address = instance.address();
    assertThat(run("status", "--instance", address)).isEqualTo(ExitCode.INSTANCE_REFUSED);
    assertThat(run("drain", "--instance", address)).isEqualTo(ExitCode.INSTANCE_REFUSED);
    assertThat(run("explain", "r", "--instance", address)).isEqualTo(ExitCode.INSTANCE_REFUSED);
    instance.withResponse("/status", 200, "no JSON");
    assertThat(run("status", "--instance", address)).isEqualTo(ExitCode.INSTANCE_REFUSED);
  }

  /** Guards against decisions in another order or without the age of the load report. */
  @Test
  void explainListsDecisionsInOrderWithTheAgeOfTheLoadReport() {
    instance.withResponse(
        "/explain/r-1",
        200,
        """
        {"request":"r-1","decisions":[
         {"event":"admission","request":"r-1","result":"queued"},
         {"event":"route","request":"r-1","backend":"engine-1","report_age_ms":"250"}]}
        """);
    assertThat(run("explain", "r-1", "--instance", instance.address())).isEqualTo(ExitCode.OK);
    assertThat(out.toString(UTF_8).lines())
        .containsExactly(
            "request r-1",
            "1. admission result=queued",
            "2. route backend=engine-1; the load report used was 250 ms old")
        .inOrder();
  }

  /** Guards against a request identifier whose characters change the path of the URL. */
  @Test
  void explainEncodesTheRequestAndReportsUnknownRequests() {
    instance.withResponse(
        "/explain/a%2Fb%20c", 404, "{\"type\":\"urn:limpetdoor:problem:unknown_request\"}");
    assertThat(run("explain", "a/b c", "--instance", instance.address()))
        .isEqualTo(ExitCode.UNKNOWN_REQUEST);
  }

  /** Guards against reporting success without calling the instance. */
  @Test
  void drainCallsTheInstance() {
    instance.withResponse("/drain", 202, "{\"status\":\"draining\"}");
    assertThat(run("drain", "--instance", instance.address())).isEqualTo(ExitCode.OK);
    assertThat(instance.calls()).containsExactly("POST /drain");
  }

  /** Guards against a wait that does not recognize the new version. */
  @Test
  void publishWaitsUntilTheVersionIsInForce() {
    instance.withVersion(0);
    JsonNode result =
        json(ExitCode.OK, "publish", EXAMPLE, "--log", LOG, "--wait", instance.address());
    assertThat(result.path("inForceOn").path(0).asText()).isEqualTo(instance.address());
    assertThat(progress).contains(instance.address() + ": version 0 in force");
  }

  /** Guards against a wait without end and against reporting an old version as the new one. */
  @Test
  void publishReportsInstancesWithoutTheVersionAtTheTimeout() {
    try (FakeInstance old = new FakeInstance()) {
      old.withVersion(-1);
      instance.withVersion(0);
      JsonNode result =
          json(
              ExitCode.NOT_IN_FORCE,
              "publish",
              EXAMPLE,
              "--log",
              LOG,
              "--wait",
              old.address(),
              "--wait",
              instance.address());
      assertThat(result.path("version").asLong()).isEqualTo(0);
      assertThat(result.path("notInForceOn").path(old.address()).asText())
          .isEqualTo("version -1 in force");
      assertThat(result.path("inForceOn")).hasSize(1);
      assertThat(progress).hasSize(3);
    }
  }

  /** Guards against a version that decreases: earlier content must become a new version. */
  @Test
  void rollForwardPublishesEarlierContentAsANewVersion() throws IOException {
    publishTwoVersions();
    JsonNode result = json(ExitCode.OK, "roll-forward", "0", "--log", LOG);
    assertThat(result.path("version").asLong()).isEqualTo(2);
    assertThat(json(ExitCode.OK, "diff", EXAMPLE, "--log", LOG).path("changed").asBoolean())
        .isFalse();
  }

  /** Guards against undoing a publication that the operator has not seen. */
  @Test
  void rollForwardRefusesAnOldBaseAndAnUnknownVersion() throws IOException {
    publishTwoVersions();
    assertThat(run("roll-forward", "0", "--log", LOG, "--base", "0")).isEqualTo(ExitCode.CONFLICT);
    assertThat(run("roll-forward", "7", "--log", LOG)).isEqualTo(ExitCode.UNKNOWN_VERSION);
    assertThat(log.bodies()).hasSize(2);
  }

  /** Guards against a help option that requires the arguments of the command. */
  @Test
  void eachCommandHasHelpWithItsExitCodes() {
    for (String command : List.of("status", "explain", "drain", "publish", "roll-forward")) {
      assertThat(run(command, "--help")).isEqualTo(ExitCode.OK);
      assertThat(out.toString(UTF_8)).contains("EXIT CODES");
      assertThat(out.toString(UTF_8)).contains("2 usage");
    }
    assertThat(out.toString(UTF_8)).contains("13 unknown_version");
  }

  /** Guards against publishing or calling an instance after a usage error. */
  @Test
  void wrongCommandLinesAreUsageErrors() {
    assertThat(run("status")).isEqualTo(ExitCode.USAGE);
    assertThat(run("drain", "--instance", "somewhere")).isEqualTo(ExitCode.USAGE);
    assertThat(run("publish", EXAMPLE, "--log", LOG, "--wait", "x")).isEqualTo(ExitCode.USAGE);
    assertThat(run("publish", EXAMPLE, "--log", LOG, "--timeout-s", "0")).isEqualTo(ExitCode.USAGE);
    assertThat(log.bodies()).isEmpty();
  }

  private void publishTwoVersions() throws IOException {
    json(ExitCode.OK, "publish", EXAMPLE, "--log", LOG);
    String changed = Files.readString(Path.of(EXAMPLE)).replace("\"weight\": 1", "\"weight\": 2");
    Path file = Files.writeString(directory.resolve("changed.json"), changed);
    json(ExitCode.OK, "publish", file.toString(), "--log", LOG);
  }

  private JsonNode json(ExitCode expected, String... args) {
    String[] all = Arrays.copyOf(args, args.length + 1);
    all[args.length] = "--json";
    assertThat(run(all)).isEqualTo(expected);
    try {
      return new ObjectMapper().readTree(out.toString(UTF_8));
    } catch (IOException e) {
      throw new AssertionError(out.toString(UTF_8), e);
    }
  }

  /**
   * Runs a command with a clock that advances by a quarter of the default wait at each reading, so
   * that waits end without real delays.
   */
  private ExitCode run(String... args) {
    out.reset();
    err.reset();
    CliContext context =
        new CliContext(
            InputStream.nullInputStream(),
            (address, stream) -> log,
            () -> "cli:" + appenders.incrementAndGet(),
            HttpOperatorService::new,
            progress::add,
            () -> clockMs.addAndGet(2_500),
            0);
    PrintStream outStream = new PrintStream(out, true, UTF_8);
    return new CliMain(context, outStream, new PrintStream(err, true, UTF_8)).execute(args);
  }
}
