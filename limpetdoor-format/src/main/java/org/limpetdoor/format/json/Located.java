package org.limpetdoor.format.json;

/**
 * A value with the place that it was read from.
 *
 * @param value the value
 * @param source the JSON value
 * @param path path of the JSON value
 * @param <T> type of the value
 */
public record Located<T>(T value, JsonValue source, String path) {
  /** Returns the JSON value of a field, or the whole value if it has no such field. */
  public JsonValue field(String name) {
    if (source instanceof JsonValue.ObjectValue object) {
      return object.member(name).map(JsonValue.Member::value).orElse(source);
    }
    return source;
  }
}
