package org.limpetdoor.format.configuration;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.limpetdoor.core.config.Adapter;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;
import org.limpetdoor.format.json.DocumentReader;
import org.limpetdoor.format.json.ObjectReader;
import org.limpetdoor.format.json.ReadResult;
import org.limpetdoor.format.json.ValueType;
import org.limpetdoor.format.json.ValueTypes;

/**
 * Reads configuration patches in JSON with comments. References are not checked, because they may
 * name entries of the base configuration.
 */
public final class PatchReader {
  private static final ValueType<ConfigurationPatch.Removals> REMOVALS =
      ValueTypes.object(PatchReader::removals);

  private PatchReader() {}

  /**
   * Reads a patch and reports all problems of the document in one pass.
   *
   * @param source name of the document, used in error messages
   * @param text text of the document
   */
  public static ReadResult<ConfigurationPatch> read(String source, String text) {
    return DocumentReader.read(source, text, ValueTypes.object(PatchReader::patch));
  }

  private static ConfigurationPatch patch(ObjectReader in) {
    List<Contract> contracts = entries(in, "contracts", EntryTypes.CONTRACT);
    List<Model> models = entries(in, "models", EntryTypes.MODEL);
    List<Adapter> adapters = entries(in, "adapters", EntryTypes.ADAPTER);
    List<Engine> engines = entries(in, "engines", EntryTypes.ENGINE);
    List<PlainService> services = entries(in, "services", EntryTypes.SERVICE);
    PlatformLimits limits = in.optional("limits", EntryTypes.LIMITS, null);
    ConfigurationPatch.Removals removals =
        in.optional("removals", REMOVALS, ConfigurationPatch.Removals.NONE);
    return in.build(
        () ->
            new ConfigurationPatch(
                contracts,
                models,
                adapters,
                engines,
                services,
                Optional.ofNullable(limits),
                removals));
  }

  private static ConfigurationPatch.Removals removals(ObjectReader in) {
    List<CustomerId> contracts = names(in, "contracts", CustomerId::new);
    List<ModelId> models = names(in, "models", ModelId::new);
    List<AdapterId> adapters = names(in, "adapters", AdapterId::new);
    List<BackendId> engines = names(in, "engines", BackendId::new);
    List<ServiceId> services = names(in, "services", ServiceId::new);
    return in.build(
        () -> new ConfigurationPatch.Removals(contracts, models, adapters, engines, services));
  }

  private static <T> List<T> entries(ObjectReader in, String name, ValueType<T> type) {
    return in.optional(name, ValueTypes.list(type), List.of());
  }

  private static <T> List<T> names(ObjectReader in, String name, Function<String, T> constructor) {
    return entries(in, name, ValueTypes.name(constructor));
  }
}
