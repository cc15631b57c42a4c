package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.core.gateway.Reply;
import org.limpetdoor.gateway.ControlledEngine.Connection;

/** Tests what callers receive when an engine is to resume a stream that has broken off. */
class ResumedStreamTest {
  private static final String EVENTS_SENT = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: note\n\n";
  private static final String CHUNKED = "Call: c1\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Type: text/event-stream\r\n" + CHUNKED;
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private ControlledEngine engine;
  private ControlledEngine next;
  private GatewayFixture gateway;
  private Socket caller;
  private Connection connection;
  private long call;

  @BeforeEach
  void breakOffStream() throws Exception {
    engine = new ControlledEngine();
    next = new ControlledEngine();
    gateway = new GatewayFixture();
    caller = gateway.sendCall("c1");
    call = gateway.arrivedCall();
    gateway.forward(call, 1, engine, true);
    Connection broken = engine.accept();
    broken.readRequest();
    broken.write(STREAM_HEAD + chunk(EVENTS_SENT) + chunk("id: 3\nda"));
    assertThat(GatewayFixture.readUntil(caller, "data: note\n\n\r\n")).contains(EVENTS_SENT);
    broken.finish();
    assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.CONNECTION_LOST);
    gateway.forward(call, 2, next, true);
    connection = next.accept();
    assertThat(connection.readRequest()).contains("Last-Event-Id: 2");
  }

  @AfterEach
  void close() throws IOException {
    caller.close();
    gateway.close();
    engine.close();
    next.close();
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String error(int status, String headers) {
    String body = "data: error\n\n";
    return "HTTP/1.1 " + status + " Error\r\n" + headers + CHUNKED + chunk(body) + LAST_CHUNK;
  }

  /** Checks that the attempt fails and that nothing of its response reaches the caller. */
  private void assertNothingRelayed(ForwardResult expected) throws Exception {
    ForwardEnded end = gateway.nextEnd();
    assertThat(end.result()).isEqualTo(expected);
    assertThat(end.delivered()).isTrue();
    gateway.relayErrorResponse(call, 2);
    assertThat(GatewayFixture.readAll(caller)).isEmpty();
  }

  /** Guards against the text of an error in the middle of a stream. */
  @ParameterizedTest
  @CsvSource({
    "500, 'Signed: s\r\nContent-Type: text/plain\r\n', ERROR_ANSWER",
    "500, 'Signed: s\r\nContent-Type: text/event-stream\r\n', ERROR_ANSWER",
    "404, 'Signed: s\r\nContent-Type: text/event-stream\r\n', ERROR_ANSWER",
    "500, 'Content-Type: text/event-stream\r\n', INVALID_ANSWER",
    "200, 'Content-Type: text/event-stream\r\n', INVALID_ANSWER",
    "503, 'Not-Run: 1\r\nContent-Type: text/event-stream\r\n', BUSY",
    "421, 'Not-Run: 1\r\nContent-Type: text/event-stream\r\n', MISDIRECTED",
    "503, 'Signed: s\r\nContent-Type: text/event-stream\r\n', INVALID_ANSWER",
  })
  void errorIsNotRelayed(int status, String headers, ForwardResult expected) throws Exception {
    connection.write(error(status, headers));

    assertNothingRelayed(expected);
  }

  /** Guards against the head of an error in the middle of a stream when it comes in parts. */
  @Test
  void errorWhoseHeadIsSplitIsNotRelayed() throws Exception {
    String error = error(500, "Signed: s\r\nContent-Type: text/event-stream\r\n");
    for (int i = 0; i < error.length(); i++) {
      connection.write(error.substring(i, i + 1));
    }

    assertNothingRelayed(ForwardResult.ERROR_ANSWER);
  }

  /** Guards against events that come twice, are missing or belong to no run of the call. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "id: 2\ndata: b\n\n",
        "id: 1\ndata: a\n\n",
        "id: 4\ndata: d\n\n",
        "id: 3\ndata: c\n\nid: 3\ndata: c\n\n",
        "id: 3\ndata: c\n\nid: 2\ndata: b\n\n",
        "data: error\n\n",
        "event: error\ndata: error\n\n",
        "id: x\ndata: error\n\n",
        "id:\ndata: error\n\n",
        "{\"error\": \"text\"}\n\n",
        "HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\n",
      })
  void eventsThatDoNotContinueTheStreamAreNotRelayed(String events) throws Exception {
    connection.write(STREAM_HEAD + chunk(events) + LAST_CHUNK);

    assertNothingRelayed(ForwardResult.INVALID_ANSWER);
  }

  /** Guards against a stream that ends as if it were complete though it was not resumed. */
  @Test
  void resumedStreamWithoutEventsIsNotComplete() throws Exception {
    connection.write(STREAM_HEAD + LAST_CHUNK);

    assertNothingRelayed(ForwardResult.INVALID_ANSWER);
  }

  /** Guards against a stream that ends as if it were complete in the middle of an event. */
  @Test
  void resumedStreamThatStopsWithinAnEventIsNotComplete() throws Exception {
    String event = "id: 3\ndata: c\n\n";
    connection.write(STREAM_HEAD + chunk(event) + chunk("id: 4\nda") + LAST_CHUNK);

    assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.INVALID_ANSWER);
    gateway.relayErrorResponse(call, 2);
    assertThat(GatewayFixture.readAll(caller)).isEqualTo(chunk(event));
  }

  /** Guards against a check that rejects a stream which goes on after the last event. */
  @Test
  void streamThatContinuesIsRelayed() throws Exception {
    String events = "version: 3\nid: 3\ndata: c\n\nid: 4\ndata: d\n\ndata: end\n\n";
    connection.write(STREAM_HEAD + chunk(events) + LAST_CHUNK);

    assertThat(GatewayFixture.readUntil(caller, LAST_CHUNK)).isEqualTo(chunk(events) + LAST_CHUNK);
    assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.COMPLETED);
  }

  /** Guards against a reply of the gateway in the middle of a stream that has just begun. */
  @Test
  void replyToABegunStreamClosesItsConnection() throws Exception {
    // Shorter than the idle timeout, which would close the connection as well.
    caller.setSoTimeout(5_000);

    gateway.apply(new ReplyToCall(call, Reply.TIMED_OUT, 0));

    assertThat(GatewayFixture.readAll(caller)).isEmpty();
  }
}
