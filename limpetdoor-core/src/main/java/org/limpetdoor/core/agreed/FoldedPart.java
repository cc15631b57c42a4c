package org.limpetdoor.core.agreed;

/**
 * Result of folding one record into one part of the agreed state.
 *
 * @param part the part after the record
 * @param result whether and why the record changed the part
 * @param <T> type of the part
 */
public record FoldedPart<T>(T part, FoldResult result) {
  /** Returns a part that the record has changed. */
  public static <T> FoldedPart<T> accepted(T part) {
    return new FoldedPart<>(part, FoldResult.ACCEPTED);
  }
}
