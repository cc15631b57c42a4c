package org.limpetdoor.entry.traffic;

import io.micronaut.http.HttpMethod;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What is sent to a back end for a request, the same for each attempt.
 *
 * @param method HTTP method
 * @param pathAndQuery path and query, beginning with {@code /}
 * @param headers headers to send
 * @param body the body, if there is one
 * @param mode how the answer is passed on
 */
public record UpstreamCall(
    HttpMethod method,
    String pathAndQuery,
    Map<String, List<String>> headers,
    Optional<byte[]> body,
    AnswerMode mode) {
  /** Copies the headers. */
  public UpstreamCall {
    headers = Map.copyOf(headers);
  }
}
