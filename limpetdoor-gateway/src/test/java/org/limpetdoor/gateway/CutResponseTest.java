package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.core.gateway.Reply;
import org.limpetdoor.gateway.ControlledEngine.Connection;

/** Tests an engine that stops in the middle of its response and ends the connection. */
class CutResponseTest {
  private static final String LENGTH_HEAD =
      "HTTP/1.1 200 OK\r\nSigned: s\r\nCall: c1\r\nContent-Length: 40\r\n\r\n";
  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\nSigned: s\r\nCall: c1\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String CLOSE_DELIMITED_HEAD =
      "HTTP/1.1 200 OK\r\nSigned: s\r\nCall: c1\r\n\r\n";

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

  /** How the engine ends the connection. */
  enum ConnectionEnd {
    FIN {
      @Override
      void applyTo(Connection connection) throws IOException {
        connection.finish();
      }
    },
    RST {
      @Override
      void applyTo(Connection connection) throws IOException {
        connection.reset();
      }
    };

    abstract void applyTo(Connection connection) throws IOException;
  }

  static Stream<Arguments> cuts() {
    String lengthHead = LENGTH_HEAD;
    List<String> parts =
        List.of(
            "HTTP/1.1 2",
            "HTTP/1.1 200 OK",
            "HTTP/1.1 200 OK\r\n",
            "HTTP/1.1 200 OK\r\nSig",
            lengthHead.substring(0, lengthHead.indexOf("Content")) + "Content-Len",
            lengthHead.substring(0, lengthHead.indexOf("40") + 1),
            lengthHead.substring(0, lengthHead.length() - 2),
            CHUNKED_HEAD.substring(0, CHUNKED_HEAD.length() - 2),
            CLOSE_DELIMITED_HEAD.substring(0, CLOSE_DELIMITED_HEAD.length() - 2),
            CLOSE_DELIMITED_HEAD.substring(0, CLOSE_DELIMITED_HEAD.length() - 1),
            lengthHead,
            lengthHead + "id: 1\nda",
            CHUNKED_HEAD,
            CHUNKED_HEAD + "f",
            CHUNKED_HEAD + "f\r\n",
            CHUNKED_HEAD + "f\r\nid: 1\nda",
            CHUNKED_HEAD + "0\r\n");
    return parts.stream()
        .flatMap(
            part ->
                Arrays.stream(ConnectionEnd.values())
                    .flatMap(
                        end ->
                            Stream.of(
                                Arguments.of(part, end, true), Arguments.of(part, end, false))));
  }

  /** Guards against a success with an empty or a short body that is framed as whole. */
  @ParameterizedTest
  @MethodSource("cuts")
  void cutResponseIsLost(String part, ConnectionEnd end, boolean streamed) throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      long call = gateway.arrivedCall();
      gateway.forward(call, 1, engine, streamed);
      Connection connection = engine.accept();
      connection.readRequest();
      connection.write(part);
      end.applyTo(connection);

      ForwardEnded ended = gateway.nextEnd();
      assertThat(ended.result()).isEqualTo(ForwardResult.CONNECTION_LOST);
      assertThat(ended.delivered()).isFalse();
      gateway.apply(new ReplyToCall(call, Reply.OUTCOME_UNKNOWN, 0));
      assertThat(GatewayFixture.readUntil(caller, "\r\n")).startsWith("HTTP/1.1 502");
    }
  }

  /** Guards against a stream that ends as if it were complete after its first events. */
  @ParameterizedTest
  @MethodSource("cutsAfterEvent")
  void cutStreamIsNotEnded(String part, ConnectionEnd end) throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      long call = gateway.arrivedCall();
      gateway.forward(call, 1, engine, true);
      Connection connection = engine.accept();
      connection.readRequest();
      connection.write(CHUNKED_HEAD + "f\r\nid: 1\ndata: a\n\n\r\n");
      assertThat(GatewayFixture.readUntil(caller, "data: a\n\n\r\n")).contains("200 OK");
      connection.write(part);
      end.applyTo(connection);

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.CONNECTION_LOST);
      gateway.relayErrorResponse(call, 1);
      assertThat(GatewayFixture.readAll(caller)).doesNotContain("0\r\n\r\n");
    }
  }

  static Stream<Arguments> cutsAfterEvent() {
    return Stream.of("", "f", "f\r\n", "f\r\nid: 2\nda", "f\r\nid: 2\ndata: b\n\n", "0", "0\r\n")
        .flatMap(part -> Arrays.stream(ConnectionEnd.values()).map(end -> Arguments.of(part, end)));
  }
}
