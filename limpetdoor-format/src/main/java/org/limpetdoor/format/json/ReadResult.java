package org.limpetdoor.format.json;

import java.util.List;

/**
 * The result of reading a document.
 *
 * @param <T> type of the content
 */
public sealed interface ReadResult<T> {
  /**
   * The document is valid.
   *
   * @param value content of the document
   * @param <T> type of the content
   */
  record Valid<T>(T value) implements ReadResult<T> {}

  /**
   * The document is invalid.
   *
   * @param problems all problems, in the order of their locations; at least one
   * @param <T> type of the content
   */
  record Invalid<T>(List<Problem> problems) implements ReadResult<T> {
    /** Copies the list. */
    public Invalid {
      problems = List.copyOf(problems);
    }
  }

  /**
   * Returns the content of the document.
   *
   * @throws InvalidDocumentException if the document is invalid
   */
  default T orThrow() {
    if (this instanceof Valid<T> valid) {
      return valid.value();
    }
    throw new InvalidDocumentException(((Invalid<T>) this).problems());
  }
}
