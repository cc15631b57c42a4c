package org.limpetdoor.format.json;

import java.util.List;
import java.util.stream.Collectors;
import org.limpetdoor.core.LimpetdoorException;

/** Thrown when the content of an invalid document is requested. */
public final class InvalidDocumentException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  private final transient List<Problem> problems;

  InvalidDocumentException(List<Problem> problems) {
    super(problems.stream().map(Problem::toString).collect(Collectors.joining("\n")), null);
    this.problems = problems;
  }

  /** Returns all problems, in the order of their locations. */
  public List<Problem> problems() {
    return problems;
  }
}
