package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.limpetdoor.entry.ScriptedEntry.CHAT;
import static org.limpetdoor.entry.ScriptedEntry.CHUNKED;
import static org.limpetdoor.entry.ScriptedEntry.EVENT_STREAM;
import static org.limpetdoor.entry.ScriptedEntry.SERVICE;
import static org.limpetdoor.entry.ScriptedEntry.STREAM;
import static org.limpetdoor.entry.ScriptedEntry.chunk;
import static org.limpetdoor.entry.ScriptedEntry.streamHead;
import static org.limpetdoor.entry.ScriptedEntry.token;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.limpetdoor.entry.ScriptedEngine.Call;

/** Tests an engine that stops in the middle of its response and ends the connection. */
@Timeout(60)
final class CutResponseTest {
  /** Status for a request whose connection was lost at two engines. */
  private static final int CRASH_SUSPECT = 422;

  private ScriptedEntry entry;

  @BeforeEach
  void start() throws Exception {
    entry = new ScriptedEntry();
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
  }

  /** How an engine ends the connection. */
  enum ConnectionEnd {
    FIN {
      @Override
      void applyTo(Call call) throws IOException {
        call.finish();
      }
    },
    RST {
      @Override
      void applyTo(Call call) throws IOException {
        call.reset();
      }
    };

    abstract void applyTo(Call call) throws IOException;
  }

  static Stream<Arguments> cuts() {
    String type = "HTTP/1.1 200 OK\r\n" + EVENT_STREAM;
    List<String> parts =
        List.of(
            "HTTP/1.1 2",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nConte",
            type,
            type + "Content-Len",
            type + "Content-Length: 4",
            type + "Content-Length: 40\r\n",
            type + "Transfer-Encoding: chunked\r\n",
            type + "Transfer-Encoding: chunked\r\n\r",
            type + "Content-Length: 40\r\n\r\n",
            type + "Content-Length: 40\r\n\r\ndata: [DONE]",
            type + CHUNKED,
            type + CHUNKED + "f",
            type + CHUNKED + "f\r\n",
            type + CHUNKED + "f\r\ndata: [D");
    return parts.stream()
        .flatMap(part -> Arrays.stream(ConnectionEnd.values()).map(end -> Arguments.of(part, end)));
  }

  /** Guards against a success with an empty or a short body that is framed as whole. */
  @ParameterizedTest
  @MethodSource("cuts")
  void cutResponseIsNoSuccess(String part, ConnectionEnd end) throws Exception {
    entry
        .first()
        .then(
            call -> {
              call.write(part);
              end.applyTo(call);
            });

    HttpResponse<String> response = entry.post(SERVICE, "{}");

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
  }

  /** Guards against an empty stream that is framed as whole. */
  @ParameterizedTest
  @MethodSource("cuts")
  void cutStreamIsNoSuccess(String part, ConnectionEnd end) throws Exception {
    for (ScriptedEngine engine : List.of(entry.first(), entry.second())) {
      engine.then(
          call -> {
            call.write(part);
            end.applyTo(call);
          });
    }

    HttpResponse<String> response = entry.post(CHAT, STREAM);

    assertThat(response.statusCode()).isEqualTo(CRASH_SUSPECT);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
  }

  static Stream<Arguments> cutsAfterToken() {
    return Stream.of("", "f", "f\r\n", "f\r\ndata: [DO", "0\r\n", "0\r\n\r\n")
        .flatMap(part -> Arrays.stream(ConnectionEnd.values()).map(end -> Arguments.of(part, end)));
  }

  /** Guards against a stream that ends as if it were complete after its first tokens. */
  @ParameterizedTest
  @MethodSource("cutsAfterToken")
  void streamCutAfterTokensEndsWithAnError(String part, ConnectionEnd end) throws Exception {
    for (ScriptedEngine engine : List.of(entry.first(), entry.second())) {
      engine.then(
          call -> {
            call.write(streamHead(call) + chunk(token("zero")) + part);
            end.applyTo(call);
          });
    }

    HttpResponse<String> response = entry.post(CHAT, STREAM);

    assertThat(response.body()).doesNotContain("[DO");
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
  }
}
