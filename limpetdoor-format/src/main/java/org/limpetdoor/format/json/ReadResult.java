package org.limpetdoor.format.json;

import java.util.List;

/**
 * The result of reading a document.
 *
 * @param <T> type of the content
 */
public sealed interface ReadResult<T> {
  /**
   * The document has no problem.
   *
   * @param value the content
   * @param <T> type of the content
   */
  record Valid<T>(T value) implements ReadResult<T> {}

  /**
   * The document has problems.
   *
   * @param problems all problems, in the order of their places; at least one
   * @param <T> type of the content
   */
  record Invalid<T>(List<Problem> problems) implements ReadResult<T> {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * Returns the content.
   *
   * @throws InvalidDocumentException if the document has problems
   */
  default T orThrow() {
    if (this instanceof Valid<T> valid) {
      return valid.value();
    }
    throw new InvalidDocumentException(((Invalid<T>) this).problems());
  }
}
