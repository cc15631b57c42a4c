package org.limpetdoor.entry;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import jakarta.inject.Singleton;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.limpetdoor.core.request.Outcome;
import org.limpetdoor.entry.traffic.Problem;

/**
 * Renders errors that the HTTP server detects itself, such as a body over the size limit, as
 * problem documents. A request rejected with a 4xx status reached no back end; after an internal
 * error the outcome is unknown.
 */
@Singleton
@Requires(property = EntryServer.ROLE_PROPERTY)
final class ProblemErrorProcessor implements ErrorResponseProcessor<byte[]> {
  private static final int INTERNAL_ERROR = 500;

  @Override
  public MutableHttpResponse<byte[]> processResponse(
      ErrorContext context, MutableHttpResponse<?> response) {
    String title = response.reason();
    String kind = title.toLowerCase(Locale.ROOT).replaceAll("[^a-z0-9]+", "_");
    Outcome outcome = response.code() < INTERNAL_ERROR ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    Problem problem = Problem.of(response.code(), kind, detail(context, response, title), outcome);
    return response
        .contentType(Problem.MEDIA_TYPE)
        .body(problem.toJson().getBytes(StandardCharsets.UTF_8));
  }

  /** Omits messages of unexpected exceptions, which can contain parts of a request body. */
  private static String detail(
      ErrorContext context, MutableHttpResponse<?> response, String title) {
    if (response.code() >= INTERNAL_ERROR || !context.hasErrors()) {
      return title;
    }
    return context.getErrors().get(0).getMessage();
  }
}
