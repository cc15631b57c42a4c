package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.limpetdoor.entry.ScriptedEntry.CHAT;
import static org.limpetdoor.entry.ScriptedEntry.EVENT_STREAM;
import static org.limpetdoor.entry.ScriptedEntry.SERVICE;
import static org.limpetdoor.entry.ScriptedEntry.STREAM;
import static org.limpetdoor.entry.ScriptedEntry.token;

import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses with neither a length nor chunks, which end with their connection. */
@Timeout(60)
final class CloseDelimitedResponseTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\n" + EVENT_STREAM + "\r\n";
  private static final String DONE = "data: [DONE]\n\n";

  private ScriptedEntry entry;

  @BeforeEach
  void start() throws Exception {
    entry = new ScriptedEntry();
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
  }

  /** Guards against refusing a whole response because it states no length. */
  @Test
  void relaysAResponseThatEndsWithItsConnection() throws Exception {
    entry
        .first()
        .then(
            call -> {
              call.write(HEAD + "whole");
              call.finish();
            });

    HttpResponse<String> response = entry.post(SERVICE, "{}");

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo("whole");
  }

  /** Guards against a caller that is cut off by a response longer than its send buffer. */
  @Test
  void relaysALongResponseThatEndsWithItsConnection() throws Exception {
    String body = "x".repeat(300_000);
    entry
        .first()
        .then(
            call -> {
              call.write(HEAD + body);
              call.finish();
            });

    HttpResponse<String> response = entry.post(SERVICE, "{}");

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).hasLength(body.length());
  }

  /** Guards against a response that is cut by a reset and relayed as whole. */
  @Test
  void doesNotRelayAResponseThatWasReset() throws Exception {
    entry
        .first()
        .then(
            call -> {
              call.write(HEAD + "whol");
              call.reset();
            });

    HttpResponse<String> response = entry.post(SERVICE, "{}");

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
  }

  /** Guards against an error although the stream is complete. */
  @Test
  void endsAStreamThatEndsWithItsConnection() throws Exception {
    entry
        .first()
        .then(
            call -> {
              call.write(HEAD + token("zero") + DONE);
              call.finish();
            });

    HttpResponse<String> response = entry.post(CHAT, STREAM);

    assertThat(response.body()).contains("zero");
    assertThat(response.body()).contains("[DONE]");
  }

  /** Guards against a stream that ends inside an event and is taken as complete. */
  @ParameterizedTest
  @ValueSource(strings = {"", "da", "data: [DONE]", "data: [DONE]\n"})
  void aStreamThatEndsInsideAnEventIsBrokenOff(String part) throws Exception {
    for (ScriptedEngine engine : List.of(entry.first(), entry.second())) {
      engine.then(
          call -> {
            call.write(HEAD + token("zero") + part);
            call.finish();
          });
    }

    HttpResponse<String> response = entry.post(CHAT, STREAM);

    assertThat(response.body()).doesNotContain("[DO");
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
  }
}
