package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.limpetdoor.entry.ScriptedEntry.CHAT;
import static org.limpetdoor.entry.ScriptedEntry.CHUNKED;
import static org.limpetdoor.entry.ScriptedEntry.DONE;
import static org.limpetdoor.entry.ScriptedEntry.EVENT_STREAM;
import static org.limpetdoor.entry.ScriptedEntry.LAST_CHUNK;
import static org.limpetdoor.entry.ScriptedEntry.STREAM;
import static org.limpetdoor.entry.ScriptedEntry.chunk;
import static org.limpetdoor.entry.ScriptedEntry.streamHead;
import static org.limpetdoor.entry.ScriptedEntry.token;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.limpetdoor.entry.ScriptedEngine.Call;

/** Tests what callers receive when an engine is to resume a stream that has broken off. */
@Timeout(60)
final class ResumedStreamTest {
  private ScriptedEntry entry;

  @BeforeEach
  void start() throws Exception {
    entry = new ScriptedEntry();
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
  }

  private static void streamTwoTokensAndBreakOff(Call call) throws IOException {
    call.write(streamHead(call) + chunk(token("zero") + token("one")) + chunk("data: {\"cho"));
    call.finish();
  }

  static Stream<Arguments> wrongContinuations() {
    String head = "HTTP/1.1 200 OK\r\n" + EVENT_STREAM;
    String resumed = head + "Limpetdoor-Resume-At: 2\r\n" + CHUNKED;
    String restart = chunk(token("zero") + token("one") + token("two") + DONE) + LAST_CHUNK;
    String error = chunk("data: {\"error\":{\"message\":\"boom\"}}\n\n" + DONE) + LAST_CHUNK;
    return Stream.of(
            "HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nboom!!",
            "HTTP/1.1 500 Error\r\n" + EVENT_STREAM + CHUNKED + chunk("data: boom\n\n" + DONE),
            "HTTP/1.1 500 Error\r\n" + EVENT_STREAM + CHUNKED + error,
            "HTTP/1.1 404 Error\r\n" + EVENT_STREAM + CHUNKED + error,
            "HTTP/1.1 421 Error\r\n" + EVENT_STREAM + CHUNKED + error,
            "HTTP/1.1 503 Error\r\nLimpetdoor-Not-Started: true\r\n" + CHUNKED + error,
            head + CHUNKED + restart,
            head + "Limpetdoor-Resume-At: 0\r\n" + CHUNKED + restart,
            head + "Limpetdoor-Resume-At: 3\r\n" + CHUNKED + restart,
            head + CHUNKED + LAST_CHUNK,
            "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 6\r\n\r\nboom!!",
            resumed + error,
            resumed + chunk("data: boom\n\n" + DONE) + LAST_CHUNK,
            resumed + chunk("event: error\ndata: boom\n\n" + DONE) + LAST_CHUNK,
            resumed + LAST_CHUNK)
        .map(Arguments::of);
  }

  /** Guards against an error's text or repeated tokens in a stream, or its end as complete. */
  @ParameterizedTest
  @MethodSource("wrongContinuations")
  void wrongContinuationIsNotRelayed(String continuation) throws Exception {
    entry.first().then(ResumedStreamTest::streamTwoTokensAndBreakOff);
    entry
        .second()
        .then(
            call -> {
              for (String part : continuation.split("(?<=\r)")) {
                call.write(part);
              }
              call.finish();
            });

    HttpResponse<String> response = entry.post(CHAT, STREAM);

    String problem = response.body().replace(token("zero") + token("one"), "");
    assertThat(problem).startsWith("event: error\n");
    assertThat(problem).contains("\"outcome\":\"unknown\"");
    assertThat(problem.split("data:", -1)).hasLength(2);
    assertThat(problem).doesNotContain("boom");
  }

  /** Guards against a check that rejects a stream which goes on after the last token. */
  @Test
  void continuationIsRelayed() throws Exception {
    entry.first().then(ResumedStreamTest::streamTwoTokensAndBreakOff);
    entry
        .second()
        .then(call -> call.write(streamHead(call) + chunk(token("two") + DONE) + LAST_CHUNK));

    assertThat(entry.post(CHAT, STREAM).body())
        .isEqualTo(token("zero") + token("one") + token("two") + DONE);
  }
}
