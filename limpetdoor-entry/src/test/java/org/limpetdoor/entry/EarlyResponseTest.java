package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.limpetdoor.entry.ScriptedEntry.CHAT;
import static org.limpetdoor.entry.ScriptedEntry.EVENT_STREAM;
import static org.limpetdoor.entry.ScriptedEntry.SERVICE;
import static org.limpetdoor.entry.ScriptedEntry.token;

import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests responses without a length that begin while their request is still being written. */
@Timeout(60)
final class EarlyResponseTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\n" + EVENT_STREAM + "\r\n";

  /** Longer than the buffers between entry and engine. */
  private static final int LONG_TEXT_BYTES = 3_000_000;

  private ScriptedEntry entry;

  @BeforeEach
  void start() throws Exception {
    entry = new ScriptedEntry();
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
  }

  private static String longText() {
    return "x".repeat(LONG_TEXT_BYTES);
  }

  /**
   * Guards against a reset that is found by the write of the request and taken as a whole answer.
   */
  @Test
  void aResponseThatIsResetBeforeItsRequestIsWrittenIsLost() throws Exception {
    entry
        .first()
        .answersEarly()
        .then(
            call -> {
              call.write(HEAD + "whol");
              call.awaitReader();
              call.reset();
            });

    HttpResponse<String> response = entry.post(SERVICE, "\"" + longText() + "\"");

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
  }

  /** Guards against a stream that is reset between two events and ends as complete. */
  @Test
  void aStreamThatIsResetBeforeItsRequestIsWrittenIsBrokenOff() throws Exception {
    for (ScriptedEngine engine : List.of(entry.first(), entry.second())) {
      engine
          .answersEarly()
          .then(
              call -> {
                call.write(HEAD + token("zero"));
                call.awaitReader();
                call.reset();
              });
    }

    HttpResponse<String> response = entry.post(CHAT, ScriptedEntry.streamOf(longText()));

    assertThat(response.body()).doesNotContain("[DONE]");
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
  }

  /** Guards against refusing the whole answer of an engine that reads the request to its end. */
  @Test
  void relaysAnEarlyResponseOfAnEngineThatReadsOn() throws Exception {
    entry
        .first()
        .answersEarly()
        .then(
            call -> {
              call.write(HEAD + "whole");
              call.readBody();
              call.finish();
            });

    HttpResponse<String> response = entry.post(SERVICE, "\"" + longText() + "\"");

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo("whole");
  }
}
