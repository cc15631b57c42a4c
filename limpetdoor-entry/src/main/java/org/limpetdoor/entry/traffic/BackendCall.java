package org.limpetdoor.entry.traffic;

import io.micronaut.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The HTTP request that each attempt of a request sends to its back end.
 *
 * @param method HTTP method
 * @param pathAndQuery path and query, starting with {@code /}
 * @param headers headers without those that describe the attempt
 * @param body the body, if there is one
 * @param mode how the response is relayed
 */
public record BackendCall(
    HttpMethod method,
    String pathAndQuery,
    Map<String, List<String>> headers,
    Optional<byte[]> body,
    ResponseMode mode) {
  /** Copies the headers. */
  public BackendCall {
    headers = Map.copyOf(headers);
  }
}
