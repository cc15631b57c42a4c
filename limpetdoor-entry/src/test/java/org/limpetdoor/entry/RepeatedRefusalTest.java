package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static org.limpetdoor.entry.ScriptedEntry.CHAT;
import static org.limpetdoor.entry.ScriptedEntry.DONE;
import static org.limpetdoor.entry.ScriptedEntry.LAST_CHUNK;
import static org.limpetdoor.entry.ScriptedEntry.SERVICE;
import static org.limpetdoor.entry.ScriptedEntry.STREAM;
import static org.limpetdoor.entry.ScriptedEntry.answer;
import static org.limpetdoor.entry.ScriptedEntry.chunk;
import static org.limpetdoor.entry.ScriptedEntry.refusal;
import static org.limpetdoor.entry.ScriptedEntry.streamHead;
import static org.limpetdoor.entry.ScriptedEntry.token;

import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests an engine that sends an earlier refusal again on a connection that is kept open. */
@Timeout(60)
final class RepeatedRefusalTest {
  private ScriptedEntry entry;

  @BeforeEach
  void start() throws Exception {
    entry = new ScriptedEntry();
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
  }

  /** Guards against "not run" for a call that its engine runs. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void copyOfARefusalIsNotTheAnswerOfTheNextCall(boolean withId) throws Exception {
    StringBuilder echo = new StringBuilder();
    entry
        .first()
        .then(
            call -> {
              echo.append(call.echo());
              call.write(answer(call, "\"first\""));
            });
    assertThat(entry.post(SERVICE, "{}").body()).contains("first");
    entry.first().then(call -> call.write(refusal(withId ? echo.toString() : "")));

    HttpResponse<String> response = entry.post(SERVICE, "{}");

    assertThat(entry.first().calls()).hasSize(2);
    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
  }

  /** Guards against an answer that follows a copy of a refusal and reaches a later caller. */
  @Test
  void answerAfterACopyIsNotTheAnswerOfALaterCall() throws Exception {
    StringBuilder echo = new StringBuilder();
    entry
        .first()
        .then(
            call -> {
              echo.append(call.echo());
              call.write(answer(call, "\"first\""));
            });
    assertThat(entry.post(SERVICE, "{}").body()).contains("first");
    entry.first().then(call -> call.write(refusal(echo.toString()) + answer(call, "\"second\"")));
    assertThat(entry.post(SERVICE, "{}").statusCode()).isEqualTo(502);
    entry.first().then(call -> call.write(answer(call, "\"third\"")));

    assertThat(entry.post(SERVICE, "{}").body()).doesNotContain("second");
  }

  /** Guards against a copy that arrives while no call is open and answers the next one. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void copyWhileIdleIsNotTheAnswerOfTheNextCall(boolean inOnePacket) throws Exception {
    CountDownLatch answered = new CountDownLatch(1);
    CountDownLatch copied = new CountDownLatch(1);
    entry
        .first()
        .then(
            call -> {
              String answer = answer(call, "\"first\"");
              call.write(inOnePacket ? answer + refusal(call.echo()) : answer);
              awaitUninterruptibly(answered);
              call.write(inOnePacket ? "" : refusal(call.echo()));
              copied.countDown();
            });
    assertThat(entry.post(SERVICE, "{}").body()).contains("first");
    answered.countDown();
    copied.await();
    entry.first().then(call -> call.write(answer(call, "\"right\"")));

    assertThat(entry.post(SERVICE, "{}").body()).doesNotContain("not_run");
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against an engine's refusal that is not believed, so that the call isn't retried. */
  @Test
  void refusalWithTheIdentifierIsRetried() throws Exception {
    entry.first().then(call -> call.write(refusal(call.echo())));
    entry
        .second()
        .then(call -> call.write(streamHead(call) + chunk(token("zero") + DONE) + LAST_CHUNK));

    assertThat(entry.post(CHAT, STREAM).body()).contains(token("zero"));
  }
}
