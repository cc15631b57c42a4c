package org.limpetdoor.entry.caller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.exc.StreamConstraintsException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.InvalidNameException;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.request.Target.ModelTarget;

/**
 * The fields of a chat completion request that routing uses. The engine receives the whole body.
 *
 * @param target model and adapter
 * @param messages text of each message
 * @param maxTokens maximum output length in tokens
 * @param stream whether the response is streamed token by token
 */
record ChatRequest(ModelTarget target, List<String> messages, int maxTokens, boolean stream) {
  /** Maximum output length in tokens of a request without {@code max_tokens}. */
  static final int DEFAULT_MAX_TOKENS = 512;

  /**
   * Largest number of JSON tokens in a request. A document of small values takes many times its
   * length as objects, so that the limit on bodies does not bound its memory.
   */
  static final int MAX_JSON_TOKENS = 1 << 17;

  private static final ObjectMapper JSON =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxTokenCount(MAX_JSON_TOKENS).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  private static final String NAME_FORMAT = "a name of letters, digits and . _ - : /";

  /**
   * Parses a request body.
   *
   * @throws InvalidRequestException if the body is not a valid chat completion request
   */
  static ChatRequest parse(byte[] body) {
    JsonNode root = parseJson(body);
    if (!root.isObject()) {
      throw InvalidRequestException.malformedJson(1, 1);
    }
    try {
      return of(root);
    } catch (InvalidRequestException e) {
      throw e.withLocation(body);
    }
  }

  private static ChatRequest of(JsonNode root) {
    return new ChatRequest(
        target(root), messages(root.path("messages")), maxTokens(root), stream(root));
  }

  private static JsonNode parseJson(byte[] body) {
    try {
      return JSON.readTree(body);
    } catch (StreamConstraintsException e) {
      throw InvalidRequestException.tooManyValues(MAX_JSON_TOKENS);
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      throw location == null
          ? InvalidRequestException.malformedJson(1, 1)
          : InvalidRequestException.malformedJson(location.getLineNr(), location.getColumnNr());
    } catch (IOException e) {
      throw InvalidRequestException.malformedJson(1, 1);
    }
  }

  private static ModelTarget target(JsonNode root) {
    JsonNode model = root.path("model");
    JsonNode adapter = root.path("adapter");
    if (!model.isTextual()) {
      throw InvalidRequestException.invalidField("model", NAME_FORMAT);
    }
    String[] parts = model.textValue().split("\\+", 2);
    boolean hasAdapter = !adapter.isMissingNode() && !adapter.isNull();
    if (hasAdapter && (!adapter.isTextual() || parts.length == 2)) {
      throw InvalidRequestException.invalidField("adapter", "a name, here or after + in model");
    }
    ModelId modelId = parseName("model", parts[0], ModelId::new);
    Optional<String> adapterName =
        parts.length == 2 ? Optional.of(parts[1]) : Optional.ofNullable(adapter.textValue());
    return new ModelTarget(
        modelId, adapterName.map(text -> parseName("adapter", text, AdapterId::new)));
  }

  private static <T> T parseName(String field, String text, Function<String, T> type) {
    try {
      return type.apply(text);
    } catch (InvalidNameException e) {
      throw InvalidRequestException.invalidField(field, NAME_FORMAT);
    }
  }

  /** Copies the messages. */
  ChatRequest {
    messages = List.copyOf(messages);
  }

  /** Returns the messages before the last one, which is the request's own. */
  List<String> sharedMessages() {
    return messages.subList(0, messages.size() - 1);
  }

  /** Returns the text of all messages. */
  String prompt() {
    return String.join("", messages);
  }

  private static List<String> messages(JsonNode messages) {
    if (!messages.isArray() || messages.isEmpty()) {
      throw InvalidRequestException.invalidField("messages", "an array of at least one message");
    }
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < messages.size(); i++) {
      JsonNode message = messages.get(i);
      if (!message.isObject() || !message.path("role").isTextual()) {
        throw InvalidRequestException.invalidField("messages[" + i + "]", "an object with a role");
      }
      texts.add(text(message.path("content")));
    }
    return texts;
  }

  /** Returns the text of a content, which is a string or an array of parts, some without text. */
  private static String text(JsonNode content) {
    StringBuilder text = new StringBuilder();
    if (content.isTextual()) {
      text.append(content.textValue()).append('\n');
    }
    content.forEach(part -> text.append(part.path("text").asText("")).append('\n'));
    return text.toString();
  }

  private static int maxTokens(JsonNode root) {
    JsonNode value = root.path("max_tokens");
    if (value.isMissingNode() || value.isNull()) {
      return DEFAULT_MAX_TOKENS;
    }
    if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
      throw InvalidRequestException.invalidField("max_tokens", "a whole number of at least 1");
    }
    return value.intValue();
  }

  private static boolean stream(JsonNode root) {
    JsonNode value = root.path("stream");
    if (value.isMissingNode() || value.isNull()) {
      return false;
    }
    if (!value.isBoolean()) {
      throw InvalidRequestException.invalidField("stream", "true or false");
    }
    return value.booleanValue();
  }
}
