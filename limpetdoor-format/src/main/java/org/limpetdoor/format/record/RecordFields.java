package org.limpetdoor.format.record;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

/**
 * The fields of an encoded record. Fields that a reader does not ask for are ignored, so that later
 * versions can add some.
 *
 * @param values values by name of the field
 */
record RecordFields(Map<String, Object> values) {
  boolean has(String name) {
    return values.containsKey(name);
  }

  String text(String name) {
    return get(name, String.class);
  }

  long number(String name) {
    return get(name, Long.class);
  }

  /** Returns a number that fits into 32 bits. */
  int integer(String name) {
    long value = number(name);
    if (value != (int) value) {
      throw new MalformedRecordException("field " + name + " is out of range", null);
    }
    return (int) value;
  }

  List<String> texts(String name) {
    List<?> items = get(name, List.class);
    return items.stream().map(item -> cast(name, item, String.class)).toList();
  }

  <T> List<T> texts(String name, Function<String, T> type) {
    return texts(name).stream().map(type).toList();
  }

  /** Returns the maps of a list. */
  List<RecordFields> maps(String name) {
    List<?> items = get(name, List.class);
    return items.stream().map(item -> ofMap(name, item)).toList();
  }

  /** Returns the nested map of a field. */
  RecordFields map(String name) {
    return ofMap(name, values.get(name));
  }

  /** Returns the constant whose {@link #choiceName name} the field has. */
  <E extends Enum<E>> E choice(String name, Class<E> type) {
    String text = text(name);
    return Arrays.stream(type.getEnumConstants())
        .filter(constant -> choiceName(constant).equals(text))
        .findFirst()
        .orElseThrow(
            () -> new MalformedRecordException("field " + name + " is not a known choice", null));
  }

  /** Returns the name of a constant in encoded records. */
  static String choiceName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** The decoder gives all maps text keys. */
  @SuppressWarnings("unchecked")
  private static RecordFields ofMap(String name, Object item) {
    return new RecordFields((Map<String, Object>) cast(name, item, Map.class));
  }

  private <T> T get(String name, Class<T> type) {
    return cast(name, values.get(name), type);
  }

  private static <T> T cast(String name, Object value, Class<T> type) {
    if (!type.isInstance(value)) {
      throw new MalformedRecordException(
          "field "
              + name
              + " is "
              + (value == null ? "missing" : "of another type")
              + ", expected "
              + type.getSimpleName(),
          null);
    }
    return type.cast(value);
  }
}
