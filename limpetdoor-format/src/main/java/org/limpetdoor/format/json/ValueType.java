package org.limpetdoor.format.json;

/**
 * Reads values of one type.
 *
 * @param <T> type of the result
 */
@FunctionalInterface
public interface ValueType<T> {
  /** Returns the value, or adds a problem and returns null if the JSON value is invalid. */
  T read(JsonValue value, String path, Problems problems);
}
