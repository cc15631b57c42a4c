package org.limpetdoor.format.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.limpetdoor.core.SourceLocation;

/** Parses JSON with comments into values that keep their locations. */
final class JsonParsing {
  // Valid documents nest 5 deep; the limit keeps a malicious document from exhausting the stack.
  private static final int MAX_DEPTH = 32;

  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .build();

  private final String source;
  private final JsonParser parser;
  private final Problems problems;

  private JsonParsing(String source, JsonParser parser, Problems problems) {
    this.source = source;
    this.parser = parser;
    this.problems = problems;
  }

  static Optional<JsonValue> parse(String source, String text, Problems problems) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      return new JsonParsing(source, parser, problems).document();
    } catch (JsonProcessingException e) {
      problems.add(
          ProblemKind.SYNTAX,
          place(source, e.getLocation()),
          "",
          e.getOriginalMessage(),
          "JSON, optionally with // and /* */ comments");
      return Optional.empty();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Optional<JsonValue> document() throws IOException {
    if (parser.nextToken() == null) {
      problems.add(
          ProblemKind.SYNTAX, new SourceLocation(source, 1, 1), "", "empty text", "an object");
      return Optional.empty();
    }
    JsonValue value = value("");
    if (parser.nextToken() != null) {
      problems.add(ProblemKind.SYNTAX, here(), "", "text after the end", "one object");
    }
    return Optional.of(value);
  }

  private JsonValue value(String path) throws IOException {
    SourceLocation location = here();
    JsonToken token = parser.currentToken();
    return switch (token) {
      case START_OBJECT -> object(location, path);
      case START_ARRAY -> array(location, path);
      case VALUE_STRING -> new JsonValue.TextValue(location, parser.getText());
      case VALUE_NUMBER_INT -> new JsonValue.NumberValue(location, parser.getText(), true);
      case VALUE_NUMBER_FLOAT -> new JsonValue.NumberValue(location, parser.getText(), false);
      default -> new JsonValue.WordValue(location, parser.getText());
    };
  }

  private JsonValue object(SourceLocation location, String path) throws IOException {
    List<JsonValue.Member> members = new ArrayList<>();
    Set<String> names = new HashSet<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      SourceLocation nameLocation = here();
      String memberPath = Paths.member(path, name);
      parser.nextToken();
      JsonValue value = value(memberPath);
      if (names.add(name)) {
        members.add(new JsonValue.Member(name, nameLocation, value));
      } else {
        problems.add(
            ProblemKind.DUPLICATE_FIELD, nameLocation, memberPath, name, "each field once");
      }
    }
    return new JsonValue.ObjectValue(location, members);
  }

  private JsonValue array(SourceLocation location, String path) throws IOException {
    List<JsonValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(value(Paths.item(path, items.size())));
    }
    return new JsonValue.ArrayValue(location, items);
  }

  private SourceLocation here() {
    return place(source, parser.currentTokenLocation());
  }

  private static SourceLocation place(String source, JsonLocation location) {
    if (location == null) {
      return new SourceLocation(source, 0, 0);
    }
    return new SourceLocation(source, location.getLineNr(), location.getColumnNr());
  }
}
