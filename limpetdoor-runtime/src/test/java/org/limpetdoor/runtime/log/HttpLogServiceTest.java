package org.limpetdoor.runtime.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class HttpLogServiceTest {
  private static final int DROP_CONNECTION = 0;

  private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
  private HttpServer server;
  private LogService log;
  private volatile int status = 200;
  private volatile String responseBody = "{}";
  private volatile int missingBytes;

  @BeforeEach
  void startServer() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", this::handle);
    server.start();
    log = new HttpLogService("127.0.0.1:" + server.getAddress().getPort(), "limpetdoor");
  }

  @AfterEach
  void stopServer() {
    server.stop(0);
  }

  /** Guards against a request that violates the protocol of the log service. */
  @Test
  void appendsBytes() {
    responseBody = "{\"offset\": 41}";
    assertThat(log.append("body".getBytes(StandardCharsets.UTF_8))).isEqualTo(41);
    assertThat(requests.poll())
        .isEqualTo("POST /streams/limpetdoor/records application/octet-stream body");
  }

  @Test
  void readsRecords() {
    responseBody =
        "{\"records\":[{\"offset\":7,\"body\":\"Ym9keQ==\"}],\"nextOffset\":8,\"firstOffset\":2}";
    LogService.Page page = log.read(7, 10, 0);
    assertThat(requests.poll())
        .startsWith("GET /streams/limpetdoor/records?from=7&max=10&waitMs=0");
    assertThat(page.nextOffset()).isEqualTo(8);
    assertThat(page.firstOffset()).isEqualTo(2);
    assertThat(page.records().get(0).offset()).isEqualTo(7);
    assertThat(page.records().get(0).body()).isEqualTo("body".getBytes(StandardCharsets.UTF_8));
  }

  /** Guards against a failure that is wrongly retried or wrongly reported as having no effect. */
  @ParameterizedTest
  @CsvSource({
    "503,UNAVAILABLE",
    "429,UNAVAILABLE",
    "400,REFUSED",
    "0,ANSWER_LOST",
    "600,ANSWER_LOST",
    "999,ANSWER_LOST"
  })
  void failuresAreClassified(int code, LogFailure expected) {
    status = code;
    assertThat(failure()).isEqualTo(expected);
  }

  /** Guards against a malformed response that is read as offset 0. */
  @ParameterizedTest
  @ValueSource(strings = {"{}", "[]", "", "no", "{\"offset\": \"1\"}", "{\"offset\": 1.5}"})
  void malformedResponsesAreClassified(String text) {
    responseBody = text;
    assertThat(failure()).isEqualTo(LogFailure.MALFORMED_ANSWER);
  }

  /** Guards against a call that blocks forever when the response body stalls. */
  @Test
  void stalledResponseBodyIsALostAnswer() {
    missingBytes = 1;
    int timeoutMs = 100;
    String address = "127.0.0.1:" + server.getAddress().getPort();
    log = new HttpLogService(address, "limpetdoor", timeoutMs);
    assertThat(failure()).isEqualTo(LogFailure.ANSWER_LOST);
  }

  /** Guards against reporting a possible append although no connection was opened. */
  @Test
  void refusedConnectionsHaveNoEffect() {
    server.stop(0);
    assertThat(failure()).isEqualTo(LogFailure.UNREACHABLE);
    assertThat(LogFailure.UNREACHABLE.mayHaveTakenEffect()).isFalse();
  }

  private LogFailure failure() {
    return assertThrows(LogServiceException.class, () -> log.append(new byte[] {1})).failure();
  }

  private void handle(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    String type = exchange.getRequestHeaders().getFirst("Content-Type");
    requests.add(
        exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + type + " " + body);
    if (status != DROP_CONNECTION) {
      byte[] bytes = responseBody.getBytes(StandardCharsets.UTF_8);
      exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length + missingBytes);
      exchange.getResponseBody().write(bytes);
    }
    if (missingBytes == 0) {
      exchange.close();
    } else {
      exchange.getResponseBody().flush();
    }
  }
}
