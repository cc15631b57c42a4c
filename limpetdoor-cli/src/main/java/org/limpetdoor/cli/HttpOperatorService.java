package org.limpetdoor.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** HTTP client of the operator interface of an instance. */
final class HttpOperatorService implements OperatorService {
  // The round trip to an instance takes a few milliseconds, so a longer attempt has failed.
  private static final int CONNECT_TIMEOUT_MS = 2_000;
  private static final int CALL_TIMEOUT_MS = 5_000;
  private static final int STATUS_OK = 200;
  private static final int STATUS_ACCEPTED = 202;
  private static final int STATUS_NOT_FOUND = 404;

  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
          .build();
  private final String address;

  /**
   * Creates a client.
   *
   * @param address operator address of the instance as {@code ip:port}
   */
  HttpOperatorService(String address) {
    this.address = address;
  }

  @Override
  public JsonNode status(long timeoutMs) {
    HttpRequest request = request("/status").GET().build();
    JsonNode status =
        readJson(requireStatus(send(request, Math.min(timeoutMs, CALL_TIMEOUT_MS)), STATUS_OK));
    if (!status.path("configurationVersion").isIntegralNumber()) {
      throw malformedResponse("no number in field configurationVersion", null);
    }
    return status;
  }

  @Override
  public JsonNode explain(String requestId) {
    String segment = URLEncoder.encode(requestId, StandardCharsets.UTF_8).replace("+", "%20");
    HttpRequest request = request("/explain/" + segment).GET().build();
    HttpResponse<byte[]> response = send(request, CALL_TIMEOUT_MS);
    if (isUnknownRequest(response)) {
      String message = "keeps no decision about request '" + requestId + "'";
      throw new InstanceException(InstanceFailure.UNKNOWN_REQUEST, address, message, null);
    }
    JsonNode decisions = readJson(requireStatus(response, STATUS_OK)).path("decisions");
    if (!decisions.isArray()) {
      throw malformedResponse("no list in field decisions", null);
    }
    return decisions;
  }

  @Override
  public void drain() {
    HttpRequest request = request("/drain").POST(HttpRequest.BodyPublishers.noBody()).build();
    requireStatus(send(request, CALL_TIMEOUT_MS), STATUS_ACCEPTED);
  }

  private HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path));
  }

  // The problem type distinguishes an unknown request from a server without this path.
  private boolean isUnknownRequest(HttpResponse<byte[]> response) {
    return response.statusCode() == STATUS_NOT_FOUND
        && readJson(response).path("type").asText().endsWith(":unknown_request");
  }

  private HttpResponse<byte[]> requireStatus(HttpResponse<byte[]> response, int status) {
    if (response.statusCode() != status) {
      String message = "answered with status " + response.statusCode() + ", expected " + status;
      throw new InstanceException(InstanceFailure.REFUSED, address, message, null);
    }
    return response;
  }

  private JsonNode readJson(HttpResponse<byte[]> response) {
    try {
      return mapper.readTree(response.body());
    } catch (IOException e) {
      throw malformedResponse("the answer is not JSON", e);
    }
  }

  // The timeout of the HTTP client covers the headers only; this one also covers a stalled body.
  private HttpResponse<byte[]> send(HttpRequest request, long timeoutMs) {
    CompletableFuture<HttpResponse<byte[]>> response =
        client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
    try {
      return response.get(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw callFailed(e.getCause());
    } catch (TimeoutException e) {
      response.cancel(true);
      throw responseLost("no whole answer within " + timeoutMs + " ms", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      response.cancel(true);
      throw responseLost("interrupted", e);
    }
  }

  private InstanceException callFailed(Throwable cause) {
    if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
      return new InstanceException(InstanceFailure.UNREACHABLE, address, "no connection", cause);
    }
    return responseLost("the connection was lost: " + cause.getMessage(), cause);
  }

  private InstanceException responseLost(String message, Throwable cause) {
    return new InstanceException(InstanceFailure.ANSWER_LOST, address, message, cause);
  }

  private InstanceException malformedResponse(String message, Throwable cause) {
    return new InstanceException(InstanceFailure.MALFORMED_ANSWER, address, message, cause);
  }
}
