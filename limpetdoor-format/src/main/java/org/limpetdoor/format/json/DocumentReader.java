package org.limpetdoor.format.json;

import java.util.Optional;
import java.util.function.BiFunction;

/** Reads documents that consist of one JSON value. */
public final class DocumentReader {
  private DocumentReader() {}

  /** Reads a document of the given type. */
  public static <T> ReadResult<T> read(String source, String text, ValueType<T> type) {
    return read(source, text, (value, problems) -> type.read(value, "", problems));
  }

  /** Reads a document with a function that can also check the document as a whole. */
  public static <T> ReadResult<T> read(
      String source, String text, BiFunction<JsonValue, Problems, T> reader) {
    Problems problems = new Problems();
    Optional<JsonValue> root = JsonValueParser.parse(source, text, problems);
    T content = root.map(value -> reader.apply(value, problems)).orElse(null);
    if (problems.count() > 0 || content == null) {
      return new ReadResult.Invalid<>(problems.sorted());
    }
    return new ReadResult.Valid<>(content);
  }
}
