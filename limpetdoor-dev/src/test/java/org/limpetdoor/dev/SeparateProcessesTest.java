package org.limpetdoor.dev;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.limpetdoor.cli.CliMain;
import org.limpetdoor.cli.ExitCode;
import org.limpetdoor.dev.StreamedResponse.OpenStream;
import org.limpetdoor.entry.EntryMain;
import org.limpetdoor.standin.StandinMain;

/**
 * End-to-end tests with each component in its own process. Assertions check outcomes and never
 * timing, so that a slow machine cannot fail them.
 */
@Timeout(value = 180, unit = TimeUnit.SECONDS)
class SeparateProcessesTest {
  private static final int STREAMS = 6;
  private static final int MAX_POLLS = 600;
  private static final long POLL_MS = 100;

  @TempDir Path directory;

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private ChildProcesses processes;
  private int logPort;
  private int[] enginePorts;
  private int servicePort;
  private String[] callers;
  private String[] operators;

  @BeforeEach
  void start() throws Exception {
    processes = new ChildProcesses(directory);
    logPort = ChildProcesses.freePort();
    servicePort = ChildProcesses.freePort();
    enginePorts = new int[] {ChildProcesses.freePort(), ChildProcesses.freePort()};
    callers = new String[] {address(ChildProcesses.freePort()), address(ChildProcesses.freePort())};
    operators =
        new String[] {address(ChildProcesses.freePort()), address(ChildProcesses.freePort())};
    processes.start("log", StandinMain.class, logSettings());
    processes.start("engine-1", StandinMain.class, engineSettings(enginePorts[0]));
    processes.start("engine-2", StandinMain.class, engineSettings(enginePorts[1]));
    processes.start("orders", StandinMain.class, serviceSettings());
    awaitTrue("log", () -> get(address(logPort), "/streams/limpetdoor/records?from=0") == 200);
    assertThat(publish(configuration(true))).isEqualTo(ExitCode.OK);
    processes.start("entry-1", EntryMain.class, entrySettings(0));
    processes.start("entry-2", EntryMain.class, entrySettings(1));
    for (int i = 0; i < 2; i++) {
      String operator = operators[i];
      awaitTrue("entry", () -> get(operator, "/health/ready") == 200);
      int enginePort = enginePorts[i];
      awaitTrue("engine", () -> get(address(enginePort), "/health") == 200);
    }
  }

  @AfterEach
  void stop() {
    processes.close();
  }

  /**
   * Guards against truncated or mixed-up answers when an engine and an instance crash during
   * streams.
   */
  @Test
  void streamsSurviveTheLossOfAnEngineAndOfAnotherInstance() throws Exception {
    List<String> expected = referenceContents();
    List<OpenStream> firstEntryStreams = startStreams(callers[0]);
    List<OpenStream> secondEntryStreams = startStreams(callers[1]);
    for (OpenStream stream : secondEntryStreams) {
      stream.started().await();
    }
    processes.kill("engine-1");
    processes.kill("entry-1");

    for (int i = 0; i < STREAMS; i++) {
      StreamedResponse response = secondEntryStreams.get(i).response().join();
      assertWithMessage(processes.output("entry-2")).that(response.complete()).isTrue();
      assertThat(response.content()).isEqualTo(expected.get(i));
    }
    for (int i = 0; i < STREAMS; i++) {
      StreamedResponse response = firstEntryStreams.get(i).response().join();
      assertThat(expected.get(i)).startsWith(response.content());
      assertThat(response.complete()).isEqualTo(response.content().equals(expected.get(i)));
    }
  }

  /** Guards against a configuration change that takes effect only after a restart. */
  @Test
  void secondPublicationChangesBehaviourWithoutRestart() throws Exception {
    assertThat(
            StreamedResponse.open(client, callers[0], "restaurant-key", "eggs")
                .response()
                .join()
                .status())
        .isEqualTo(200);

    assertThat(publish(configuration(false))).isEqualTo(ExitCode.OK);

    for (String caller : callers) {
      awaitTrue(
          "refusal of the removed customer",
          () ->
              StreamedResponse.open(client, caller, "restaurant-key", "eggs")
                      .response()
                      .join()
                      .status()
                  == 401);
      assertThat(
              StreamedResponse.open(client, caller, "bakery-key", "eggs")
                  .response()
                  .join()
                  .complete())
          .isTrue();
    }
  }

  /** Guards against plain service calls that are lost or run twice. */
  @Test
  void plainServiceCallRunsOnce() throws Exception {
    HttpResponse<String> response =
        client.send(
            HttpRequest.newBuilder(
                    URI.create("http://" + callers[0] + "/services/orders/reservations"))
                .header("Authorization", "Bearer bakery-key")
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString("{\"lot\":7}"))
                .build(),
            BodyHandlers.ofString());

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).contains("/reservations");
    assertThat(body(address(servicePort), "/executions")).contains("1");
    assertThat(body(address(servicePort), "/executions")).doesNotContain("2");
  }

  /** Guards against a graceful stop that truncates open streams. */
  @Test
  void gracefulStopCompletesOpenStreams() throws Exception {
    OpenStream openStream = StreamedResponse.open(client, callers[1], "bakery-key", "open");
    openStream.started().await();

    int status = processes.stop("entry-2");

    assertWithMessage(processes.output("entry-2"))
        .that(openStream.response().join().complete())
        .isTrue();
    // A Java process that is terminated by SIGTERM exits with status 143.
    assertThat(status).isAnyOf(0, 143);
  }

  private List<String> referenceContents() {
    return startStreams(callers[1]).stream()
        .map(stream -> stream.response().join())
        .peek(response -> assertThat(response.complete()).isTrue())
        .map(StreamedResponse::content)
        .toList();
  }

  private List<OpenStream> startStreams(String caller) {
    List<OpenStream> streams = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      streams.add(StreamedResponse.open(client, caller, "bakery-key", "question " + i));
    }
    return streams;
  }

  private ExitCode publish(String configuration) throws IOException {
    Path file = Files.writeString(directory.resolve("configuration.json"), configuration);
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
    return CliMain.run(
        InputStream.nullInputStream(),
        stream,
        stream,
        "publish",
        file.toString(),
        "--log",
        address(logPort));
  }

  private int get(String address, String path) throws Exception {
    return client.send(request(address, path), BodyHandlers.discarding()).statusCode();
  }

  private String body(String address, String path) throws Exception {
    return client.send(request(address, path), BodyHandlers.ofString()).body();
  }

  private static HttpRequest request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).build();
  }

  private static void awaitTrue(String what, Callable<Boolean> condition) throws Exception {
    CountDownLatch pause = new CountDownLatch(1);
    for (int i = 0; i < MAX_POLLS; i++) {
      if (isTrue(condition)) {
        return;
      }
      pause.await(POLL_MS, TimeUnit.MILLISECONDS);
    }
    throw new AssertionError("timed out waiting for " + what);
  }

  /** Treats I/O errors as false, as a process that is still starting refuses connections. */
  private static boolean isTrue(Callable<Boolean> condition) throws Exception {
    try {
      return condition.call();
    } catch (IOException e) {
      return false;
    }
  }

  private static String address(int port) {
    return "127.0.0.1:" + port;
  }

  private String logSettings() {
    return "{\"role\":\"log\",\"address\":\""
        + address(logPort)
        + "\",\"retainRecords\":0,\"retainMs\":0,\"appendsPerSecond\":300}";
  }

  private String serviceSettings() {
    return "{\"role\":\"service\",\"address\":\"" + address(servicePort) + "\",\"runMs\":5}";
  }

  private static String engineSettings(int port) {
    return """
        {"role": "engine", "address": "%s", "slots": 16, "tokenIntervalMs": 20, "maxTokens": 64,
         "capacityMib": 24576, "loadMs": 100, "refusesOldFencingNumbers": true,
         "models": {"laying-assistant": 8192}}
        """
        .formatted(address(port));
  }

  private String entrySettings(int number) throws IOException {
    return """
        {"instance": "entry-%d", "zone": "georgia-a", "callerAddress": "%s", "operatorAddress": "%s",
         "peerAddress": "%s", "logAddress": "%s"}
        """
        .formatted(
            number + 1,
            callers[number],
            operators[number],
            address(ChildProcesses.freePort()),
            address(logPort));
  }

  private String configuration(boolean withRestaurant) throws IOException {
    String text = Files.readString(Path.of("..", "examples", "dev", "configuration.json"));
    String adapted =
        text.replace("127.0.0.1:18101", address(enginePorts[0]))
            .replace("127.0.0.1:18102", address(enginePorts[1]))
            .replace("127.0.0.1:18201", address(servicePort));
    return withRestaurant ? adapted : withoutRestaurant(adapted);
  }

  private static String withoutRestaurant(String text) {
    int start = text.indexOf("// The key is \"restaurant-key\"");
    int end = text.indexOf("],\n", text.indexOf("shedOrder", start));
    int comma = text.lastIndexOf(',', start);
    return text.substring(0, comma) + text.substring(end);
  }
}
