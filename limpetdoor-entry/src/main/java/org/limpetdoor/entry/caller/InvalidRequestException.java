package org.limpetdoor.entry.caller;

import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.SourceLocation;
import org.limpetdoor.core.request.Outcome;
import org.limpetdoor.entry.traffic.Problem;

/** Thrown for a malformed request, which is rejected before it runs. */
final class InvalidRequestException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;
  private static final int BAD_REQUEST = 400;
  private static final int UNAUTHORIZED = 401;
  private static final int CONTENT_TOO_LARGE = 413;

  private final transient Problem problem;

  private InvalidRequestException(Problem problem, String message, SourceLocation location) {
    super(message, location);
    this.problem = problem;
  }

  static InvalidRequestException malformedJson(int line, int column) {
    Problem problem =
        Problem.of(BAD_REQUEST, "malformed_json", "The body is not JSON", Outcome.NOT_RUN)
            .with("line", line)
            .with("column", column)
            .with("accepted", "one JSON object");
    return new InvalidRequestException(
        problem, "malformed JSON", new SourceLocation("body", line, column));
  }

  static InvalidRequestException tooManyValues(int maxTokens) {
    String detail = "The body has too many JSON values or levels";
    Problem problem =
        Problem.of(CONTENT_TOO_LARGE, "too_many_values", detail, Outcome.NOT_RUN)
            .with("accepted", "at most " + maxTokens + " JSON tokens, nested 1000 levels deep");
    return new InvalidRequestException(problem, detail, new SourceLocation("body", 0, 0));
  }

  static InvalidRequestException invalidField(String field, String accepted) {
    String detail = "Field " + field + " is absent or has another form than the accepted one";
    Problem problem =
        Problem.of(BAD_REQUEST, "invalid_field", detail, Outcome.NOT_RUN)
            .with("field", field)
            .with("accepted", accepted);
    return new InvalidRequestException(problem, detail, new SourceLocation("body", 0, 0));
  }

  static InvalidRequestException missingKey() {
    String detail = "The request carries no key";
    Problem problem =
        Problem.of(UNAUTHORIZED, "missing_key", detail, Outcome.NOT_RUN)
            .with("field", "Authorization")
            .with("accepted", "Bearer <key>");
    return new InvalidRequestException(problem, detail, new SourceLocation("headers", 0, 0));
  }

  /** Returns a copy with the location of the invalid field in the body. */
  InvalidRequestException withLocation(byte[] body) {
    Object field = problem.members().get("field");
    if (field == null) {
      return this;
    }
    SourceLocation location = FieldLocations.find(body, field.toString());
    Problem located = problem.with("line", location.line()).with("column", location.column());
    return new InvalidRequestException(
        located, String.valueOf(problem.members().get("detail")), location);
  }

  Problem problem() {
    return problem;
  }
}
