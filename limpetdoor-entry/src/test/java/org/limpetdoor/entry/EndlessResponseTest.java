package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.limpetdoor.entry.ScriptedEntry.CHAT;
import static org.limpetdoor.entry.ScriptedEntry.EVENT_STREAM;
import static org.limpetdoor.entry.ScriptedEntry.SERVICE;
import static org.limpetdoor.entry.ScriptedEntry.STREAM;
import static org.limpetdoor.entry.ScriptedEntry.token;

import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests engines that send bytes without end until their caller closes the connection. */
@Timeout(60)
final class EndlessResponseTest {
  private static final String LINE = "HTTP/1.1 200 OK\r\n";
  private static final String HEAD = LINE + "Content-Type: text/plain\r\n\r\n";
  private static final String STREAM_HEAD = LINE + EVENT_STREAM + "\r\n";

  private final CountDownLatch closed = new CountDownLatch(1);
  private ScriptedEntry entry;

  @BeforeEach
  void start() throws Exception {
    entry = new ScriptedEntry();
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
  }

  private void sendEndlessly(String start, String repeated) {
    entry
        .first()
        .then(
            call -> {
              try {
                call.write(start);
                while (true) {
                  call.write(repeated);
                }
              } finally {
                closed.countDown();
              }
            });
  }

  static Stream<Arguments> responses() {
    return Stream.of(
        Arguments.of("", "x".repeat(1_000)),
        Arguments.of(LINE, "Name: value\r\n"),
        Arguments.of(LINE + "Name: ", "x".repeat(1_000)));
  }

  /** Guards against a head without end that fills the memory of the process. */
  @ParameterizedTest
  @MethodSource("responses")
  void cutsOffAHeadWithoutEnd(String start, String repeated) throws Exception {
    sendEndlessly(start, repeated);

    HttpResponse<String> response = entry.post(SERVICE, "{}");

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(closed.await(30, TimeUnit.SECONDS)).isTrue();
  }

  /** Guards against a body without end that fills the memory of the process. */
  @Test
  void failsABodyWithoutEnd() throws Exception {
    sendEndlessly(HEAD, "x".repeat(16_000));

    HttpResponse<String> response = entry.post(SERVICE, "{}");

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
  }

  /** Guards against an engine that goes on sending a body that has failed. */
  @Test
  void closesTheConnectionOfABodyWithoutEnd() throws Exception {
    sendEndlessly(HEAD, "x".repeat(16_000));

    entry.post(SERVICE, "{}");

    assertThat(closed.await(30, TimeUnit.SECONDS)).isTrue();
  }

  static Stream<Arguments> events() {
    return Stream.of(
        Arguments.of(STREAM_HEAD, "x".repeat(16_000)),
        Arguments.of(STREAM_HEAD, "data: x\n"),
        Arguments.of(STREAM_HEAD + token("zero"), "data: " + "x".repeat(16_000)));
  }

  /** Guards against an event without end that fills the memory of the process. */
  @ParameterizedTest
  @MethodSource("events")
  void failsAnEventWithoutEnd(String start, String repeated) throws Exception {
    sendEndlessly(start, repeated);
    entry.second().then(call -> call.write(LINE + "Content-Length: 0\r\n\r\n"));

    HttpResponse<String> response = entry.post(CHAT, STREAM);

    assertThat(response.body()).doesNotContain("[DONE]");
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
  }

  /** Guards against an engine that goes on sending an event that has failed its stream. */
  @ParameterizedTest
  @MethodSource("events")
  void closesTheConnectionOfAnEventWithoutEnd(String start, String repeated) throws Exception {
    sendEndlessly(start, repeated);
    entry.second().then(call -> call.write(LINE + "Content-Length: 0\r\n\r\n"));

    entry.post(CHAT, STREAM);

    assertThat(closed.await(30, TimeUnit.SECONDS)).isTrue();
  }
}
