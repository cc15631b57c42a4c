package org.limpetdoor.format.record;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

/**
 * The fields of an encoded record. Fields that are not read are ignored, so that later versions can
 * add fields.
 *
 * @param values values by field name
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

  long number(String name, long defaultValue) {
    return values.containsKey(name) ? number(name) : defaultValue;
  }

  /** Returns the value of an integer field that must fit into 32 bits. */
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

  /** Returns the maps in the list of a field. */
  List<RecordFields> maps(String name) {
    List<?> items = get(name, List.class);
    return items.stream().map(item -> nestedFields(name, item)).toList();
  }

  /** Returns the nested map of a field. */
  RecordFields map(String name) {
    return nestedFields(name, values.get(name));
  }

  /** Returns the enum constant whose {@link #lowerCaseName name} is the value of a field. */
  <E extends Enum<E>> E enumConstant(String name, Class<E> type) {
    String text = text(name);
    return Arrays.stream(type.getEnumConstants())
        .filter(constant -> lowerCaseName(constant).equals(text))
        .findFirst()
        .orElseThrow(
            () -> new MalformedRecordException("field " + name + " is not a known value", null));
  }

  /** Returns the name of an enum constant as written in records, in lower case. */
  static String lowerCaseName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** The cast of the keys is safe because the decoder accepts string keys only. */
  @SuppressWarnings("unchecked")
  private static RecordFields nestedFields(String name, Object item) {
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
