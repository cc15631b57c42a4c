package org.limpetdoor.entry.traffic;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.concurrent.TimeUnit;

/** Non-blocking client for the control interfaces of engines and for the instance list. */
final class ControlClient {
  /** Covers two lost packets; a round trip between zones takes a few milliseconds. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private static final int STATUS_OK = 200;

  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpClient client;

  ControlClient(Executor executor) {
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .executor(executor)
            .build();
  }

  /** Requests a JSON document. The future fails for any other response. */
  CompletableFuture<JsonNode> get(String address, String path, Duration timeout) {
    return send(requestBuilder(address, path, timeout).GET().build());
  }

  /**
   * Sends a JSON document without retries and returns the response document.
   *
   * @param sendBeforeNanos send deadline, as a value of {@link System#nanoTime()}; after it the
   *     request fails instead of being sent
   */
  CompletableFuture<JsonNode> post(
      String address,
      String path,
      Map<String, Object> document,
      long sendBeforeNanos,
      Duration timeout) {
    return send(
        requestBuilder(address, path, timeout)
            .header("Content-Type", "application/json")
            .POST(new DeadlineBody(BodyPublishers.ofByteArray(toJson(document)), sendBeforeNanos))
            .build());
  }

  private CompletableFuture<JsonNode> send(HttpRequest request) {
    return client.sendAsync(request, BodyHandlers.ofByteArray()).thenApply(this::parseDocument);
  }

  private JsonNode parseDocument(HttpResponse<byte[]> response) {
    if (response.statusCode() != STATUS_OK) {
      throw new InvalidResponseException("unexpected status " + response.statusCode(), null);
    }
    try {
      return mapper.readTree(response.body());
    } catch (IOException e) {
      throw new InvalidResponseException("response is not valid JSON", e);
    }
  }

  private byte[] toJson(Map<String, Object> document) {
    try {
      return mapper.writeValueAsBytes(document);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static HttpRequest.Builder requestBuilder(String address, String path, Duration timeout) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(timeout);
  }

  /**
   * A body that fails after the send deadline instead of being sent. The client subscribes when the
   * connection is open, so the deadline includes the time to connect.
   */
  private record DeadlineBody(BodyPublisher body, long sendBeforeNanos) implements BodyPublisher {
    @Override
    public long contentLength() {
      return body.contentLength();
    }

    @Override
    public void subscribe(Flow.Subscriber<? super ByteBuffer> subscriber) {
      long overdueNanos = System.nanoTime() - sendBeforeNanos;
      if (overdueNanos < 0) {
        body.subscribe(subscriber);
        return;
      }
      String message =
          "send deadline exceeded by " + TimeUnit.NANOSECONDS.toMillis(overdueNanos) + " ms";
      BodyPublishers.ofInputStream(() -> new FailingInputStream(message)).subscribe(subscriber);
    }
  }
}
