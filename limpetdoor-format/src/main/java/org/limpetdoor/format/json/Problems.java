package org.limpetdoor.format.json;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.limpetdoor.core.SourceLocation;

/** Collects the problems of one document. Not thread-safe. */
public final class Problems {
  private static final Comparator<Problem> BY_LOCATION =
      Comparator.<Problem>comparingInt(problem -> problem.location().line())
          .thenComparingInt(problem -> problem.location().column());

  private final List<Problem> problems = new ArrayList<>();

  /** Adds a problem. */
  public void add(
      ProblemKind kind, SourceLocation location, String path, String value, String accepted) {
    problems.add(new Problem(kind, location, path, value, accepted));
  }

  /** Returns the number of problems added so far. */
  public int count() {
    return problems.size();
  }

  /** Returns the problems in the order of their locations in the document. */
  public List<Problem> sorted() {
    return problems.stream().sorted(BY_LOCATION).toList();
  }
}
