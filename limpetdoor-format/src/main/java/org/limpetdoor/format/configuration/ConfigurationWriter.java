package org.limpetdoor.format.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.limpetdoor.core.config.Adapter;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.KeyDigest;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.format.json.ValueTypes;

/**
 * Writes configuration documents and patches as JSON that {@link ConfigurationReader} and {@link
 * PatchReader} accept.
 */
public final class ConfigurationWriter {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .addModule(module())
          .serializationInclusion(JsonInclude.Include.NON_EMPTY)
          .build();

  private ConfigurationWriter() {}

  /** Returns a configuration as an indented document with entries sorted by name. */
  public static String write(Configuration content) {
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("contracts", sorted(content.contracts().values(), Contract::customer));
    document.put("models", sorted(content.models().values(), Model::id));
    document.put("adapters", sorted(content.adapters().values(), Adapter::id));
    document.put("engines", sorted(content.engines().values(), Engine::id));
    document.put("services", sorted(content.services().values(), PlainService::id));
    document.put("limits", content.limits());
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(document) + "\n";
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a patch as a document on a single line. */
  public static String write(ConfigurationPatch patch) {
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("contracts", patch.contracts());
    document.put("models", patch.models());
    document.put("adapters", patch.adapters());
    document.put("engines", patch.engines());
    document.put("services", patch.services());
    patch.limits().ifPresent(limits -> document.put("limits", limits));
    document.put("removals", patch.removals());
    try {
      return MAPPER.writeValueAsString(document);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static <T, K extends Comparable<K>> List<T> sorted(
      Collection<T> values, Function<T, K> name) {
    return values.stream().sorted(Comparator.comparing(name)).toList();
  }

  private static SimpleModule module() {
    SimpleModule module = new SimpleModule();
    List.of(
            AdapterId.class,
            BackendId.class,
            CustomerId.class,
            ModelId.class,
            ServiceId.class,
            ZoneId.class)
        .forEach(type -> module.addSerializer(type, ToStringSerializer.instance));
    module.addSerializer(KeyDigest.class, textSerializer(KeyDigest::hex));
    module.addSerializer(Enum.class, textSerializer(ValueTypes::lowerCaseName));
    return module;
  }

  private static <T> JsonSerializer<T> textSerializer(Function<T, String> toText) {
    return new JsonSerializer<>() {
      @Override
      public void serialize(T value, JsonGenerator out, SerializerProvider provider)
          throws IOException {
        out.writeString(toText.apply(value));
      }
    };
  }
}
