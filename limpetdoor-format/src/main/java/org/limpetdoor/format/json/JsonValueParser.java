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
final class JsonValueParser {
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

  private JsonValueParser(String source, JsonParser parser, Problems problems) {
    this.source = source;
    this.parser = parser;
    this.problems = problems;
  }

  static Optional<JsonValue> parse(String source, String text, Problems problems) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      return new JsonValueParser(source, parser, problems).parseDocument();
    } catch (JsonProcessingException e) {
      problems.add(
          ProblemKind.SYNTAX,
          sourceLocation(source, e.getLocation()),
          "",
          e.getOriginalMessage(),
          "JSON, optionally with // and /* */ comments");
      return Optional.empty();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private Optional<JsonValue> parseDocument() throws IOException {
    if (parser.nextToken() == null) {
      problems.add(
          ProblemKind.SYNTAX, new SourceLocation(source, 1, 1), "", "empty text", "an object");
      return Optional.empty();
    }
    JsonValue value = parseValue("");
    if (parser.nextToken() != null) {
      problems.add(ProblemKind.SYNTAX, currentLocation(), "", "text after the end", "one object");
    }
    return Optional.of(value);
  }

  private JsonValue parseValue(String path) throws IOException {
    SourceLocation location = currentLocation();
    JsonToken token = parser.currentToken();
    return switch (token) {
      case START_OBJECT -> parseObject(location, path);
      case START_ARRAY -> parseArray(location, path);
      case VALUE_STRING -> new JsonValue.TextValue(location, parser.getText());
      case VALUE_NUMBER_INT -> new JsonValue.NumberValue(location, parser.getText(), true);
      case VALUE_NUMBER_FLOAT -> new JsonValue.NumberValue(location, parser.getText(), false);
      default -> new JsonValue.LiteralValue(location, parser.getText());
    };
  }

  private JsonValue parseObject(SourceLocation location, String path) throws IOException {
    List<JsonValue.Member> members = new ArrayList<>();
    Set<String> names = new HashSet<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      SourceLocation nameLocation = currentLocation();
      String memberPath = FieldPaths.member(path, name);
      parser.nextToken();
      JsonValue value = parseValue(memberPath);
      if (names.add(name)) {
        members.add(new JsonValue.Member(name, nameLocation, value));
      } else {
        problems.add(
            ProblemKind.DUPLICATE_FIELD, nameLocation, memberPath, name, "each field once");
      }
    }
    return new JsonValue.ObjectValue(location, members);
  }

  private JsonValue parseArray(SourceLocation location, String path) throws IOException {
    List<JsonValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(parseValue(FieldPaths.item(path, items.size())));
    }
    return new JsonValue.ArrayValue(location, items);
  }

  private SourceLocation currentLocation() {
    return sourceLocation(source, parser.currentTokenLocation());
  }

  private static SourceLocation sourceLocation(String source, JsonLocation location) {
    if (location == null) {
      return new SourceLocation(source, 0, 0);
    }
    return new SourceLocation(source, location.getLineNr(), location.getColumnNr());
  }
}
