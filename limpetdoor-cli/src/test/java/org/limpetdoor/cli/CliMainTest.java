package org.limpetdoor.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.limpetdoor.cli.FakeLog.Step;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.format.record.LogRecordCodec;
import org.limpetdoor.format.record.MessagePackMaps;
import org.limpetdoor.runtime.log.LogService;

final class CliMainTest {
  private static final String EXAMPLE = "../examples/dev/configuration.json";
  private static final String ADDRESS = "127.0.0.1:1";

  @TempDir private Path directory;
  private final FakeLog log = new FakeLog();
  private final AtomicInteger appenders = new AtomicInteger();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private LogService openedLog = log;
  private String input = "";

  /** Guards against a shipped example that the command line rejects. */
  @Test
  void validateAcceptsTheExample() {
    assertThat(run("validate", EXAMPLE)).isEqualTo(ExitCode.OK);
    assertThat(text(out)).contains("models=2");
  }

  /** Guards against JSON output without the location of a problem. */
  @Test
  void validateReportsProblemsAsJson() throws IOException {
    Path file = Files.writeString(directory.resolve("wrong.json"), "{\n \"model\": []}");
    JsonNode result = json(ExitCode.INVALID_INPUT, "validate", file.toString());
    JsonNode problem = result.path("problems").path(0);
    assertThat(problem.path("line").asInt()).isEqualTo(2);
    assertThat(problem.path("path").asText()).isEqualTo("model");
    assertThat(result.path("nextStep").asText()).isNotEmpty();
  }

  /** Guards against reporting an unreadable file without its name or as an internal fault. */
  @Test
  void unreadableFilesAreInvalidInput() {
    assertThat(run("validate", "absent.json")).isEqualTo(ExitCode.INVALID_INPUT);
    assertThat(text(err)).contains("absent.json");
  }

  /** Guards against a usage error that looks like success to a script. */
  @Test
  void wrongCommandLinesAreUsageErrors() {
    assertThat(run("validate")).isEqualTo(ExitCode.USAGE);
    assertThat(run("unknown")).isEqualTo(ExitCode.USAGE);
    assertThat(run("help", "unknown")).isEqualTo(ExitCode.USAGE);
    assertThat(run("history")).isEqualTo(ExitCode.USAGE);
    assertThat(run("history", "--log", ADDRESS, "--stream", "a b")).isEqualTo(ExitCode.USAGE);
    assertThat(run("history", "--log", "somewhere")).isEqualTo(ExitCode.USAGE);
    assertThat(run("publish", EXAMPLE, "--log", ADDRESS, "--base", "x")).isEqualTo(ExitCode.USAGE);
    assertThat(json(ExitCode.USAGE, "validate").path("message").asText()).isNotEmpty();
  }

  /** Guards against help that omits commands or their options. */
  @Test
  void helpListsTheCommands() {
    assertThat(run()).isEqualTo(ExitCode.OK);
    assertThat(text(out)).contains("key-digest");
    assertThat(run("help", "publish")).isEqualTo(ExitCode.OK);
    assertThat(text(out)).contains("--base");
  }

  /** Guards against appending a record although the content is unchanged. */
  @Test
  void publishReportsTheNewVersionAndThenNoChange() {
    assertThat(publish().path("version").asLong()).isEqualTo(0);
    assertThat(publish().path("changed").asBoolean()).isFalse();
    assertThat(log.bodies()).hasSize(1);
  }

  /** Guards against treating a repeated append as a second publication or as a conflict. */
  @Test
  void publishRepeatsAnAppendWhoseResponseWasLost() {
    log.script(Step.LOSE_ANSWER, Step.LOSE_REQUEST);
    assertThat(publish().path("version").asLong()).isEqualTo(0);
    assertThat(log.bodies()).hasSize(2);
    assertThat(LogRecordCodec.decode(log.bodies().get(1)).id())
        .isEqualTo(LogRecordCodec.decode(log.bodies().get(0)).id());
    JsonNode history = json(ExitCode.OK, "history", "--log", ADDRESS);
    assertThat(history.path("publications")).hasSize(1);
    assertThat(history.path("versionInForce").asLong()).isEqualTo(0);
  }

  /** Guards against reporting a failure although the publication is in force. */
  @Test
  void publishReadsBackWhenEveryResponseIsLost() {
    log.script(
        Step.LOSE_ANSWER, Step.LOSE_ANSWER, Step.LOSE_REQUEST, Step.LOSE_REQUEST, Step.UNREACHABLE);
    assertThat(publish().path("version").asLong()).isEqualTo(0);
  }

  /** Guards against reporting that nothing was changed while a record may still be appended. */
  @Test
  void publishReportsAnUnknownOutcome() {
    Step lost = Step.LOSE_REQUEST;
    log.script(lost, lost, lost, lost, Step.UNREACHABLE);
    assertThat(run("publish", EXAMPLE, "--log", ADDRESS)).isEqualTo(ExitCode.OUTCOME_UNKNOWN);
  }

  /** Guards against reporting an unreachable log as an unknown outcome. */
  @Test
  void publishReportsAnUnreachableLog() {
    Step unreachable = Step.UNREACHABLE;
    log.script(unreachable, unreachable, unreachable, unreachable, unreachable);
    assertThat(run("publish", EXAMPLE, "--log", ADDRESS)).isEqualTo(ExitCode.LOG_UNAVAILABLE);
    assertThat(text(err)).contains("next: ");
  }

  /** Guards against a publication that overwrites a version that the operator has not seen. */
  @Test
  void publishRejectsAnOldBase() {
    log.add(publicationOf("rival"));
    JsonNode result = json(ExitCode.CONFLICT, "publish", EXAMPLE, "--log", ADDRESS, "--base", "-1");
    assertThat(result.path("versionInForce").asLong()).isEqualTo(0);
    assertThat(result.path("publisher").asText()).isEqualTo("rival");
    assertThat(log.bodies()).hasSize(1);
  }

  /** Guards against reporting success to both of two operators who publish concurrently. */
  @Test
  void publishReportsAConflictWhenAnotherRecordIsAppendedFirst() {
    openedLog = new RacingLog(log, publicationOf("rival"));
    JsonNode result = json(ExitCode.CONFLICT, "publish", EXAMPLE, "--log", ADDRESS);
    assertThat(result.path("publisher").asText()).isEqualTo("rival");
    assertThat(log.bodies()).hasSize(2);
    assertThat(json(ExitCode.OK, "history", "--log", ADDRESS).path("versionInForce").asLong())
        .isEqualTo(0);
  }

  /** Guards against publishing a patch computed from a log that has lost its first records. */
  @Test
  void publishRefusesALogThatLostOldRecords() {
    log.add(publicationOf("rival"));
    log.trimTo(1);
    assertThat(run("publish", EXAMPLE, "--log", ADDRESS)).isEqualTo(ExitCode.HISTORY_INCOMPLETE);
  }

  /** Guards against malformed bytes in the stream that prevent all later publications. */
  @Test
  void malformedRecordsAreSkipped() {
    log.add(new byte[] {1, 2, 3});
    assertThat(publish().path("version").asLong()).isEqualTo(1);
  }

  /** Guards against an old command line that undoes records which it cannot read. */
  @Test
  void publishRefusesALogWithRecordsOfALaterVersion() {
    log.add(MessagePackMaps.encode(Map.of("minReaderVersion", 2L)));
    assertThat(run("publish", EXAMPLE, "--log", ADDRESS)).isEqualTo(ExitCode.LATER_VERSION_NEEDED);
    assertThat(log.bodies()).hasSize(1);
  }

  /** Guards against a comparison that omits or misnames entries. */
  @Test
  void diffNamesAddedChangedAndRemovedEntries() throws IOException {
    publish();
    String changed =
        Files.readString(Path.of(EXAMPLE))
            .replace("\"weight\": 1", "\"weight\": 2")
            .replace("\"id\": \"orders\"", "\"id\": \"accounts\"");
    Path file = Files.writeString(directory.resolve("changed.json"), changed);
    assertThat(run("diff", file.toString(), "--log", ADDRESS)).isEqualTo(ExitCode.OK);
    assertThat(text(out).lines())
        .containsAtLeast("change contract bakery", "add service accounts", "remove service orders");
    JsonNode result = json(ExitCode.OK, "diff", file.toString(), "--log", ADDRESS);
    assertThat(result.path("patch").path("contracts")).hasSize(2);
  }

  /** Guards against a digest that includes the line break after the key. */
  @Test
  void keyDigestMatchesTheExample() throws IOException {
    input = "bakery-key\n";
    assertThat(run("key-digest")).isEqualTo(ExitCode.OK);
    assertThat(Files.readString(Path.of(EXAMPLE))).contains(text(out).strip());
  }

  /** Guards against printing the digest of an empty key. */
  @Test
  void keyDigestRefusesAnEmptyKey() {
    input = "\n";
    assertThat(run("key-digest")).isEqualTo(ExitCode.INVALID_INPUT);
  }

  private JsonNode publish() {
    return json(ExitCode.OK, "publish", EXAMPLE, "--log", ADDRESS, "--publisher", "tester");
  }

  private JsonNode json(ExitCode expected, String... args) {
    String[] all = Arrays.copyOf(args, args.length + 1);
    all[args.length] = "--json";
    assertThat(run(all)).isEqualTo(expected);
    try {
      return new ObjectMapper().readTree(text(out));
    } catch (IOException e) {
      throw new AssertionError(text(out), e);
    }
  }

  private ExitCode run(String... args) {
    out.reset();
    err.reset();
    CliContext context =
        new CliContext(
            new ByteArrayInputStream(input.getBytes(UTF_8)),
            (address, stream) -> openedLog,
            () -> "cli:" + appenders.incrementAndGet(),
            HttpOperatorService::new,
            line -> {},
            () -> 0,
            0);
    PrintStream outStream = new PrintStream(out, true, UTF_8);
    return new CliMain(context, outStream, new PrintStream(err, true, UTF_8)).execute(args);
  }

  private static String text(ByteArrayOutputStream stream) {
    return stream.toString(UTF_8);
  }

  private static byte[] publicationOf(String publisher) {
    ConfigurationPublished record =
        new ConfigurationPublished(-1, publisher, ConfigurationPatch.EMPTY);
    return LogRecordCodec.encode(new Envelope(new AppendId(publisher, 1), record));
  }

  /** A log to which another operator appends a record just before the first append. */
  private static final class RacingLog implements LogService {
    private final FakeLog log;
    private byte[] competingRecord;

    RacingLog(FakeLog log, byte[] competingRecord) {
      this.log = log;
      this.competingRecord = competingRecord;
    }

    @Override
    public long append(byte[] body) {
      if (competingRecord != null) {
        log.add(competingRecord);
        competingRecord = null;
      }
      return log.append(body);
    }

    @Override
    public Page read(long from, int max, int waitMs) {
      return log.read(from, max, waitMs);
    }
  }
}
