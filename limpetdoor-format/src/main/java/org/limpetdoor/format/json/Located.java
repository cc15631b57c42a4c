package org.limpetdoor.format.json;

/**
 * A value together with the JSON value that it was read from.
 *
 * @param value value that was read
 * @param source JSON value that it was read from
 * @param path path of the JSON value, for example {@code engines[2]}
 * @param <T> type of the value
 */
public record Located<T>(T value, JsonValue source, String path) {
  /** Returns the JSON value of a field, or the whole JSON value if the field is absent. */
  public JsonValue field(String name) {
    if (source instanceof JsonValue.ObjectValue object) {
      return object.member(name).map(JsonValue.Member::value).orElse(source);
    }
    return source;
  }
}
