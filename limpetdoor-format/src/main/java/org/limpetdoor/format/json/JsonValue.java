package org.limpetdoor.format.json;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.SourceLocation;

/** A JSON value with its place. Jackson's own tree does not keep places. */
public sealed interface JsonValue {
  /** Returns the place of the first character. */
  SourceLocation location();

  /** Returns the value in words, for messages. */
  String describe();

  /**
   * A field of an object.
   *
   * @param name name of the field
   * @param location place of the name
   * @param value value of the field
   */
  record Member(String name, SourceLocation location, JsonValue value) {}

  /**
   * An object.
   *
   * @param location place of the opening brace
   * @param members fields in the order of the document, without repeated names
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
   * @param location place of the opening bracket
   * @param items items in order
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
   * A text.
   *
   * @param location place of the opening quote
   * @param text the text
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
   * @param location place of the first digit or sign
   * @param literal the number as written
   * @param integer whether it has neither fraction nor exponent
   */
  record NumberValue(SourceLocation location, String literal, boolean integer)
      implements JsonValue {
    @Override
    public String describe() {
      return "the number " + literal;
    }
  }

  /**
   * One of the words {@code true}, {@code false} and {@code null}.
   *
   * @param location place of the word
   * @param word the word
   */
  record WordValue(SourceLocation location, String word) implements JsonValue {
    @Override
    public String describe() {
      return word;
    }
  }
}
