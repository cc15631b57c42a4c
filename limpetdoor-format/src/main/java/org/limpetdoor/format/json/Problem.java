package org.limpetdoor.format.json;

import org.limpetdoor.core.SourceLocation;

/**
 * A problem found in a document.
 *
 * @param kind kind of the problem
 * @param location location in the document
 * @param path path of the field, for example {@code engines[2].slots}; empty for the document
 * @param found description of the value or name in the document
 * @param accepted description of the accepted form
 */
public record Problem(
    ProblemKind kind, SourceLocation location, String path, String found, String accepted) {
  /** Returns the message of the problem, without path and location. */
  public String message() {
    return kind.message(found, accepted);
  }

  @Override
  public String toString() {
    String field = path.isEmpty() ? "" : path + ": ";
    return location + ": " + field + message();
  }
}
