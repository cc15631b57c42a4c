package org.limpetdoor.core.agreed;

/**
 * Result of folding one record into one part of the agreed state.
 *
 * @param part the part after the record
 * @param result why it changed or did not
 * @param <T> type of the part
 */
public record Folded<T>(T part, FoldResult result) {
  /** Returns a part that the record has changed. */
  public static <T> Folded<T> accepted(T part) {
    return new Folded<>(part, FoldResult.ACCEPTED);
  }
}
