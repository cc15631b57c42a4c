package org.limpetdoor.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class EngineStandinTest {
  private static final String PATH = "/v1/chat/completions";
  // A test that hangs fails after this time instead of blocking the build.
  private static final long TIMEOUT_S = 30;
  private static final String ORDERS = "/control/orders";
  private static final int DEFAULT_MAX_TOKENS = 8;
  private static final int DEFAULT_REQUEST_TOKENS = 20;
  // At 20 ms per token, an answer of this length takes far longer than the timeout.
  private static final int ENDLESS_TOKENS = 1_000_000;

  /** Guards against a resumed stream that repeats, skips or changes tokens. */
  @Test
  void resumedStreamContinuesExactly() throws Exception {
    try (StandinClient engine = startEngine(1, 0)) {
      List<String> completeStream = readStream(engine, "0");
      List<String> resumedStream = readStream(engine, "3");
      assertThat(completeStream).hasSize(9);
      assertThat(completeStream.get(8)).isEqualTo("data: [DONE]");
      assertThat(resumedStream).isEqualTo(completeStream.subList(3, 9));
    }
  }

  /** Guards against a complete response without the token counts that billing needs. */
  @Test
  void completeResponseCountsItsTokens() throws Exception {
    try (StandinClient engine = startEngine(1, 0)) {
      HttpResponse<String> response = engine.send("POST", PATH, requestBody("hello", false));
      assertThat(response.body()).contains("\"completion_tokens\":8");
      assertThat(response.headers().firstValue("Limpetdoor-Load")).hasValue("running=1;queued=0");
    }
  }

  /** Guards against a delayed order of a previous lease holder that still takes effect. */
  @Test
  void staleFencingNumberIsRefused() throws Exception {
    try (StandinClient engine = startEngine(1, 0)) {
      engine.sendForJson("POST", ORDERS, orderBody(7, "fence", 0));
      assertThat(orderResult(engine, orderBody(6, "load", 10))).isEqualTo("stale_fencing_number");
      assertThat(orderResult(engine, orderBody(7, "load", 91))).isEqualTo("no_memory");
      assertThat(orderResult(engine, orderBody(7, "load", 10))).isEqualTo("done");
      JsonNode inventory = engine.sendForJson("GET", "/control/inventory", "");
      assertThat(inventory.toString())
          .isEqualTo(
              "{\"models\":[{\"model\":\"m\",\"memoryMib\":10},{\"model\":\"n\",\"memoryMib\":10}],"
                  + "\"capacityMib\":100,\"highestFencingNumber\":7}");
    }
  }

  /** Guards against a cancelled attempt that keeps its slot, which would block queued jobs. */
  @Test
  void cancelFreesTheSlot() throws Exception {
    try (StandinClient engine = startEngine(1, 20, ENDLESS_TOKENS)) {
      HttpResponse<Stream<String>> silentStream =
          engine.openStream(
              PATH, requestBody("hello", true, ENDLESS_TOKENS), "Limpetdoor-Attempt", "a1");
      engine.injectFault("{\"kind\": \"silent\"}");
      CompletableFuture<HttpResponse<String>> waiting =
          engine.sendAsync("POST", PATH, requestBody("hello", false));
      assertThat(engine.send("DELETE", "/v1/attempts/a1", "").statusCode()).isEqualTo(200);
      assertThat(waiting.get(TIMEOUT_S, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
      assertThat(silentStream.body().toList()).doesNotContain("data: [DONE]");
    }
  }

  /** Guards against a refusal without the headers that mark the work as not started (I4). */
  @Test
  void drainingRefusesAsNotStarted() throws Exception {
    try (StandinClient engine = startEngine(1, 0)) {
      engine.injectFault("{\"kind\": \"draining\"}");
      HttpResponse<String> response =
          engine.send("POST", PATH, requestBody("hello", false), "Limpetdoor-Attempt", "a1");
      assertThat(response.statusCode()).isEqualTo(503);
      assertThat(response.headers().firstValue("Limpetdoor-Not-Started")).hasValue("true");
      assertThat(response.headers().firstValue("Limpetdoor-Attempt")).hasValue("a1");
      assertThat(engine.send("GET", "/health", "").statusCode()).isEqualTo(503);
    }
  }

  /** Guards against a crash that leaves connections open or still accepts new ones (F8). */
  @Test
  void promptWithTextCrashesTheEngine() throws Exception {
    try (StandinClient engine = startEngine(1, 0)) {
      engine.injectFault("{\"kind\": \"crash_on_text\", \"text\": \"boom\", \"forMs\": 3600000}");
      assertThat(engine.send("POST", PATH, requestBody("hello", false)).statusCode())
          .isEqualTo(200);
      assertThrows(
          IOException.class, () -> engine.send("POST", PATH, requestBody("a boom b", false)));
      assertThrows(IOException.class, () -> engine.send("GET", "/health", ""));
    }
  }

  /**
   * Guards against a silent fault that also affects new requests, which is a different fault (F9).
   */
  @Test
  void silentStreamStaysOpenWhileNewWorkRuns() throws Exception {
    try (StandinClient engine = startEngine(2, 20)) {
      HttpResponse<Stream<String>> silentStream =
          engine.openStream(PATH, requestBody("hello", true));
      Iterator<String> lines = silentStream.body().iterator();
      assertThat(lines.next()).startsWith("data: ");
      engine.injectFault("{\"kind\": \"silent\"}");
      assertThat(engine.send("POST", PATH, requestBody("hello", false)).statusCode())
          .isEqualTo(200);
      assertThat(engine.sendForJson("GET", "/control/load", "").get("running").asInt())
          .isEqualTo(1);
    }
  }

  private static StandinClient startEngine(int slots, long tokenIntervalMs) {
    return startEngine(slots, tokenIntervalMs, DEFAULT_MAX_TOKENS);
  }

  private static StandinClient startEngine(int slots, long tokenIntervalMs, int maxTokens) {
    return new StandinClient(
        "{\"role\": \"engine\", \"address\": \"127.0.0.1:0\", \"maxTokens\": "
            + maxTokens
            + ", \"capacityMib\": 100, \"refusesOldFencingNumbers\": true,"
            + " \"models\": {\"m\": 10}, \"slots\": "
            + slots
            + ", \"tokenIntervalMs\": "
            + tokenIntervalMs
            + "}");
  }

  private static List<String> readStream(StandinClient engine, String resumeAt) throws Exception {
    HttpResponse<Stream<String>> response =
        engine.openStream(PATH, requestBody("hello", true), "Limpetdoor-Resume-At", resumeAt);
    return response.body().filter(line -> !line.isEmpty()).toList();
  }

  private static String requestBody(String content, boolean stream) {
    return requestBody(content, stream, DEFAULT_REQUEST_TOKENS);
  }

  private static String requestBody(String content, boolean stream, int maxTokens) {
    return "{\"model\": \"m\", \"messages\": [{\"role\": \"user\", \"content\": \""
        + content
        + "\"}], \"max_tokens\": "
        + maxTokens
        + ", \"temperature\": 0, \"stream\": "
        + stream
        + "}";
  }

  private static String orderBody(long fencingNumber, String action, int memoryMib) {
    return "{\"orderId\": \"o\", \"model\": \"n\", \"fencingNumber\": "
        + fencingNumber
        + ", \"action\": \""
        + action
        + "\", \"memoryMib\": "
        + memoryMib
        + "}";
  }

  private static String orderResult(StandinClient engine, String order) throws Exception {
    return engine.sendForJson("POST", ORDERS, order).get("result").asText();
  }
}
