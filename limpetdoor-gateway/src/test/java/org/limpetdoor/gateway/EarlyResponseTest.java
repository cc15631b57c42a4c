package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetdoor.core.event.EngineNoticeReceived;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.gateway.ControlledEngine.Connection;

/** Tests responses without a length that begin while their request is still being written. */
class EarlyResponseTest {
  /** The engine's notice shows the test that the gateway has read the head. */
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nSigned: s\r\nCall: c1\r\nLeaving: true\r\n\r\n";

  private static final String EVENT = "id: 1\ndata: a\n\n";

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

  private void writeEarly(Connection connection, String bytes) throws Exception {
    connection.write(bytes);
    assertThat(gateway.next(EngineNoticeReceived.class).notice().leaving()).isTrue();
  }

  /**
   * Guards against a reset that is found by the write of the request and taken as a whole answer.
   */
  @Test
  void aResponseThatIsResetBeforeItsRequestIsWrittenIsLost() throws Exception {
    try (Socket caller = gateway.sendLongCall("c1")) {
      Connection connection = forward(false);
      writeEarly(connection, HEAD + "whol");
      connection.reset();

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.REQUEST_CUT);
    }
  }

  /** Guards against a stream that is reset between two events and ends as complete. */
  @ParameterizedTest
  @ValueSource(strings = {"", EVENT})
  void aStreamThatIsResetBeforeItsRequestIsWrittenIsLost(String events) throws Exception {
    try (Socket caller = gateway.sendLongCall("c1")) {
      Connection connection = forward(true);
      writeEarly(connection, HEAD + events);
      connection.reset();

      ForwardEnded ended = gateway.nextEnd();
      assertThat(ended.result()).isEqualTo(ForwardResult.REQUEST_CUT);
      gateway.relayErrorResponse(1, 1);
      assertThat(GatewayFixture.readAll(caller)).doesNotContain("0\r\n\r\n");
    }
  }

  /** Guards against a crash whose reset follows the FIN of its kernel. */
  @Test
  void aResponseWhoseConnectionIsResetAfterItsEndIsLost() throws Exception {
    try (Socket caller = gateway.sendLongCall("c1")) {
      Connection connection = forward(false);
      writeEarly(connection, HEAD + "whol");
      connection.finish();
      connection.readBody(1);
      connection.reset();

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.REQUEST_CUT);
    }
  }

  /** Guards against refusing the whole answer of an engine that reads the request to its end. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void relaysAnEarlyResponseOfAnEngineThatReadsOn(boolean endsFirst) throws Exception {
    try (Socket caller = gateway.sendLongCall("c1")) {
      Connection connection = forward(false);
      writeEarly(connection, HEAD + "whole");
      if (endsFirst) {
        connection.finish();
        connection.readBody(GatewayFixture.LONG_BODY_BYTES);
      } else {
        connection.readBody(GatewayFixture.LONG_BODY_BYTES);
        connection.finish();
      }

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.COMPLETED);
      assertThat(GatewayFixture.readUntil(caller, "whole")).startsWith("HTTP/1.1 200 OK");
    }
  }
}
