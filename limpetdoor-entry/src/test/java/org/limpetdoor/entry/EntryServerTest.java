package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.limpetdoor.format.json.HostPort;

/** Verifies requests end to end, from a caller through an instance to engines and back. */
@Timeout(60)
final class EntryServerTest {
  /** Time limit that only ends a test that hangs; the one of the class does not end a read. */
  private static final int READ_TIMEOUT_MS = 30_000;

  private static final String KEY = Fixtures.KEY;
  private static final String CHAT = "/v1/chat/completions";
  private static final String STREAM =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}],\"stream\":true}";

  private final HttpClient http = HttpClient.newHttpClient();
  private FakeEngine first;
  private FakeEngine second;
  private EntryServer server;

  @BeforeEach
  void start() throws Exception {
    first = new FakeEngine();
    second = new FakeEngine();
    FixedLog log = new FixedLog(Fixtures.configuration(first, second));
    server = EntryServer.start(Fixtures.settings(), log);
    log.awaitSubmitted();
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
    server.close();
  }

  /** Guards against tokens that are lost, duplicated or reordered. */
  @Test
  void streamIsRelayedCompletely() throws Exception {
    HttpResponse<String> response = post(CHAT, STREAM);

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.headers().firstValue("Content-Type").get()).startsWith("text/event-stream");
    assertThat(tokens(response.body())).containsExactlyElementsIn(FakeEngine.TOKENS).inOrder();
    assertThat(response.body().strip()).endsWith("data: [DONE]");
  }

  /** Guards against a response that is changed when no stream is requested. */
  @Test
  void wholeResponseIsRelayed() throws Exception {
    HttpResponse<String> response = post(CHAT, STREAM.replace("true", "false"));

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(json(response).at("/usage/completion_tokens").asInt()).isEqualTo(6);
  }

  /** Guards against a resume that loses or duplicates a token, or repeats the role chunk. */
  @Test
  void lostStreamIsResumedOnOtherEngine() throws Exception {
    first.breakAt(3);

    HttpResponse<String> response = post(CHAT, STREAM);

    assertThat(tokens(response.body())).containsExactlyElementsIn(FakeEngine.TOKENS).inOrder();
    assertThat(response.body().split("assistant", -1)).hasLength(2);
    assertThat(response.body().strip()).endsWith("data: [DONE]");
  }

  /** Guards against a second role chunk when the connection breaks before the first token. */
  @Test
  void connectionLostBeforeFirstTokenIsRetried() throws Exception {
    first.breakAt(0);

    HttpResponse<String> response = post(CHAT, STREAM);

    assertThat(tokens(response.body())).containsExactlyElementsIn(FakeEngine.TOKENS).inOrder();
    assertThat(response.body().split("assistant", -1)).hasLength(2);
  }

  /** Guards against unbounded connections, and against idle ones that keep callers out. */
  @Test
  void anIdleConnectionGivesWayToOneBeyondTheLimit() throws Exception {
    FixedLog log = new FixedLog(Fixtures.configuration(first, second));
    try (EntryServer limited = EntryServer.start(Fixtures.settings(1), log);
        Socket held = connect(limited)) {
      held.getOutputStream().write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(UTF_8));
      assertThat(held.getInputStream().read()).isEqualTo('H');
      try (Socket beyond = connect(limited)) {
        assertThat(new String(held.getInputStream().readAllBytes(), UTF_8)).contains("404");
        beyond.getOutputStream().write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(UTF_8));
        assertThat(beyond.getInputStream().read()).isEqualTo('H');
      }
    }
  }

  /** Guards against unbounded connections, and against open requests that are cut for new ones. */
  @Test
  void aConnectionBeyondTheLimitIsClosedWhileTheOthersServe() throws Exception {
    FixedLog log = new FixedLog(Fixtures.configuration(first, second));
    CountDownLatch release = new CountDownLatch(1);
    first.holdAfterFirstToken(release);
    second.holdAfterFirstToken(release);
    try (EntryServer limited = EntryServer.start(Fixtures.settings(1), log)) {
      log.awaitSubmitted();
      HttpResponse<InputStream> open =
          http.send(
              request(limited.callerAddress(), "POST", CHAT, STREAM, KEY),
              BodyHandlers.ofInputStream());
      try (Socket beyond = connect(limited)) {
        assertThat(beyond.getInputStream().read()).isEqualTo(-1);
      }
      release.countDown();
      String rest = new String(open.body().readAllBytes(), UTF_8);
      assertThat(tokens(rest)).containsExactlyElementsIn(FakeEngine.TOKENS).inOrder();
    }
  }

  private static Socket connect(EntryServer instance) throws IOException {
    Socket socket = new Socket("127.0.0.1", instance.callerAddress().port());
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }

  /** Guards against a stream that ends as if it were complete when no engine can finish it. */
  @Test
  void failureDuringStreamIsSentAsErrorEvent() throws Exception {
    first.breakAt(3);
    second.breakAt(4);

    HttpResponse<String> response = post(CHAT, STREAM);

    assertThat(response.body()).contains("event: error");
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
    assertThat(response.body()).doesNotContain("[DONE]");
  }

  /** Guards against a refusal by a draining engine although another engine can serve the call. */
  @Test
  void callNotStartedIsRetriedOnOtherEngine() throws Exception {
    first.refuseWith(503, true);

    assertThat(tokens(post(CHAT, STREAM).body()))
        .containsExactlyElementsIn(FakeEngine.TOKENS)
        .inOrder();
  }

  /** Guards against retrying or hiding an engine's refusal of the request itself. */
  @Test
  void engineRefusalIsRelayedToCaller() throws Exception {
    first.refuseWith(422, false);

    HttpResponse<String> response = post(CHAT, STREAM);

    assertThat(response.statusCode()).isEqualTo(422);
    assertThat(json(response).path("outcome").asText()).isEqualTo("ran");
  }

  /** Guards against a JSON error without its location, or a server that stops serving after it. */
  @Test
  void malformedJsonErrorHasLocation() throws Exception {
    HttpResponse<String> response = post(CHAT, "{\"model\":\"m\",\n  \"messages\": oops}");

    assertThat(response.statusCode()).isEqualTo(400);
    assertThat(response.headers().firstValue("Content-Type").get())
        .startsWith("application/problem+json");
    assertThat(json(response).path("line").asInt()).isEqualTo(2);
    assertThat(json(response).path("column").asInt()).isGreaterThan(10);
    assertThat(json(response).path("outcome").asText()).isEqualTo("not_run");
    assertThat(post(CHAT, STREAM).statusCode()).isEqualTo(200);
  }

  /** Guards against a field error that does not name the field and the accepted values. */
  @Test
  void invalidFieldErrorNamesField() throws Exception {
    HttpResponse<String> response = post(CHAT, STREAM.replace("\"stream\":true", "\"stream\":1"));

    assertThat(response.statusCode()).isEqualTo(400);
    assertThat(json(response).path("field").asText()).isEqualTo("stream");
    assertThat(json(response).path("accepted").asText()).isEqualTo("true or false");
  }

  /** Guards against a field error without the location of the field in the body. */
  @Test
  void invalidFieldErrorHasLocation() throws Exception {
    String body = "{\"model\":\"m\",\n \"messages\":[{\"role\":\"user\"},\n  7]}";

    JsonNode nested = json(post(CHAT, body));
    JsonNode absent = json(post(CHAT, "\n {\"model\":\"m\"}"));

    assertThat(nested.path("field").asText()).isEqualTo("messages[1]");
    assertThat(nested.path("line").asInt()).isEqualTo(3);
    assertThat(nested.path("column").asInt()).isEqualTo(3);
    assertThat(absent.path("line").asInt()).isEqualTo(2);
    assertThat(absent.path("column").asInt()).isEqualTo(2);
  }

  /** Guards against wrong status codes for names and keys that are not configured. */
  @Test
  void unknownNamesAndKeysAreRefused() throws Exception {
    HttpResponse<String> model = post(CHAT, STREAM.replace("\"m\"", "\"absent\""));
    HttpResponse<String> key = send(server.callerAddress(), "POST", CHAT, STREAM, "other-key");

    assertThat(model.statusCode()).isEqualTo(404);
    assertThat(json(model).path("outcome").asText()).isEqualTo("not_run");
    assertThat(key.statusCode()).isEqualTo(401);
    assertThat(post("/services/absent/x", "").statusCode()).isEqualTo(404);
  }

  /** Guards against unbounded bodies, and HTTP server errors that are no problem documents. */
  @Test
  void bodyOverTheLimitIsRefused() throws Exception {
    HttpResponse<String> response = post(CHAT, "x".repeat(Fixtures.settings().maxBodyBytes() + 1));

    assertThat(response.statusCode()).isEqualTo(413);
    assertThat(json(response).path("outcome").asText()).isEqualTo("not_run");
  }

  /** Guards against documents whose many small values take far more memory than their text. */
  @Test
  void documentOfTooManyValuesIsRefused() throws Exception {
    String parts = "{},".repeat(100_000);
    String body =
        "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":[" + parts + "{}]}]}";
    HttpResponse<String> response = post(CHAT, body);

    assertThat(response.statusCode()).isEqualTo(413);
    assertThat(json(response).path("type").asText()).endsWith("too_many_values");
    assertThat(json(response).path("outcome").asText()).isEqualTo("not_run");
  }

  /** Guards against operator endpoints on the caller address, and the reverse. */
  @Test
  void callersAndOperatorsAreSeparate() throws Exception {
    assertThat(operator("GET", "/health/ready").statusCode()).isEqualTo(200);
    assertThat(send(server.callerAddress(), "GET", "/status", "", KEY).statusCode()).isEqualTo(404);
    assertThat(send(server.callerAddress(), "POST", "/drain", "", KEY).statusCode()).isEqualTo(404);
    assertThat(send(server.operatorAddress(), "POST", CHAT, STREAM, KEY).statusCode())
        .isEqualTo(404);
  }

  /** Guards against decisions that operators cannot see. */
  @Test
  void operatorEndpointsShowDecisions() throws Exception {
    String id = post(CHAT, STREAM).headers().firstValue("Limpetdoor-Request-Id").get();

    JsonNode explained = json(operator("GET", "/explain/" + id));
    String metrics = operator("GET", "/metrics").body();
    JsonNode status = json(operator("GET", "/status"));

    assertThat(explained.at("/decisions/0/event").asText()).isEqualTo("route");
    assertThat(explained.at("/decisions/0/backend").asText()).isEqualTo("e1");
    assertThat(metrics).contains("limpetdoor_queue_oldest_age_seconds{customer=\"c\"} 0.0");
    assertThat(metrics).contains("limpetdoor_decisions_total{kind=\"route\"");
    assertThat(metrics).contains("limpetdoor_backend_in_flight_requests{backend=\"e1\"}");
    assertThat(status.path("configurationVersion").asInt()).isEqualTo(0);
    assertThat(status.at("/limits/c/queuedRequests").asInt(-1)).isEqualTo(0);
    assertThat(status.at("/limits/c/maxQueuedRequests").asInt()).isEqualTo(10);
    assertThat(status.at("/limits/c/burstTokens").asLong()).isEqualTo(1_000_000);
    assertThat(operator("GET", "/explain/absent").statusCode()).isEqualTo(404);
  }

  /** Guards against an engine slot that stays occupied after the caller has disconnected. */
  @Test
  void attemptOfDisconnectedCallerIsCancelled() throws Exception {
    first.holdAfterFirstToken(new CountDownLatch(1));
    HttpResponse<InputStream> response =
        http.send(
            request(server.callerAddress(), "POST", CHAT, STREAM, KEY),
            BodyHandlers.ofInputStream());
    String id = response.headers().firstValue("Limpetdoor-Request-Id").get();

    response.body().close();

    assertThat(first.takeCancelled()).isEqualTo("/v1/attempts/" + id + "#1");
  }

  /** Guards against a paused stream that stalls or loses tokens when its caller resumes reading. */
  @Test
  void pausedStreamResumesWithoutLoss() throws Exception {
    List<String> large =
        IntStream.range(0, 5_000).mapToObj(i -> i + "-" + "x".repeat(4_000)).toList();
    first.respondWith(large);
    HttpResponse<InputStream> paused =
        http.send(
            request(server.callerAddress(), "POST", CHAT, STREAM, KEY),
            BodyHandlers.ofInputStream());

    first.respondWith(FakeEngine.TOKENS);
    second.respondWith(FakeEngine.TOKENS);
    HttpResponse<String> other = post(CHAT, STREAM);
    String rest = new String(paused.body().readAllBytes(), UTF_8);

    assertThat(tokens(other.body())).containsExactlyElementsIn(FakeEngine.TOKENS).inOrder();
    assertThat(tokens(rest).equals(large)).isTrue();
  }

  /** Guards against a drain that aborts an open stream or accepts new requests. */
  @Test
  void drainRefusesNewRequestsAndFinishesOpenStreams() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    first.holdAfterFirstToken(release);
    HttpResponse<InputStream> open =
        http.send(
            request(server.callerAddress(), "POST", CHAT, STREAM, KEY),
            BodyHandlers.ofInputStream());

    assertThat(operator("POST", "/drain").statusCode()).isEqualTo(202);
    HttpResponse<String> refused = post(CHAT, STREAM);
    int ready = operator("GET", "/health/ready").statusCode();
    boolean endedEarly = server.drained().isDone();
    release.countDown();
    String rest = new String(open.body().readAllBytes(), UTF_8);

    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(json(refused).path("outcome").asText()).isEqualTo("not_run");
    assertThat(ready).isEqualTo(503);
    assertThat(endedEarly).isFalse();
    assertThat(tokens(rest)).containsExactlyElementsIn(FakeEngine.TOKENS).inOrder();
    assertThat(server.drained().get()).isEqualTo(DrainResult.ALL_ENDED);
  }

  private HttpResponse<String> post(String path, String body) throws Exception {
    return send(server.callerAddress(), "POST", path, body, KEY);
  }

  private HttpResponse<String> operator(String method, String path) throws Exception {
    return send(server.operatorAddress(), method, path, "", KEY);
  }

  private HttpResponse<String> send(
      HostPort address, String method, String path, String body, String key) throws Exception {
    return http.send(request(address, method, path, body, key), BodyHandlers.ofString());
  }

  private static HttpRequest request(
      HostPort address, String method, String path, String body, String key) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path))
        .version(HttpClient.Version.HTTP_1_1)
        .header("Authorization", "Bearer " + key)
        .header("Content-Type", "application/json")
        .method(method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body))
        .build();
  }

  private static JsonNode json(HttpResponse<String> response) throws Exception {
    return new ObjectMapper().readTree(response.body());
  }

  private static List<String> tokens(String stream) throws Exception {
    List<String> tokens = new ArrayList<>();
    for (String line : stream.split("\n")) {
      if (line.startsWith("data: {")) {
        JsonNode chunk = new ObjectMapper().readTree(line.substring("data: ".length()));
        String content = chunk.at("/choices/0/delta/content").asText("");
        tokens.addAll(content.isEmpty() ? List.of() : List.of(content));
      }
    }
    return tokens;
  }
}
