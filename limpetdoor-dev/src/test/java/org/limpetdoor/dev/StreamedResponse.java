package org.limpetdoor.dev;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The part of a streamed response that a caller received.
 *
 * @param status HTTP status
 * @param content concatenated content of all chunks
 * @param complete whether the stream ended with the end marker
 */
record StreamedResponse(int status, String content, boolean complete) {
  private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");
  private static final String END_MARKER = "data: [DONE]";
  private static final Duration TIMEOUT = Duration.ofSeconds(60);

  /**
   * A stream that is being read on another thread. The latch opens at the first line or at the end.
   */
  record OpenStream(CountDownLatch started, CompletableFuture<StreamedResponse> response) {}

  /** Sends a chat-completion request and starts to read its stream. */
  static OpenStream open(HttpClient client, String address, String key, String prompt) {
    String body =
        "{\"model\":\"laying-assistant\",\"stream\":true,\"max_tokens\":64,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\""
            + prompt
            + "\"}]}";
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + "/v1/chat/completions"))
            .header("Authorization", "Bearer " + key)
            .header("Content-Type", "application/json")
            .timeout(TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    CountDownLatch started = new CountDownLatch(1);
    CompletableFuture<StreamedResponse> response =
        CompletableFuture.supplyAsync(() -> collect(client, request, started));
    return new OpenStream(started, response);
  }

  private static StreamedResponse collect(
      HttpClient client, HttpRequest request, CountDownLatch started) {
    StringBuilder content = new StringBuilder();
    int status = 0;
    boolean complete = false;
    try {
      HttpResponse<Stream<String>> httpResponse = client.send(request, BodyHandlers.ofLines());
      status = httpResponse.statusCode();
      for (String line : (Iterable<String>) httpResponse.body()::iterator) {
        append(content, line);
        complete = complete || line.equals(END_MARKER);
        started.countDown();
      }
    } catch (IOException | java.io.UncheckedIOException e) {
      complete = false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    started.countDown();
    return new StreamedResponse(status, content.toString(), complete);
  }

  private static void append(StringBuilder content, String line) {
    Matcher matcher = CONTENT.matcher(line);
    while (matcher.find()) {
      content.append(matcher.group(1));
    }
  }
}
