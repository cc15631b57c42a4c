package org.limpetdoor.cli;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ExplainLogsTest {
  @TempDir private Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private ExitCode run(String... args) {
    return CliMain.run(
        new ByteArrayInputStream(new byte[0]),
        new PrintStream(out, true, UTF_8),
        new PrintStream(err, true, UTF_8),
        args);
  }

  private String file(String name, String... lines) throws IOException {
    return Files.write(directory.resolve(name), List.of(lines)).toString();
  }

  /** Guards against omitting a cause that only the log of another process contains. */
  @Test
  void showsTheCallAndEarlierStatusChangesNewestFirst() throws IOException {
    String one =
        file(
            "one.log",
            "event=call_routed call=c1 engine=e1 at_ms=1000",
            "event=call_refused call=c1 reason=outcome_unknown at_ms=3000",
            "event=call_refused call=c2 reason=no_engine at_ms=2500");
    String two =
        file(
            "two.log",
            "event=engine engine=e1 state=gone at_ms=2000",
            "event=engine engine=e9 state=gone at_ms=2100",
            "event=dependency name=store state=unreachable at_ms=2200");

    assertThat(run("explain-logs", "c1", one, two)).isEqualTo(ExitCode.OK);

    assertThat(out.toString(UTF_8).lines().map(line -> line.replaceAll(" event=.*", "")).toList())
        .containsExactly("3000 one.log", "2200 two.log", "2000 two.log", "1000 one.log")
        .inOrder();
  }

  /** Guards against an empty result that is reported as success. */
  @Test
  void reportsCallsThatNoLineNames() throws IOException {
    String one = file("one.log", "event=call_routed call=c1 at_ms=1000");

    assertThat(run("explain-logs", "c7", one)).isEqualTo(ExitCode.UNKNOWN_REQUEST);
  }

  /** Guards against silently skipping a file that cannot be read. */
  @Test
  void rejectsUnreadableFiles() {
    assertThat(run("explain-logs", "c1", "absent.log")).isEqualTo(ExitCode.INVALID_INPUT);
    assertThat(run("explain-logs", "c1")).isEqualTo(ExitCode.USAGE);
  }
}
