package org.limpetdoor.format.json;

import org.limpetdoor.core.SourceLocation;

/**
 * One problem of a document.
 *
 * @param kind kind of the problem
 * @param location place in the document
 * @param path path of the field, for example {@code engines[2].slots}; empty for the document
 * @param found what the document says
 * @param accepted the accepted form
 */
public record Problem(
    ProblemKind kind, SourceLocation location, String path, String found, String accepted) {
  /** Returns the problem in words, without the place. */
  public String message() {
    return kind.message(found, accepted);
  }

  @Override
  public String toString() {
    String field = path.isEmpty() ? "" : path + ": ";
    return location + ": " + field + message();
  }
}
