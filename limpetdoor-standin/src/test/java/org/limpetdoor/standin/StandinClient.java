package org.limpetdoor.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

/** Starts a stand-in from settings in JSON and sends requests to it. */
final class StandinClient implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  // A request that hangs fails after this time instead of blocking the build.
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final RunningStandin standin;

  StandinClient(String settings) {
    standin = Standins.start(StandinSettingsFile.parse("test", settings));
  }

  HttpResponse<String> send(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    return client.send(request(method, path, body, headers), BodyHandlers.ofString());
  }

  JsonNode sendForJson(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    return MAPPER.readTree(send(method, path, body, headers).body());
  }

  CompletableFuture<HttpResponse<String>> sendAsync(String method, String path, String body) {
    return client.sendAsync(request(method, path, body), BodyHandlers.ofString());
  }

  HttpResponse<Stream<String>> openStream(String path, String body, String... headers)
      throws IOException, InterruptedException {
    return client.send(request("POST", path, body, headers), BodyHandlers.ofLines());
  }

  JsonNode appendRecord(String body) throws IOException, InterruptedException {
    return sendForJson(
        "POST", "/streams/s/records", body, "Content-Type", "application/octet-stream");
  }

  void injectFault(String body) throws IOException, InterruptedException {
    HttpResponse<String> response = send("POST", "/faults", body);
    if (response.statusCode() != 200) {
      throw new AssertionError(response.body());
    }
  }

  @Override
  public void close() {
    standin.close();
  }

  private HttpRequest request(String method, String path, String body, String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + standin.address() + path))
            .timeout(TIMEOUT)
            .header("Content-Type", "application/json")
            .method(method, BodyPublishers.ofString(body));
    for (int i = 0; i < headers.length; i += 2) {
      builder.setHeader(headers[i], headers[i + 1]);
    }
    return builder.build();
  }
}
