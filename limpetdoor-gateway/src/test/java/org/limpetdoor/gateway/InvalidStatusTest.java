package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.gateway.ControlledEngine.Connection;

/** Tests responses of engines by their status line. */
class InvalidStatusTest {
  private static final String FIELDS = "\r\nSigned: s\r\nCall: c1\r\n";
  private static final String EVENT = "id: 1\ndata: a\n\n";
  private static final String CHUNKED_EVENT =
      "Transfer-Encoding: chunked\r\n\r\nf\r\n" + EVENT + "\r\n0\r\n\r\n";

  private ControlledEngine engine;
  private GatewayFixture gateway;

  @BeforeEach
  void open() throws IOException {
    engine = new ControlledEngine();
    gateway = new GatewayFixture();
  }

  @AfterEach
  void close() throws IOException {
    gateway.close();
    engine.close();
  }

  private Connection forward(boolean streamed) throws Exception {
    gateway.forward(gateway.arrivedCall(), 1, engine, streamed);
    Connection connection = engine.accept();
    connection.readRequest();
    return connection;
  }

  /** Guards against a status that HTTP does not define and that reaches the caller. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "000 OK",
        "099",
        "20",
        "1000",
        "600",
        "2x0",
        "-200",
        "+200",
        "0200",
        "999",
        "101 Upgrade"
      })
  void rejectsAnInvalidStatus(String status) throws Exception {
    assertRejected(false, status + FIELDS + "Content-Length: 1\r\n\r\nx");
  }

  /** Guards against an invalid status at the start of a stream. */
  @ParameterizedTest
  @ValueSource(
      strings = {"000 OK", "099", "20", "1000", "600", "2x0", "-200", "0200", "101 Upgrade"})
  void rejectsAnInvalidStatusOfAStream(String status) throws Exception {
    assertRejected(true, status + FIELDS + CHUNKED_EVENT);
  }

  /** Guards against an invalid status of a response that ends with its connection. */
  @ParameterizedTest
  @ValueSource(
      strings = {"000 OK", "099", "20", "1000", "600", "2x0", "-200", "0200", "101 Upgrade"})
  void rejectsAnInvalidStatusWithoutLength(String status) throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      Connection connection = forward(false);
      connection.write("HTTP/1.1 " + status + FIELDS + "\r\nwhole");
      connection.finish();

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.INVALID_ANSWER);
    }
  }

  /** Guards against an invalid status that is skipped as an interim one or a copy. */
  @ParameterizedTest
  @ValueSource(strings = {"101 Upgrade", "1000", "000 OK"})
  void rejectsAnInvalidStatusBeforeTheResponse(String status) throws Exception {
    String response = "HTTP/1.1 200 OK" + FIELDS + "Content-Length: 1\r\n\r\nx";
    assertRejected(false, status + "\r\nCall: other\r\nContent-Length: 0\r\n\r\n" + response);
  }

  /** Guards against an interim response that is taken as the answer or as a fault. */
  @ParameterizedTest
  @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints", "199"})
  void servesTheResponseAfterAnInterimOne(String status) throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      Connection connection = forward(false);
      connection.write("HTTP/1.1 " + status + "\r\n\r\n");
      connection.write("HTTP/1.1 599 Odd" + FIELDS + "Content-Length: 5\r\n\r\nwhole");

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.ERROR_ANSWER);
      gateway.relayErrorResponse(1, 1);
      assertThat(GatewayFixture.readUntil(caller, "whole")).startsWith("HTTP/1.1 599 Odd");
    }
  }

  private void assertRejected(boolean streamed, String response) throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      Connection connection = forward(streamed);
      connection.write("HTTP/1.1 " + response);

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.INVALID_ANSWER);
      assertThat(connection.readByte()).isEqualTo(-1);
    }
  }
}
