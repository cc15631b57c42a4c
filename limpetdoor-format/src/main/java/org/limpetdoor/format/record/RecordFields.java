package org.limpetdoor.format.record;

import java.util.List;
import java.util.Map;

/**
 * The fields of an encoded record. Fields that a reader does not ask for are ignored, so that later
 * versions can add some.
 *
 * @param values values by name of the field
 */
record RecordFields(Map<String, Object> values) {
  String text(String name) {
    return get(name, String.class);
  }

  long number(String name) {
    return get(name, Long.class);
  }

  List<String> texts(String name) {
    List<?> items = get(name, List.class);
    return items.stream().map(item -> cast(name, item, String.class)).toList();
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
