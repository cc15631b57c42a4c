package org.limpetdoor.standin;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import org.limpetdoor.core.SourceLocation;

/** Reads stand-in settings from JSON, in which comments are allowed. */
public final class StandinSettingsFile {
  private static final String ACCEPTED_FORM =
      "; accepted form: {\"role\": \"log|engine|service|instances|weights\","
          + " \"address\": \"127.0.0.1:18101\", members of the role}";
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private StandinSettingsFile() {}

  /**
   * Reads settings from a file.
   *
   * @throws InvalidStandinSettingsException if the file cannot be read or is not valid
   */
  public static StandinSettings read(Path file) {
    try {
      return parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      SourceLocation location = new SourceLocation(file.toString(), 0, 0);
      throw new InvalidStandinSettingsException("cannot read the file: " + e, location, e);
    }
  }

  /**
   * Reads settings from a text.
   *
   * @param source name of the input for error messages
   * @throws InvalidStandinSettingsException if the text is not valid
   */
  public static StandinSettings parse(String source, String text) {
    try {
      rejectUnknownMembers(source, text);
      return MAPPER.readValue(text, StandinSettings.class);
    } catch (JsonProcessingException e) {
      String message = e.getOriginalMessage() + ACCEPTED_FORM;
      throw new InvalidStandinSettingsException(message, location(source, e.getLocation()), e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reports a misspelt member at its own position. Jackson would call the constructor first and
   * report a missing member at the end of the object instead.
   */
  private static void rejectUnknownMembers(String source, String text) throws IOException {
    Set<String> accepted = acceptedMembers(MAPPER.readTree(text).path("role").asText());
    if (accepted.isEmpty()) {
      return;
    }
    try (JsonParser parser = MAPPER.createParser(text)) {
      parser.nextToken();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        if (!accepted.contains(parser.currentName())) {
          String message = "unknown member " + parser.currentName() + "; accepted: " + accepted;
          SourceLocation place = location(source, parser.currentTokenLocation());
          throw new InvalidStandinSettingsException(message + ACCEPTED_FORM, place, null);
        }
        parser.nextToken();
        parser.skipChildren();
      }
    }
  }

  private static Set<String> acceptedMembers(String role) {
    Set<String> members = new TreeSet<>();
    for (JsonSubTypes.Type type : StandinSettings.class.getAnnotation(JsonSubTypes.class).value()) {
      if (type.name().equals(role)) {
        members.add("role");
        for (RecordComponent component : type.value().getRecordComponents()) {
          members.add(component.getName());
        }
      }
    }
    return members;
  }

  private static SourceLocation location(String source, JsonLocation place) {
    return place == null
        ? new SourceLocation(source, 0, 0)
        : new SourceLocation(source, place.getLineNr(), place.getColumnNr());
  }
}
