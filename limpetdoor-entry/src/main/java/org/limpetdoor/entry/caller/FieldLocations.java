package org.limpetdoor.entry.caller;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.limpetdoor.core.SourceLocation;

/** Locates fields in a JSON request body for error messages. */
final class FieldLocations {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final SourceLocation START = new SourceLocation("body", 1, 1);

  private FieldLocations() {}

  /**
   * Returns the start of the value of a field, or the start of the object if the field is absent.
   * Parses the body again, so that valid requests do not pay for tracking locations.
   *
   * @param body a JSON object
   * @param field path such as {@code messages[0]}
   */
  static SourceLocation find(byte[] body, String field) {
    String pointer = "/" + field.replace("[", "/").replace("]", "");
    try (JsonParser parser = JSON.createParser(body)) {
      parser.nextToken();
      return find(parser, pointer);
    } catch (IOException e) {
      return START;
    }
  }

  /** Returns the last of duplicate fields, which is also the one that parsing uses. */
  private static SourceLocation find(JsonParser parser, String pointer) throws IOException {
    SourceLocation found = location(parser.currentTokenLocation());
    for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
      if (startsValue(token)
          && parser.getParsingContext().pathAsPointer().toString().equals(pointer)) {
        found = location(parser.currentTokenLocation());
      }
    }
    return found;
  }

  private static boolean startsValue(JsonToken token) {
    return token.isStructStart() || token.isScalarValue();
  }

  private static SourceLocation location(JsonLocation at) {
    return new SourceLocation("body", at.getLineNr(), at.getColumnNr());
  }
}
