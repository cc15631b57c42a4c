package org.limpetdoor.format.json;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.limpetdoor.core.LimpetdoorException;

/** Factories for the types of values in documents. */
public final class ValueTypes {
  private ValueTypes() {}

  /** Returns the type of non-empty strings. */
  public static ValueType<String> text() {
    return (value, path, problems) -> {
      if (value instanceof JsonValue.TextValue text && !text.text().isEmpty()) {
        return text.text();
      }
      addWrongType(value, path, problems, "a non-empty text");
      return null;
    };
  }

  /**
   * Returns the type of strings that a function parses.
   *
   * @param parse function that returns the value or throws {@link LimpetdoorException}
   * @param accepted description of the accepted form, used in error messages
   */
  public static <T> ValueType<T> parsed(Function<String, T> parse, String accepted) {
    return (value, path, problems) -> {
      if (!(value instanceof JsonValue.TextValue text)) {
        addWrongType(value, path, problems, accepted);
        return null;
      }
      try {
        return parse.apply(text.text());
      } catch (LimpetdoorException e) {
        problems.add(ProblemKind.WRONG_FORM, value.location(), path, value.describe(), accepted);
        return null;
      }
    };
  }

  /** Returns the type of strings that match a regular expression. */
  public static ValueType<String> matching(String pattern, String accepted) {
    return (value, path, problems) -> {
      if (!(value instanceof JsonValue.TextValue text)) {
        addWrongType(value, path, problems, accepted);
        return null;
      }
      if (text.text().matches(pattern)) {
        return text.text();
      }
      problems.add(ProblemKind.WRONG_FORM, value.location(), path, value.describe(), accepted);
      return null;
    };
  }

  /** Returns the type of names: 1 to 128 letters, digits or the characters {@code . _ - : /}. */
  public static <T> ValueType<T> name(Function<String, T> constructor) {
    return parsed(constructor, "1 to 128 letters, digits or the characters . _ - : /");
  }

  /** Returns the type of addresses of the form {@code ip:port}. */
  public static ValueType<HostPort> address() {
    return parsed(HostPort::parse, HostPort.ACCEPTED);
  }

  /** Returns the type of 32-bit integers that are at least {@code minimum}. */
  public static ValueType<Integer> integer(int minimum) {
    return (value, path, problems) -> {
      Long number = wholeNumber(value, path, problems, minimum, Integer.MAX_VALUE);
      return number == null ? null : Integer.valueOf(number.intValue());
    };
  }

  /** Returns the type of 64-bit integers that are at least {@code minimum}. */
  public static ValueType<Long> longInteger(long minimum) {
    return (value, path, problems) -> wholeNumber(value, path, problems, minimum, Long.MAX_VALUE);
  }

  /** Returns the type of finite numbers greater than {@code bound}. */
  public static ValueType<Double> greaterThan(double bound) {
    return (value, path, problems) -> {
      String accepted = "a number above " + bound;
      Double number = decimalNumber(value, path, problems, accepted);
      boolean inRange = number != null && number > bound && Double.isFinite(number);
      return checkRange(number, inRange, value, path, problems, accepted);
    };
  }

  /** Returns the type of numbers from {@code minimum} to {@code maximum}, both inclusive. */
  public static ValueType<Double> within(double minimum, double maximum) {
    return (value, path, problems) -> {
      String accepted = "a number from " + minimum + " to " + maximum;
      Double number = decimalNumber(value, path, problems, accepted);
      boolean inRange = number != null && number >= minimum && number <= maximum;
      return checkRange(number, inRange, value, path, problems, accepted);
    };
  }

  /** Returns the type of enum constants, which are written in lower case. */
  public static <E extends Enum<E>> ValueType<E> enumConstant(Class<E> type) {
    String accepted =
        Arrays.stream(type.getEnumConstants())
            .map(constant -> "\"" + lowerCaseName(constant) + "\"")
            .collect(Collectors.joining(" or "));
    return (value, path, problems) -> {
      if (!(value instanceof JsonValue.TextValue text)) {
        addWrongType(value, path, problems, accepted);
        return null;
      }
      for (E constant : type.getEnumConstants()) {
        if (lowerCaseName(constant).equals(text.text())) {
          return constant;
        }
      }
      problems.add(ProblemKind.WRONG_FORM, value.location(), path, value.describe(), accepted);
      return null;
    };
  }

  /** Returns the name of an enum constant as written in documents, in lower case. */
  public static String lowerCaseName(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** Returns the type of arrays. Invalid items are left out of the list. */
  public static <T> ValueType<List<T>> list(ValueType<T> itemType) {
    return (value, path, problems) -> {
      if (!(value instanceof JsonValue.ArrayValue array)) {
        addWrongType(value, path, problems, "an array");
        return null;
      }
      List<T> items = new ArrayList<>();
      for (int i = 0; i < array.items().size(); i++) {
        T item = itemType.read(array.items().get(i), FieldPaths.item(path, i), problems);
        if (item != null) {
          items.add(item);
        }
      }
      return items;
    };
  }

  /** Returns the type of objects whose fields the function reads. */
  public static <T> ValueType<T> object(Function<ObjectReader, T> fields) {
    return (value, path, problems) -> {
      if (!(value instanceof JsonValue.ObjectValue object)) {
        addWrongType(value, path, problems, "an object");
        return null;
      }
      return fields.apply(new ObjectReader(object, path, problems));
    };
  }

  /** Returns a type that keeps the JSON value, for checks that compare several values. */
  public static <T> ValueType<Located<T>> located(ValueType<T> type) {
    return (value, path, problems) -> {
      T content = type.read(value, path, problems);
      return content == null ? null : new Located<>(content, value, path);
    };
  }

  private static Long wholeNumber(
      JsonValue value, String path, Problems problems, long minimum, long maximum) {
    String accepted =
        maximum == Long.MAX_VALUE
            ? "a whole number, at least " + minimum
            : "a whole number from " + minimum + " to " + maximum;
    if (!(value instanceof JsonValue.NumberValue number) || !number.integer()) {
      addWrongType(value, path, problems, accepted);
      return null;
    }
    try {
      long parsed = Long.parseLong(number.literal());
      boolean inRange = parsed >= minimum && parsed <= maximum;
      return checkRange(parsed, inRange, value, path, problems, accepted);
    } catch (NumberFormatException e) {
      return checkRange(null, false, value, path, problems, accepted);
    }
  }

  private static Double decimalNumber(
      JsonValue value, String path, Problems problems, String accepted) {
    if (value instanceof JsonValue.NumberValue number) {
      return Double.valueOf(number.literal());
    }
    addWrongType(value, path, problems, accepted);
    return null;
  }

  private static <T> T checkRange(
      T number, boolean inRange, JsonValue value, String path, Problems problems, String accepted) {
    boolean isNumber = value instanceof JsonValue.NumberValue;
    if (isNumber && !inRange) {
      problems.add(ProblemKind.OUT_OF_RANGE, value.location(), path, value.describe(), accepted);
    }
    return inRange ? number : null;
  }

  private static void addWrongType(
      JsonValue value, String path, Problems problems, String accepted) {
    problems.add(ProblemKind.WRONG_TYPE, value.location(), path, value.describe(), accepted);
  }
}
