package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.limpetdoor.entry.ScriptedEntry.CHAT;
import static org.limpetdoor.entry.ScriptedEntry.CHUNKED;
import static org.limpetdoor.entry.ScriptedEntry.DONE;
import static org.limpetdoor.entry.ScriptedEntry.EVENT_STREAM;
import static org.limpetdoor.entry.ScriptedEntry.LAST_CHUNK;
import static org.limpetdoor.entry.ScriptedEntry.SERVICE;
import static org.limpetdoor.entry.ScriptedEntry.STREAM;
import static org.limpetdoor.entry.ScriptedEntry.chunk;
import static org.limpetdoor.entry.ScriptedEntry.token;

import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses of engines by their status line. */
@Timeout(60)
final class InvalidStatusTest {
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

  /** Guards against a status that HTTP does not define and that reaches the caller. */
  @ParameterizedTest
  @ValueSource(strings = {"000 OK", "099", "20", "1000", "600", "2x0", "-200", "999", "101 Up"})
  void rejectsAnInvalidStatus(String status) throws Exception {
    answer(status, "Content-Length: 1\r\n\r\nx");

    assertUnknown(entry.post(SERVICE, "{}"));
  }

  /** Guards against an invalid status of a response that ends with its connection. */
  @ParameterizedTest
  @ValueSource(strings = {"000 OK", "099", "20", "1000", "600", "2x0", "-200", "101 Up"})
  void rejectsAnInvalidStatusWithoutLength(String status) throws Exception {
    answer(status, "\r\nwhole");

    assertUnknown(entry.post(SERVICE, "{}"));
  }

  /** Guards against a stream with an invalid status that is relayed, or not tried again. */
  @ParameterizedTest
  @ValueSource(strings = {"000 OK", "099", "20", "1000", "600", "2x0", "-200", "101 Up"})
  void retriesAStreamWithAnInvalidStatus(String status) throws Exception {
    String events = chunk(token("bad")) + chunk(DONE) + LAST_CHUNK;
    answer(status, EVENT_STREAM + CHUNKED + events);
    entry
        .second()
        .then(
            call ->
                call.write(
                    ScriptedEntry.streamHead(call)
                        + chunk(token("good"))
                        + chunk(DONE)
                        + LAST_CHUNK));

    HttpResponse<String> response = entry.post(CHAT, STREAM);

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).contains("good");
    assertThat(response.body()).contains("[DONE]");
    assertThat(response.body()).doesNotContain("bad");
    assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
  }

  /** Guards against an interim response that is taken as the answer or as a fault. */
  @ParameterizedTest
  @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints", "199 Odd"})
  void servesTheResponseAfterAnInterimOne(String status) throws Exception {
    entry
        .first()
        .then(
            call -> {
              call.write("HTTP/1.1 " + status + "\r\n\r\n");
              call.write(ScriptedEntry.answer(call, "{}"));
            });

    HttpResponse<String> response = entry.post(SERVICE, "{}");

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo("{}");
  }

  private void answer(String status, String rest) {
    entry
        .first()
        .then(
            call -> {
              call.write("HTTP/1.1 " + status + "\r\n" + call.echo() + rest);
              if (call.socket().getInputStream().read() < 0) {
                closed.countDown();
              }
            });
  }

  private void assertUnknown(HttpResponse<String> response) throws InterruptedException {
    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
    assertThat(closed.await(20, TimeUnit.SECONDS)).isTrue();
  }
}
