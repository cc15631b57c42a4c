package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.gateway.ControlledEngine.Connection;

/** Tests responses with neither a length nor chunks, which end with their connection. */
class CloseDelimitedResponseTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nSigned: s\r\nCall: c1\r\n\r\n";

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

  /** Guards against refusing a whole response because it states no length. */
  @Test
  void relaysAResponseThatEndsWithItsConnection() throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      Connection connection = forward(false);
      connection.write(HEAD + "whole");
      connection.finish();

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.COMPLETED);
      assertThat(GatewayFixture.readUntil(caller, "whole")).startsWith("HTTP/1.1 200 OK");
    }
  }

  /** Guards against a caller that is cut off by a response longer than its send buffer. */
  @Test
  void relaysALongResponseThatEndsWithItsConnection() throws Exception {
    String body = "x".repeat(300_000);
    try (Socket caller = gateway.sendCall("c1")) {
      Connection connection = forward(false);
      connection.write(HEAD + body);
      connection.finish();

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.COMPLETED);
      String head = GatewayFixture.readUntil(caller, "\r\n\r\n");
      assertThat(head).startsWith("HTTP/1.1 200 OK");
      assertThat(caller.getInputStream().readNBytes(body.length())).hasLength(body.length());
    }
  }

  /** Guards against a response whose status allows no content and that is taken as cut. */
  @Test
  void relaysAResponseWithoutContentThatStatesNoLength() throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      Connection connection = forward(false);
      connection.write("HTTP/1.1 204 No Content\r\nSigned: s\r\nCall: c1\r\n\r\n");

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.COMPLETED);
      assertThat(GatewayFixture.readUntil(caller, "\r\n\r\n")).startsWith("HTTP/1.1 204");
    }
  }

  /** Guards against a response that is cut by a reset and relayed as whole. */
  @Test
  void doesNotRelayAResponseThatWasReset() throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      Connection connection = forward(false);
      connection.write(HEAD + "whol");
      connection.reset();

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.CONNECTION_LOST);
    }
  }

  /** Guards against an aborted caller although the stream is complete. */
  @Test
  void endsAStreamThatEndsWithItsConnection() throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      Connection connection = forward(true);
      connection.write(HEAD + "id: 1\ndata: a\n\n");
      connection.finish();

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.COMPLETED);
      assertThat(GatewayFixture.readUntil(caller, "0\r\n\r\n")).contains("data: a");
    }
  }

  /**
   * Guards against a stream that ends inside an event and is taken as complete, or as an answer of
   * an engine that works, so that nothing is learned of a prompt that crashes engines.
   */
  @ParameterizedTest
  @ValueSource(strings = {"", "id", "id: 1\ndata: a", "id: 1\ndata: a\n"})
  void aStreamThatEndsInsideItsFirstEventIsALostConnection(String part) throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      Connection connection = forward(true);
      connection.write(HEAD + part);
      connection.finish();

      ForwardEnded ended = gateway.nextEnd();
      assertThat(ended.result()).isEqualTo(ForwardResult.CONNECTION_LOST);
      assertThat(ended.delivered()).isFalse();
    }
  }

  /** Guards against a success that ends in the middle of a stream. */
  @ParameterizedTest
  @ValueSource(strings = {"i", "id: 2\ndata: b", "id: 2\ndata: b\n"})
  void aStreamThatEndsInsideALaterEventIsBrokenOff(String part) throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      Connection connection = forward(true);
      connection.write(HEAD + "id: 1\ndata: a\n\n" + part);
      connection.finish();

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.CONNECTION_LOST);
      gateway.relayErrorResponse(1, 1);
      assertThat(GatewayFixture.readAll(caller)).doesNotContain("0\r\n\r\n");
    }
  }
}
