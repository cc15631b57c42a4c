package org.limpetdoor.format.json;

/**
 * Reads values of one type.
 *
 * @param <T> type of the result
 */
@FunctionalInterface
public interface ValueType<T> {
  /** Returns the value read, or null after adding a problem. */
  T read(JsonValue value, String path, Problems problems);
}
