package org.limpetdoor.format.json;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.SourceLocation;

/** A JSON value with its location. Jackson's tree model does not keep locations. */
public sealed interface JsonValue {
  /** Returns the location of the first character. */
  SourceLocation location();

  /** Returns a description of the value for error messages. */
  String describe();

  /**
   * A field of an object.
   *
   * @param name name of the field
   * @param location location of the name
   * @param value value of the field
   */
  record Member(String name, SourceLocation location, JsonValue value) {}

  /**
   * An object.
   *
   * @param location location of the opening brace
   * @param members fields in document order, without duplicate names
   */
  record ObjectValue(SourceLocation location, List<Member> members) implements JsonValue {
    /** Copies the list. */
    public ObjectValue {
      members = List.copyOf(members);
    }

    /** Returns the field of the given name. */
    public Optional<Member> member(String name) {
      return members.stream().filter(member -> member.name().equals(name)).findFirst();
    }

    @Override
    public String describe() {
      return "an object";
    }
  }

  /**
   * An array.
   *
   * @param location location of the opening bracket
   * @param items items in document order
   */
  record ArrayValue(SourceLocation location, List<JsonValue> items) implements JsonValue {
    /** Copies the list. */
    public ArrayValue {
      items = List.copyOf(items);
    }

    @Override
    public String describe() {
      return "an array";
    }
  }

  /**
   * A string.
   *
   * @param location location of the opening quote
   * @param text content of the string, without escapes
   */
  record TextValue(SourceLocation location, String text) implements JsonValue {
    @Override
    public String describe() {
      return "the text '" + text + "'";
    }
  }

  /**
   * A number.
   *
   * @param location location of the first digit or sign
   * @param literal number as written in the document
   * @param integer whether the number has neither fraction nor exponent
   */
  record NumberValue(SourceLocation location, String literal, boolean integer)
      implements JsonValue {
    @Override
    public String describe() {
      return "the number " + literal;
    }
  }

  /**
   * One of the literals {@code true}, {@code false} and {@code null}.
   *
   * @param location location of the first character
   * @param literal literal as written in the document
   */
  record LiteralValue(SourceLocation location, String literal) implements JsonValue {
    @Override
    public String describe() {
      return literal;
    }
  }
}
