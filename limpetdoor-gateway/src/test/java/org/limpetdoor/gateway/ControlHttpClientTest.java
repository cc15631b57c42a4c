package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetdoor.gateway.ControlHttpClient.Request;
import org.limpetdoor.gateway.ControlHttpClient.Response;
import org.limpetdoor.gateway.ControlledEngine.Connection;

/** Tests responses to control requests over loopback sockets. */
class ControlHttpClientTest {
  private static final long TIMEOUT_MS = 20_000;
  private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private ControlledEngine server;
  private ControlHttpClient client;

  @BeforeEach
  void open() throws IOException {
    server = new ControlledEngine();
    client = new ControlHttpClient((EventLoop) group.next(), 1 << 20);
  }

  @AfterEach
  void close() throws IOException {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private CompletableFuture<Response> send(byte[] body) {
    Request request = new Request(HttpMethod.POST, "/a", "application/json", body, Map.of());
    return client.send(server.address(), request, TIMEOUT_MS);
  }

  private static Response await(CompletableFuture<Response> response) throws Exception {
    return response.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  /** Guards against refusing a whole response because it states no length. */
  @Test
  void acceptsAResponseThatEndsWithItsConnection() throws Exception {
    CompletableFuture<Response> response = send(new byte[0]);
    Connection connection = server.accept();
    connection.readRequest();
    connection.write(HEAD + "whole");
    connection.finish();

    assertThat(new String(await(response).body(), StandardCharsets.UTF_8)).isEqualTo("whole");
  }

  /** Guards against the contents of a cut response that are used as if they were whole. */
  @Test
  void failsAResponseThatWasReset() throws Exception {
    CompletableFuture<Response> response = send(new byte[0]);
    Connection connection = server.accept();
    connection.readRequest();
    connection.write(HEAD + "whol");
    connection.reset();

    assertFails(response);
  }

  /** Guards against a reset that is found by the write of the request. */
  @Test
  void failsAResponseThatIsResetBeforeItsRequestIsWritten() throws Exception {
    CompletableFuture<Response> response = send(new byte[GatewayFixture.LONG_BODY_BYTES]);
    Connection connection = server.accept();
    connection.readRequest();
    connection.write(HEAD + "whol");
    connection.reset();

    assertFails(response);
  }

  /** Guards against a status that HTTP does not define and that a caller takes for an answer. */
  @ParameterizedTest
  @ValueSource(
      strings = {"000 OK", "099", "20", "1000", "600", "2x0", "-200", "0200", "101 Upgrade"})
  void failsAResponseWithAnInvalidStatus(String status) throws Exception {
    for (String rest : List.of("Content-Length: 0\r\n\r\n", "\r\nwhole")) {
      CompletableFuture<Response> response = send(new byte[0]);
      Connection connection = server.accept();
      connection.readRequest();
      connection.write("HTTP/1.1 " + status + "\r\n" + rest);
      connection.finish();

      assertFails(response);
    }
  }

  /** Guards against an interim response that is taken as the final one. */
  @ParameterizedTest
  @ValueSource(strings = {"100 Continue", "102 Processing", "103 Early Hints"})
  void acceptsTheResponseAfterAnInterimOne(String status) throws Exception {
    CompletableFuture<Response> response = send(new byte[0]);
    Connection connection = server.accept();
    connection.readRequest();
    connection.write("HTTP/1.1 " + status + "\r\n\r\n");
    connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");

    assertThat(await(response).status()).isEqualTo(200);
    assertThat(new String(await(response).body(), StandardCharsets.UTF_8)).isEqualTo("whole");
  }

  private static void assertFails(CompletableFuture<Response> response) {
    ExecutionException failure = assertThrows(ExecutionException.class, () -> await(response));
    assertThat(failure).hasCauseThat().isInstanceOf(ControlRequestFailedException.class);
  }
}
