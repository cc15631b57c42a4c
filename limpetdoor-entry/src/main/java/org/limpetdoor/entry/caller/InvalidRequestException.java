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

  private final transient Problem problem;

  private InvalidRequestException(Problem problem, String message, SourceLocation location) {
    super(message, location);
    this.problem = problem;
  }

  static InvalidRequestException malformed(int line, int column) {
    Problem problem =
        Problem.of(BAD_REQUEST, "malformed_json", "The body is not a JSON object", Outcome.NOT_RUN)
            .with("line", line)
            .with("column", column)
            .with("accepted", "one JSON object");
    return new InvalidRequestException(
        problem, "malformed JSON", new SourceLocation("body", line, column));
  }

  static InvalidRequestException field(String field, String accepted) {
    String detail = "Field " + field + " is missing or invalid";
    Problem problem =
        Problem.of(BAD_REQUEST, "invalid_field", detail, Outcome.NOT_RUN)
            .with("field", field)
            .with("accepted", accepted);
    return new InvalidRequestException(problem, detail, new SourceLocation("body", 0, 0));
  }

  static InvalidRequestException noKey() {
    String detail = "The request has no bearer key";
    Problem problem =
        Problem.of(UNAUTHORIZED, "missing_key", detail, Outcome.NOT_RUN)
            .with("field", "Authorization")
            .with("accepted", "Bearer <key>");
    return new InvalidRequestException(problem, detail, new SourceLocation("headers", 0, 0));
  }

  /** Returns a copy with the location of the invalid field in the body. */
  InvalidRequestException in(byte[] body) {
    Object field = problem.members().get("field");
    if (field == null) {
      return this;
    }
    SourceLocation at = FieldLocations.find(body, field.toString());
    Problem placed = problem.with("line", at.line()).with("column", at.column());
    return new InvalidRequestException(placed, String.valueOf(problem.members().get("detail")), at);
  }

  Problem problem() {
    return problem;
  }
}
