package org.limpetdoor.entry.traffic;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MutableHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import org.limpetdoor.core.request.Outcome;
import org.limpetdoor.core.request.Refusal;

/**
 * A problem document (RFC 9457).
 *
 * @param status HTTP status code
 * @param members members of the document, in output order
 * @param retryAfterMs delay before the caller should retry, in milliseconds
 */
public record Problem(int status, Map<String, Object> members, OptionalLong retryAfterMs) {
  /** Media type of problem documents. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long MS_PER_SECOND = 1_000;

  /** Copies the members. */
  public Problem {
    members = new LinkedHashMap<>(members);
  }

  /** Creates a problem with the outcome of the request. */
  public static Problem of(int status, String kind, String detail, Outcome outcome) {
    Map<String, Object> members = new LinkedHashMap<>();
    members.put("type", "urn:limpetdoor:problem:" + kind);
    members.put("title", title(kind));
    members.put("status", status);
    members.put("detail", detail);
    members.put("outcome", outcome.label());
    return new Problem(status, members, OptionalLong.empty());
  }

  /** Creates the problem for a refusal. */
  public static Problem of(Refusal refusal, String target) {
    String kind = refusal.reason().name().toLowerCase(Locale.ROOT);
    String detail = title(kind) + " (target " + target + ")";
    Problem problem = of(refusal.reason().httpStatus(), kind, detail, refusal.outcome());
    return new Problem(problem.status, problem.members, refusal.retryAfterMs());
  }

  /** Returns a copy with an additional member. */
  public Problem with(String name, Object value) {
    Map<String, Object> copy = new LinkedHashMap<>(members);
    copy.put(name, value);
    return new Problem(status, copy, retryAfterMs);
  }

  /** Serializes the document as one line of JSON. */
  public String toJson() {
    try {
      return JSON.writeValueAsString(members);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("problem members cannot be serialized to JSON", e);
    }
  }

  /** Returns a response with this document. */
  public MutableHttpResponse<byte[]> toResponse() {
    MutableHttpResponse<byte[]> response =
        HttpResponse.<byte[]>status(status, HttpStatus.getDefaultReason(status))
            .contentType(MEDIA_TYPE)
            .body(toJson().getBytes(StandardCharsets.UTF_8));
    if (status == HttpStatus.UNAUTHORIZED.getCode()) {
      response.header("WWW-Authenticate", "Bearer");
    }
    retryAfterMs.ifPresent(ms -> response.header("Retry-After", String.valueOf(toSeconds(ms))));
    return response;
  }

  /** Rounds up, because an earlier retry would be refused again. */
  private static long toSeconds(long ms) {
    return Math.max(1, (ms + MS_PER_SECOND - 1) / MS_PER_SECOND);
  }

  private static String title(String kind) {
    String words = kind.replace('_', ' ');
    return Character.toUpperCase(words.charAt(0)) + words.substring(1);
  }
}
