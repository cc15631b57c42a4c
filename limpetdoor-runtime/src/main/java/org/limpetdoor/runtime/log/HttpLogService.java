package org.limpetdoor.runtime.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.limpetdoor.core.request.StatusKind;

/** Client of the log service over HTTP. */
public final class HttpLogService implements LogService {
  // The log service is a few milliseconds away, so a slower connection attempt has failed.
  private static final int CONNECT_TIMEOUT_MS = 2_000;
  // A slower append is retried with the same identifier, so that the fold ignores the duplicate.
  private static final int CALL_TIMEOUT_MS = 5_000;
  // A silent log responds to no read that was sent before its return; such a read must end, and the
  // next one succeed, within the 4 s in which a published configuration must take effect.
  private static final int READ_TIMEOUT_MS = 3_500;
  private static final int STATUS_OK_MIN = 200;
  private static final int STATUS_OK_MAX = 299;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_SERVER_ERROR_MIN = 500;

  private final ObjectMapper mapper = new ObjectMapper();
  private final HttpClient client;
  private final String address;
  private final String recordsUri;
  private final int callTimeoutMs;

  /**
   * Creates a client.
   *
   * @param address address of the log service as {@code ip:port}
   * @param stream name of the log stream
   */
  public HttpLogService(String address, String stream) {
    this(address, stream, CALL_TIMEOUT_MS);
  }

  HttpLogService(String address, String stream, int callTimeoutMs) {
    this.callTimeoutMs = callTimeoutMs;
    this.address = address;
    this.recordsUri = "http://" + address + "/streams/" + stream + "/records";
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
            .build();
  }

  @Override
  public long append(byte[] body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(recordsUri))
            .header("Content-Type", "application/octet-stream")
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    return requireLong(call(request, callTimeoutMs), "offset");
  }

  @Override
  public Page read(long from, int max, int waitMs) {
    String query = "?from=" + from + "&max=" + max + "&waitMs=" + waitMs;
    HttpRequest request = HttpRequest.newBuilder(URI.create(recordsUri + query)).GET().build();
    JsonNode response = call(request, Math.min(READ_TIMEOUT_MS, callTimeoutMs + (long) waitMs));
    List<RawRecord> records = new ArrayList<>();
    for (JsonNode node : response.path("records")) {
      records.add(new RawRecord(requireLong(node, "offset"), recordBody(node)));
    }
    return new Page(
        records, requireLong(response, "nextOffset"), requireLong(response, "firstOffset"));
  }

  private JsonNode call(HttpRequest request, long timeoutMs) {
    HttpResponse<byte[]> response = send(request, timeoutMs);
    int status = response.statusCode();
    if (status < STATUS_OK_MIN || status > STATUS_OK_MAX) {
      throw failure(failureOfStatus(status), "status " + status, null);
    }
    try {
      return mapper.readTree(response.body());
    } catch (IOException e) {
      throw failure(LogFailure.MALFORMED_ANSWER, "the response is not JSON", e);
    }
  }

  // HttpRequest.timeout() ends when the headers arrive; this timeout also covers a stalled body.
  private HttpResponse<byte[]> send(HttpRequest request, long timeoutMs) {
    CompletableFuture<HttpResponse<byte[]>> response =
        client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
    try {
      return response.get(timeoutMs, TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      throw transportFailure(e.getCause());
    } catch (TimeoutException e) {
      response.cancel(true);
      throw failure(LogFailure.ANSWER_LOST, "no response within " + timeoutMs + " ms", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      response.cancel(true);
      throw failure(LogFailure.ANSWER_LOST, "interrupted", e);
    }
  }

  private LogServiceException transportFailure(Throwable cause) {
    if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
      return failure(LogFailure.UNREACHABLE, "cannot connect", cause);
    }
    return failure(LogFailure.ANSWER_LOST, "no response: " + cause.getMessage(), cause);
  }

  private long requireLong(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.canConvertToLong() || !value.isIntegralNumber()) {
      throw failure(LogFailure.MALFORMED_ANSWER, "no integer in field " + field, null);
    }
    return value.longValue();
  }

  private byte[] recordBody(JsonNode node) {
    try {
      byte[] body = node.path("body").binaryValue();
      if (body != null) {
        return body;
      }
      throw failure(LogFailure.MALFORMED_ANSWER, "record without a body", null);
    } catch (IOException e) {
      throw failure(LogFailure.MALFORMED_ANSWER, "record body is not base64", e);
    }
  }

  private LogServiceException failure(LogFailure failure, String message, Throwable cause) {
    return new LogServiceException(failure, address, message, cause);
  }

  /** An invalid status shows that the bytes are no response; the log service may have appended. */
  private static LogFailure failureOfStatus(int status) {
    if (StatusKind.of(status) == StatusKind.INVALID) {
      return LogFailure.ANSWER_LOST;
    }
    boolean unavailable = status == STATUS_TOO_MANY_REQUESTS || status >= STATUS_SERVER_ERROR_MIN;
    return unavailable ? LogFailure.UNAVAILABLE : LogFailure.REFUSED;
  }
}
